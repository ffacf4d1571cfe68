/**
 * Plays a large cluster: `npm run large -- 4000 [standby]` machines, with the warm standby on if asked for, with three controllers that all end at once, of which then one is left alone,
 * and prints what each controller knows. Ends with the rules that were broken, if any.
 */
import { Cluster } from './cluster.js';
import { ZONES } from './random-schedule.js';

const NODES = [0, 1, 2];
const JOBS = 8;
const SHARDS_OF_A_JOB = 500;

const machines = Number(process.argv[2] ?? '4000');
const standby = process.argv[3] === 'standby' ? { enabled: true, follow: true } : {};
const cluster = new Cluster({ nodes: NODES.length, teams: [{ name: 'red', cpus_max: 100_000 }], standby });
for (let n = 0; n < machines; n++) {
  cluster.addWorker({ machineId: `i-${String(n).padStart(6, '0')}`, zone: ZONES[n % 3]!, runMs: 30_000 });
}

function show(moment: string): void {
  const words = NODES.filter((node) => cluster.has(node)).map((node) => {
    const { inventory, workerManager } = cluster.node(node);
    return `n${node} knows ${inventory.machines().size}, owns ${workerManager.workers.size}, may use ${inventory.schedulableMachines().length}`;
  });
  console.log(`${moment}: ${words.join('; ')}`);
}

await cluster.advance(10_000);
show('at the start');
for (let n = 0; n < JOBS; n++) {
  await cluster.submit({ id: `j-${n}`, taskCount: SHARDS_OF_A_JOB, cpus: 4 }, n % NODES.length);
}
await cluster.advance(10_000);
const leader = cluster.leader()!;
const lostAt = cluster.clock.now();
cluster.crash(leader);
const claim = () => (cluster.store.rows.get('live/claim/leader')?.value as { node: string } | undefined)?.node;
await cluster.until(() => claim() !== undefined && claim() !== `n${leader}`, 10_000);
show(`the leader has ended, and is succeeded after ${cluster.clock.now() - lostAt} ms`);
await cluster.advance(8000);
show('8 s later');
cluster.start(leader);
await cluster.advance(10_000);
for (const node of NODES) cluster.crash(node);
await cluster.advance(1000);
for (const node of NODES) cluster.start(node);
await cluster.advance(12_000);
show('after all have ended');
for (const node of NODES.slice(1)) cluster.crash(node);
await cluster.advance(12_000);
show('one alone');
for (const node of NODES.slice(1)) cluster.start(node);
await cluster.advance(15_000);
show('all back');
const broken = cluster.verdict();
console.log(broken.length === 0 ? 'no rule was broken' : broken.join('\n'));
process.exitCode = broken.length === 0 ? 0 : 1;
