import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import { type ClusterOptions, jobOf } from '../../testing/fixtures.js';
import { decodeJobStatus } from '../../testing/job-status-wire-codec.js';

let cluster: Cluster;
afterEach(() => cluster.stop());

const NODES = [0, 1, 2];
const red = { teams: [{ name: 'red' }] };
const service = { id: 'j-svc', kind: 'service', priority: 'prod', estimatedRunS: 0, taskCount: 1 } as const;
/** Their tasks fill a machine each. */
const gang = { id: 'j-gang', kind: 'gang', priority: 'high', taskCount: 2, cpus: 8 } as const;

async function ready(machines: number, options: ClusterOptions = {}, runMs = 5000): Promise<void> {
  cluster = new Cluster({ nodes: 3, ...options });
  for (let index = 0; index < machines; index++) {
    cluster.addWorker({ machineId: `i-00000${index}`, zone: ['a', 'b', 'c'][index % 3]!, runMs });
  }
  await cluster.advance(5000);
}

const someNode = () => NODES.map((node) => cluster.has(node)).indexOf(true);
const roleOf = (machineId: string) => cluster.node(someNode()).workerManager.roleOf(machineId);
/** The node that holds a role, as the others see it. */
const holder = (role: string) => Number(cluster.node(someNode()).leadership.leaderOf(role)?.slice(1));
const body = (answer: { body: unknown }) => decodeJobStatus(answer.body);
const phase = async (jobId: string, node = 0) => body(await cluster.poll(jobId, node)).state;
const cloudDown = () =>
  cluster.network.fault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });

/** Every host whose machine is of the role's part, of so many names. */
function hostsOf(role: string, count: number): string[] {
  const machineIds = Array.from({ length: 60 }, (_, n) => `i-${String(n + 10).padStart(6, '0')}`);
  return machineIds.filter((machineId) => roleOf(machineId) === role).slice(0, count);
}

/** Nothing runs any more, and the team's use says so. */
function assertTeamFree(): void {
  const use = cluster.store.rows.get('live/team/red')?.value as { cpus: number } | undefined;
  assert.equal(use?.cpus ?? 0, 0);
  assert.deepEqual(
    [...cluster.store.rows.keys()].filter((key) => key.startsWith('live/job') || key.startsWith('live/ledger')),
    [],
  );
}

function assertKept(): void {
  assert.deepEqual(cluster.verdict(), []);
}

describe('jobs of two or three tasks that end far apart', () => {
  it('are done when the last has ended, and not before, though the leader and the owners change in between', async () => {
    await ready(0, red);
    for (const [n, runMs] of [4000, 16_000, 30_000].entries()) {
      cluster.addWorker({ machineId: `i-00000${n}`, zone: ['a', 'b', 'c'][n]!, runMs });
    }
    await cluster.advance(4000);
    await cluster.submit({ id: 'j-three', taskCount: 3, cpus: 8 });
    // One after the other, on the only machine of its zone, which for a while takes no new work.
    for (const zone of ['a', 'b', 'c']) cluster.cloud.full.add(zone);
    await cluster.submit({ id: 'j-next', taskCount: 3, cpus: 8, zone: 'a' });
    cluster.rememberWorkers();
    for (let round = 0; round < 9; round++) {
      const leader = holder('leader');
      const { spotNoticeS } = cluster.workers.get('i-000000')!;
      if (cluster.runs('j-next/0').length === 1)
        cluster.workers.get('i-000000')!.spotNoticeS = spotNoticeS === null ? 60 : null;
      cluster.crash(leader);
      await cluster.poll('j-three', (leader + 1) % 3);
      cluster.start(leader);
      await cluster.advance(1500);
      await cluster.poll('j-three', leader);
      await cluster.poll('j-next', leader);
    }
    assert.equal(await phase('j-three'), 'done');
    await cluster.advance(20_000);
    assert.equal(await phase('j-next'), 'done');
    for (const taskIndex of [0, 1, 2]) assert.equal(cluster.runs(`j-three/${taskIndex}`).length, 1);
    assertKept();
  });

  it('of a gang are done though the loss of one machine was recorded before the end of the other task', async () => {
    await ready(0, red);
    const leader = holder('leader');
    const owner = NODES.find((node) => node !== leader && holder(`part-${node}`) === node)!;
    for (const role of [`part-${leader}`, `part-${owner}`]) {
      cluster.addWorker({ machineId: hostsOf(role, 1)[0]!, runMs: 20_000 });
    }
    await cluster.advance(3000);
    await cluster.submit(gang);
    const runs = [...cluster.runs('j-gang/0'), ...cluster.runs('j-gang/1')];
    const [kept, lost] = [`part-${owner}`, `part-${leader}`].map((role) =>
      runs.find((run) => roleOf(run.machineId) === role),
    );
    await cluster.advance(kept!.from + 19_800 - cluster.clock.now());
    // Both end. One machine dies before it can say so; the other's owner gets no answers from the store for a while.
    cluster.rememberWorkers();
    cluster.cut.add(lost!.machineId);
    const heal = cluster.network.fault({
      from: `n${owner}`,
      path: /^\/txn/,
      where: (transact) => JSON.stringify(transact).includes('j-gang'),
      kind: 'lose',
    });
    await cluster.advance(20_000);
    heal();
    await cluster.advance(5000);
    assert.ok(cluster.cloud.returned.includes(lost!.machineId));
    cluster.checker.faultsEnded(cluster.clock.now());
    assert.equal(await phase('j-gang'), 'done');
    assertKept();
  });

  it('of a gang that lost a member twice, waiting and running, begin the next time under a new attempt', async () => {
    await ready(3, red, 600_000);
    // Both wait for their images, so that neither has started when one machine is lost.
    for (const worker of cluster.workers.values()) worker.options.imageMs = 20_000;
    await cluster.submit(gang);
    const [lost] = [...cluster.workers].find(([, worker]) => worker.tasks.has('j-gang/1'))!;
    cluster.rememberWorkers();
    cluster.cut.add(lost);
    await cluster.advance(45_000);
    const [again] = cluster.runs('j-gang/1');
    assert.notEqual(again!.machineId, lost);
    assert.equal(again!.attempt, 1, 'the other was still waiting for it');
    cluster.addWorker({ machineId: 'i-000007', runMs: 600_000 });
    cluster.addWorker({ machineId: 'i-000008', runMs: 600_000 });
    await cluster.advance(5000);
    cluster.workers.get(again!.machineId)!.end('j-gang/1', 'error');
    // The other notices, and exits as well.
    await cluster.advance(23_000);
    const attempts = (taskIndex: number) => cluster.runs(`j-gang/${taskIndex}`).map((run) => run.attempt);
    assert.deepEqual(
      [attempts(0), attempts(1)],
      [
        [1, 2],
        [1, 2],
      ],
    );
    assertKept();
  });

  it('of a gang that ran begin anew only once a member behind a cut is proved gone', async () => {
    await ready(4, red, 600_000);
    await cluster.submit(gang);
    cloudDown();
    const [here] = cluster.runs('j-gang/0');
    cluster.cut.add(cluster.runs('j-gang/1')[0]!.machineId);
    await cluster.advance(4000);
    cluster.workers.get(here!.machineId)!.end('j-gang/0', 'peer_lost');
    cluster.crash(holder('leader'));
    await cluster.advance(60_000);
    assert.deepEqual(
      cluster.runs('j-gang/0').map((run) => run.attempt),
      [1, 2],
    );
    assertKept();
  });
});

describe('controllers that hand over and back, all end, and return', () => {
  it('keep answering while a handover is refused by an outage, however long, and nothing dies', async () => {
    await ready(6);
    for (let n = 0; n < 4; n++) await cluster.submit({ ...service, id: `j-svc${n}`, taskCount: 3 });
    cluster.store.out = true;
    for (const node of NODES) void cluster.node(node).leadership.release(`part-${node}`, 'scenario', 3000);
    await cluster.advance(45_000);
    cluster.store.endOutage();
    await cluster.advance(15_000);
    for (const worker of cluster.workers.values()) assert.equal(worker.agentEpoch, 1);
    for (const role of ['part-0', 'part-1', 'part-2', 'leader']) assert.ok(NODES.includes(holder(role)), role);
    assertKept();
  });

  it('that have given up their own part leave it to others for the while that was said', async () => {
    await ready(3);
    const taken = cluster.node(0).leadership.leadershipOf('part-0')!.fencingToken;
    void cluster.node(0).leadership.release('part-0', 'scenario', 8000);
    await cluster.advance(5000);
    assert.notEqual(holder('part-0'), 0);
    await cluster.advance(8000);
    assert.equal(holder('part-0'), 0);
    assert.ok(cluster.node(0).leadership.leadershipOf('part-0')!.fencingToken > taken);
    assertKept();
  });

  for (const awayMs of [200, 900, 4000, 14_000]) {
    it(`within moments, one of them ${awayMs} ms after all have ended, start nothing twice and forget nothing`, async () => {
      await ready(6);
      cluster.rememberWorkers();
      await cluster.submit({ ...service, taskCount: 4 });
      await cluster.submit({ id: 'j-batch', taskCount: 12 });
      for (let round = 0; round < 6; round++) {
        const from = holder(`part-${round % 3}`);
        if (!cluster.has(from)) continue;
        void cluster.node(from).leadership.release(`part-${round % 3}`, 'scenario', 500);
        if (cluster.has(holder('leader')))
          void cluster.node(holder('leader')).leadership.release('leader', 'scenario', 500);
        await cluster.advance(300);
        cluster.crash(from);
        await cluster.advance(150 * round);
        cluster.start(from);
        await cluster.advance(900);
      }
      // Some machines can't be reached meanwhile, nor can the cloud say that they are gone.
      const heal = cloudDown();
      for (const taskIndex of [0, 1]) cluster.cut.add(cluster.runs(`j-svc/${taskIndex}`).at(-1)!.machineId);
      for (const node of NODES) cluster.crash(node);
      await cluster.advance(awayMs);
      cluster.start(1);
      await cluster.advance(Math.max(4000, 8500 - awayMs));
      cluster.cut.clear();
      heal();
      await cluster.poll('j-batch', 1);
      cluster.start(0);
      cluster.start(2);
      await cluster.advance(40_000);
      cluster.checker.faultsEnded(cluster.clock.now());
      await cluster.advance(20_000);
      assert.equal(await phase('j-batch', 1), 'done');
      assert.equal(body(await cluster.poll('j-svc', 2)).state, 'running');
      for (const node of NODES) assert.equal(body(await cluster.poll('j-svc', node)).state, 'running');
      await cluster.cancelJob('j-svc', 2);
      await cluster.advance(5000);
      assertTeamFree();
      assertKept();
    });
  }
});

describe('a report that was held back until a new leader has acted', () => {
  it('does not free the place of a member of a gang that is there again under the same attempt', async () => {
    const workers = { report_s: 1, lease_s: 30, gang_wait_s: 300, gang_peer_s: 4, cancel_s: 80 };
    await ready(0, { ...red, cluster: { workers } });
    const leader = holder('leader');
    const [early, late] = [hostsOf(`part-${leader}`, 1)[0]!, hostsOf(`part-${(leader + 1) % 3}`, 1)[0]!];
    cluster.addWorker({ machineId: early });
    cluster.addWorker({ machineId: late, imageMs: 200_000 });
    await cluster.advance(3000);
    await cluster.submit(gang);
    const [first] = [...cluster.workers.get(early)!.tasks.keys()];
    cluster.workers.get(early)!.end(first!, 'insufficient_resources');
    const held = cluster.workers.get(early)!.composeHeartbeat();
    // It is recorded and forgotten, and the member is placed there once more: the others wait for it.
    await cluster.advance(15_000);
    assert.deepEqual(
      cluster.runs(first!).map(({ machineId, attempt, to }) => [machineId, attempt, to === undefined]),
      [
        [early, 1, false],
        [early, 1, true],
      ],
    );
    const heal = cloudDown();
    cluster.cut.add(early);
    cluster.crash(leader);
    cluster.addWorker({ machineId: hostsOf(`part-${(leader + 1) % 3}`, 2)[1]! });
    await cluster.advance(5000);
    const owner = holder(`part-${leader}`);
    assert.notEqual(owner, leader);
    cluster.node(owner).answerHeartbeat(JSON.parse(JSON.stringify(held)));
    await cluster.advance(20_000);
    cluster.cut.clear();
    heal();
    await cluster.advance(20_000);
    assertKept();
  });

  it('does not free the place of a task that is told to stop and still saves', async () => {
    await ready(0, red);
    const leader = holder('leader');
    const machineId = hostsOf(`part-${(leader + 1) % 3}`, 1)[0]!;
    const worker = cluster.addWorker({ machineId });
    await cluster.advance(3000);
    cluster.crash(leader);
    await cluster.advance(5000);
    cluster.start(leader);
    const held = worker.composeHeartbeat();
    const saves = { id: 'j-svc-saves', checkpointIntervalS: 2, checkpointS: 12 };
    assert.equal((await cluster.submit(saves, (leader + 1) % 3)).status, 201);
    cluster.addWorker({ machineId: 'i-000001', zone: 'b' });
    await cluster.advance(6000);
    worker.spotNoticeS = 30;
    await cluster.advance(3000);
    assert.equal(worker.tasks.get('j-svc-saves/0')!.state, 'checkpointing');
    const owner = holder(roleOf(machineId));
    cluster.node(owner).answerHeartbeat(JSON.parse(JSON.stringify(held)));
    await cluster.advance(20_000);
    assert.equal(cluster.runs('j-svc-saves/0').length, 2);
    assertKept();
  });

  it('nor do copies of any age, at any node, while leaders come and go', async () => {
    await ready(6);
    cluster.rememberWorkers();
    cluster.lateHeartbeats = { share: 0.4, lateMs: [2000, 25_000] };
    await cluster.submit({ ...service, taskCount: 4 });
    await cluster.submit({ ...gang, cpus: 4, taskCount: 3 });
    await cluster.submit({ id: 'j-batch', taskCount: 20 });
    for (let round = 0; round < 6; round++) {
      const leader = holder('leader');
      cluster.crash(leader);
      await cluster.advance(round % 2 === 0 ? 6000 : 700);
      cluster.start(leader);
      await cluster.advance(5000);
    }
    cluster.lateHeartbeats = undefined;
    await cluster.advance(30_000);
    cluster.checker.faultsEnded(cluster.clock.now());
    assert.equal(await phase('j-batch'), 'done');
    assert.equal(await phase('j-gang'), 'done');
    await cluster.cancelJob('j-svc', 1);
    await cluster.advance(5000);
    assertTeamFree();
    assertKept();
  });
});

describe('all controllers are away for longer than the lease', () => {
  for (const lostCommands of [false, true]) {
    it(`nothing starts twice, nothing is forgotten${lostCommands ? ', also where commands were held back meanwhile' : ''}`, async () => {
      await ready(8, {}, 25_000);
      cluster.rememberWorkers();
      const release = lostCommands ? cluster.network.cut({ path: /^\/commands/ }) : () => undefined;
      await cluster.submit({ ...service, taskCount: 4, spreadAcrossZones: true });
      await cluster.submit({ ...gang, cpus: 4, taskCount: 3 });
      await cluster.submit({ id: 'j-batch', taskCount: 8 });
      await cluster.submit({ id: 'j-off', taskCount: 2 });
      const confirmed = await cluster.cancelJob('j-off', 1);
      assert.equal(confirmed.status, 200);
      for (const node of NODES) cluster.crash(node);
      const [dead] = cluster.runs('j-svc/0');
      cluster.cut.add(dead!.machineId);
      await cluster.advance(15_000);
      for (const worker of cluster.workers.values()) assert.equal(worker.tasks.size, 0);
      cluster.start(2);
      await cluster.advance(1000);
      release();
      cluster.start(0);
      await cluster.advance(4000);
      cluster.start(1);
      await cluster.advance(16_000);
      const running = [...cluster.workers.values()].flatMap((worker) =>
        [...worker.tasks].filter(([name, task]) => name.startsWith('j-svc') && task.state === 'running'),
      );
      assert.equal(running.length, 4, 'within 20 s, not when the leases are proved over');
      cluster.checker.faultsEnded(cluster.clock.now());
      await cluster.advance(50_000);
      assert.equal(await phase('j-batch', 1), 'done');
      assert.equal(await phase('j-gang', 2), 'done');
      assert.equal(await phase('j-off', 0), 'cancelled');
      await cluster.cancelJob('j-svc', 1);
      await cluster.advance(5000);
      assertTeamFree();
      assertKept();
    });
  }
});

describe('leaders that change ten times in two minutes', () => {
  for (const outageMs of [0, 9000, 25_000]) {
    it(`${outageMs > 0 ? `also in an outage of ${outageMs / 1000} s, ` : ''}break no rule and leave nothing waiting`, async () => {
      await ready(8, {}, 20_000);
      cluster.rememberWorkers();
      await cluster.submit({ ...service, taskCount: 4, spreadAcrossZones: true });
      await cluster.submit({ ...gang, cpus: 4, taskCount: 3 });
      await cluster.submit({ id: 'j-zone', taskCount: 3, singleZone: true, cpus: 4 });
      await cluster.submit({ id: 'j-batch', taskCount: 16 });
      const heal = cloudDown();
      const [, one] = cluster.runs('j-svc/0').concat(cluster.runs('j-svc/1'));
      cluster.cut.add(one!.machineId);
      for (let round = 0; round < 10; round++) {
        const leader = NODES.find((node) => cluster.has(node) && node === holder('leader')) ?? round % 3;
        if (round === 4 && outageMs > 0) cluster.store.out = true;
        cluster.crash(leader);
        await cluster.advance([300, 4000, 900][round % 3]!);
        cluster.start(leader);
        await cluster.submit({ id: `j-more${round}`, taskCount: 2 }, (leader + 1) % 3);
        await cluster.advance(4000);
        if (round === 2) cluster.cut.clear();
        if (round === 4 && outageMs > 0) {
          await cluster.advance(outageMs);
          cluster.store.endOutage();
        }
        await cluster.cancelJob(`j-more${round}`, leader);
      }
      heal();
      await cluster.advance(15_000);
      cluster.checker.faultsEnded(cluster.clock.now());
      await cluster.advance(60_000);
      for (const jobId of ['j-batch', 'j-gang', 'j-zone']) assert.equal(await phase(jobId, 1), 'done', jobId);
      assert.equal(await phase('j-svc', 2), 'running');
      await cluster.cancelJob('j-svc', 1);
      await cluster.advance(5000);
      assertTeamFree();
      assertKept();
    });
  }
});

describe('transactions without an answer that are carried out late', () => {
  for (const [share, options] of [
    [0.15, {}],
    [0.4, {}],
    [0.3, red],
  ] as const) {
    it(`${share * 100} of 100${options === red ? ', where teams have no limit' : ''}, break no rule and leave nothing behind`, async () => {
      await ready(8, options);
      cluster.rememberWorkers();
      const heal = cluster.network.fault({ to: 'store:1', path: /^\/(txn|holds)/, kind: 'late', share });
      for (let round = 0; round < 8; round++) {
        for (let n = 0; n < 3; n++) {
          void cluster.users.submit(jobOf({ id: `j-a${round}${n}`, taskCount: 3, cpus: 4 }));
          void cluster.users.submit(
            jobOf({ ...service, id: `j-svc${round}${n}`, taskCount: 2, spreadAcrossZones: true }),
          );
        }
        void cluster.users.submit(jobOf({ ...gang, id: `j-g${round}`, cpus: 4 }));
        await cluster.advance(5000);
        for (let n = 0; n < 3; n++) void cluster.users.cancelJob(`j-svc${round}${n}`);
        if (round % 2 === 1) void cluster.users.cancelJob(`j-a${round}0`);
        const part = `part-${round % 3}`;
        const [owner, leader] = [holder(part), holder('leader')];
        if (round % 3 === 0 && cluster.has(owner)) void cluster.node(owner).leadership.release(part, 'scenario', 2000);
        if (round % 3 === 1 && cluster.has(leader)) void cluster.restart(leader, 300);
        await cluster.advance(3000);
      }
      heal();
      await cluster.advance(15_000);
      cluster.checker.faultsEnded(cluster.clock.now());
      await cluster.advance(70_000);
      // Some were called off before they were accepted, and so never.
      for (const [jobId, { state }] of cluster.users.jobs) if (state === 'running') void cluster.users.cancelJob(jobId);
      await cluster.advance(20_000);
      for (const [jobId, job] of cluster.users.jobs) assert.ok(['done', 'cancelled'].includes(job.state), jobId);
      assertTeamFree();
      assertKept();
    });
  }

  it('of rentals rent nothing twice and leave no record', async () => {
    await ready(0);
    for (const zone of ['a', 'b', 'c']) cluster.cloud.full.add(zone);
    const heal = cluster.network.fault({
      path: /^\/txn/,
      where: (transact) => JSON.stringify(transact).includes('live/hire/'),
      kind: 'late',
      share: 0.5,
    });
    await cluster.submit({ taskCount: 8 });
    await cluster.advance(20_000);
    heal();
    cluster.cloud.full.clear();
    await cluster.advance(12_000);
    cluster.crash(holder('leader'));
    await cluster.advance(10_000);
    const machineIds = [...cluster.cloud.rentals.values()].flat();
    assert.equal(machineIds.length, 2, '8 tasks of 2 CPUs on machines of 8');
    for (const zone of ['a', 'b', 'c']) cluster.cloud.full.add(zone);
    for (const machineId of machineIds) cluster.addWorker({ machineId, runMs: 5000 });
    await cluster.advance(25_000);
    assert.deepEqual(
      [...cluster.store.rows.keys()].filter((key) => key.startsWith('live/hire/')),
      [],
    );
    assert.equal(await phase('j-000001', someNode()), 'done');
    assertKept();
  });
});
