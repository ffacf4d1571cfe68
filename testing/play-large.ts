/**
 * Plays a scenario of a large cluster: `npm run large -- MACHINES [standby]`; `standby` switches the warm standby on.
 * The leader is lost, then all three controllers at once, then all but one. Prints how many machines each controller
 * knows, owns and may use after each step, and finally the violated rules, if any.
 */
import { Cluster } from './cluster.js';
import { ZONES } from './random-schedule.js';

const NODES = [0, 1, 2];
const JOBS = 8;
const TASKS_PER_JOB = 500;

const machines = Number(process.argv[2] ?? '4000');
const standby = process.argv[3] === 'standby' ? { enabled: true, follow: true } : {};
const cluster = new Cluster({ nodes: NODES.length, teams: [{ name: 'red', cpus_max: 100_000 }], standby });
for (let n = 0; n < machines; n++) {
  cluster.addWorker({ machineId: `i-${String(n).padStart(6, '0')}`, zone: ZONES[n % 3]!, runMs: 30_000 });
}

function printMachineCounts(moment: string): void {
  const descriptions = NODES.filter((node) => cluster.isUp(node)).map((node) => {
    const { inventory, workerManager } = cluster.node(node);
    return `n${node} knows ${inventory.machines().size}, owns ${workerManager.workers.size}, may use ${inventory.schedulableMachines().length}`;
  });
  console.log(`${moment}: ${descriptions.join('; ')}`);
}

await cluster.advance(10_000);
printMachineCounts('at the start');
for (let n = 0; n < JOBS; n++) {
  await cluster.submit({ id: `j-${n}`, taskCount: TASKS_PER_JOB, cpus: 4 }, n % NODES.length);
}
await cluster.advance(10_000);
const leader = cluster.leader()!;
const lostAt = cluster.clock.now();
cluster.crash(leader);
const claimHolder = () => (cluster.store.rows.get('live/claim/leader')?.value as { node: string } | undefined)?.node;
await cluster.until(() => claimHolder() !== undefined && claimHolder() !== `n${leader}`, 10_000);
printMachineCounts(`the leader has ended, and is succeeded after ${cluster.clock.now() - lostAt} ms`);
await cluster.advance(8000);
printMachineCounts('8 s later');
cluster.start(leader);
await cluster.advance(10_000);
for (const node of NODES) cluster.crash(node);
await cluster.advance(1000);
for (const node of NODES) cluster.start(node);
await cluster.advance(12_000);
printMachineCounts('after all have ended');
for (const node of NODES.slice(1)) cluster.crash(node);
await cluster.advance(12_000);
printMachineCounts('one alone');
for (const node of NODES.slice(1)) cluster.start(node);
await cluster.advance(15_000);
printMachineCounts('all back');
const violations = cluster.stopAndCheck();
console.log(violations.length === 0 ? 'no rule was broken' : violations.join('\n'));
process.exitCode = violations.length === 0 ? 0 : 1;
