import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import { type ClusterOptions, jobOf } from '../../testing/fixtures.js';
import { decodeJobStatus } from '../../testing/job-status-wire-codec.js';

let cluster: Cluster;
afterEach(() => cluster.stop());

const NODES = [0, 1, 2];
const unlimitedTeam = { teams: [{ name: 'red' }] };
const service = { id: 'j-svc', kind: 'service', priority: 'prod', estimatedRunS: 0, taskCount: 1 } as const;
/** Each task fills a machine. */
const gang = { id: 'j-gang', kind: 'gang', priority: 'high', taskCount: 2, cpus: 8 } as const;

async function startCluster(machines: number, options: ClusterOptions = {}, runMs = 5000): Promise<void> {
  cluster = new Cluster({ nodes: 3, ...options });
  for (let index = 0; index < machines; index++) {
    cluster.addWorker({ machineId: `i-00000${index}`, zone: ['a', 'b', 'c'][index % 3]!, runMs });
  }
  await cluster.advance(5000);
}

const someNode = () => NODES.map((node) => cluster.isUp(node)).indexOf(true);
const roleOf = (machineId: string) => cluster.node(someNode()).workerManager.roleOf(machineId);
/** The node that leads a role, according to some node that is up. */
const leaderOf = (role: string) => Number(cluster.node(someNode()).leadership.leaderOf(role)?.slice(1));
const statusOf = (answer: { body: unknown }) => decodeJobStatus(answer.body);
const jobState = async (jobId: string, node = 0) => statusOf(await cluster.poll(jobId, node)).state;
const startCloudOutage = () =>
  cluster.network.addFault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });

/** The ids of `count` machines of the role's partition. */
function machinesOf(role: string, count: number): string[] {
  const machineIds = Array.from({ length: 60 }, (_, n) => `i-${String(n + 10).padStart(6, '0')}`);
  return machineIds.filter((machineId) => roleOf(machineId) === role).slice(0, count);
}

/** No records of jobs or placements are left, and the team uses nothing. */
function assertNothingLeft(): void {
  const use = cluster.store.rows.get('live/team/red')?.value as { cpus: number } | undefined;
  assert.equal(use?.cpus ?? 0, 0);
  assert.deepEqual(
    [...cluster.store.rows.keys()].filter((key) => key.startsWith('live/job') || key.startsWith('live/ledger')),
    [],
  );
}

function assertNoViolations(): void {
  assert.deepEqual(cluster.stopAndCheck(), []);
}

describe('jobs of two or three tasks that end far apart', () => {
  it('are done when the last task has ended, and not before, though leaders change in between', async () => {
    await startCluster(0, unlimitedTeam);
    for (const [n, runMs] of [4000, 16_000, 30_000].entries()) {
      cluster.addWorker({ machineId: `i-00000${n}`, zone: ['a', 'b', 'c'][n]!, runMs });
    }
    await cluster.advance(4000);
    await cluster.submit({ id: 'j-three', taskCount: 3, cpus: 8 });
    // The tasks run one after the other on the only machine of their zone, which at times takes no new tasks.
    for (const zone of ['a', 'b', 'c']) cluster.cloud.fullZones.add(zone);
    await cluster.submit({ id: 'j-next', taskCount: 3, cpus: 8, zone: 'a' });
    cluster.rememberWorkers();
    for (let round = 0; round < 9; round++) {
      const leader = leaderOf('leader');
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
    assert.equal(await jobState('j-three'), 'done');
    await cluster.advance(20_000);
    assert.equal(await jobState('j-next'), 'done');
    for (const taskIndex of [0, 1, 2]) assert.equal(cluster.runs(`j-three/${taskIndex}`).length, 1);
    assertNoViolations();
  });

  it('that form a gang are done though the loss of one machine was recorded before the end of the other task', async () => {
    await startCluster(0, unlimitedTeam);
    const leader = leaderOf('leader');
    const partitionLeader = NODES.find((node) => node !== leader && leaderOf(`part-${node}`) === node)!;
    for (const role of [`part-${leader}`, `part-${partitionLeader}`]) {
      cluster.addWorker({ machineId: machinesOf(role, 1)[0]!, runMs: 20_000 });
    }
    await cluster.advance(3000);
    await cluster.submit(gang);
    const runs = [...cluster.runs('j-gang/0'), ...cluster.runs('j-gang/1')];
    const [kept, lost] = [`part-${partitionLeader}`, `part-${leader}`].map((role) =>
      runs.find((run) => roleOf(run.machineId) === role),
    );
    await cluster.advance(kept!.from + 19_800 - cluster.clock.now());
    // Both tasks end. One machine dies before it reports that; the other's leader gets no answers from the store for a while.
    cluster.rememberWorkers();
    cluster.disconnected.add(lost!.machineId);
    const heal = cluster.network.addFault({
      from: `n${partitionLeader}`,
      path: /^\/txn/,
      matchesBody: (transact) => JSON.stringify(transact).includes('j-gang'),
      kind: 'lose',
    });
    await cluster.advance(20_000);
    heal();
    await cluster.advance(5000);
    assert.ok(cluster.cloud.returnedMachineIds.includes(lost!.machineId));
    cluster.checker.faultsEnded(cluster.clock.now());
    assert.equal(await jobState('j-gang'), 'done');
    assertNoViolations();
  });

  it('that form a gang are restarted under a new attempt after losing one task while waiting and one while running', async () => {
    await startCluster(3, unlimitedTeam, 600_000);
    // Both tasks wait for their images, so that neither has started when one machine is lost.
    for (const worker of cluster.workers.values()) worker.options.imageMs = 20_000;
    await cluster.submit(gang);
    const [lost] = [...cluster.workers].find(([, worker]) => worker.tasks.has('j-gang/1'))!;
    cluster.rememberWorkers();
    cluster.disconnected.add(lost);
    await cluster.advance(45_000);
    const [again] = cluster.runs('j-gang/1');
    assert.notEqual(again!.machineId, lost);
    assert.equal(again!.attempt, 1, 'the other task was still waiting for it');
    cluster.addWorker({ machineId: 'i-000007', runMs: 600_000 });
    cluster.addWorker({ machineId: 'i-000008', runMs: 600_000 });
    await cluster.advance(5000);
    cluster.workers.get(again!.machineId)!.end('j-gang/1', 'error');
    // The other task notices that, and exits as well.
    await cluster.advance(23_000);
    const attempts = (taskIndex: number) => cluster.runs(`j-gang/${taskIndex}`).map((run) => run.attempt);
    assert.deepEqual(
      [attempts(0), attempts(1)],
      [
        [1, 2],
        [1, 2],
      ],
    );
    assertNoViolations();
  });

  it('that form a gang are restarted only once a task that is cut off is proved to have ended', async () => {
    await startCluster(4, unlimitedTeam, 600_000);
    await cluster.submit(gang);
    startCloudOutage();
    const [here] = cluster.runs('j-gang/0');
    cluster.disconnected.add(cluster.runs('j-gang/1')[0]!.machineId);
    await cluster.advance(4000);
    cluster.workers.get(here!.machineId)!.end('j-gang/0', 'peer_lost');
    cluster.crash(leaderOf('leader'));
    await cluster.advance(60_000);
    assert.deepEqual(
      cluster.runs('j-gang/0').map((run) => run.attempt),
      [1, 2],
    );
    assertNoViolations();
  });
});

describe('controllers that hand over their roles or restart', () => {
  it('keep serving while a store outage prevents a handover, however long, and no task ends', async () => {
    await startCluster(6);
    for (let n = 0; n < 4; n++) await cluster.submit({ ...service, id: `j-svc${n}`, taskCount: 3 });
    cluster.store.isUnavailable = true;
    for (const node of NODES) void cluster.node(node).leadership.release(`part-${node}`, 'scenario', 3000);
    await cluster.advance(45_000);
    cluster.store.endOutage();
    await cluster.advance(15_000);
    for (const worker of cluster.workers.values()) assert.equal(worker.agentEpoch, 1);
    for (const role of ['part-0', 'part-1', 'part-2', 'leader']) assert.ok(NODES.includes(leaderOf(role)), role);
    assertNoViolations();
  });

  it('leave a partition that they have released to others for the requested time', async () => {
    await startCluster(3);
    const taken = cluster.node(0).leadership.leadershipOf('part-0')!.fencingToken;
    void cluster.node(0).leadership.release('part-0', 'scenario', 8000);
    await cluster.advance(5000);
    assert.notEqual(leaderOf('part-0'), 0);
    await cluster.advance(8000);
    assert.equal(leaderOf('part-0'), 0);
    assert.ok(cluster.node(0).leadership.leadershipOf('part-0')!.fencingToken > taken);
    assertNoViolations();
  });

  for (const awayMs of [200, 900, 4000, 14_000]) {
    it(`start no task twice and lose none after handovers, if one restarts ${awayMs} ms after all have crashed`, async () => {
      await startCluster(6);
      cluster.rememberWorkers();
      await cluster.submit({ ...service, taskCount: 4 });
      await cluster.submit({ id: 'j-batch', taskCount: 12 });
      for (let round = 0; round < 6; round++) {
        const from = leaderOf(`part-${round % 3}`);
        if (!cluster.isUp(from)) continue;
        void cluster.node(from).leadership.release(`part-${round % 3}`, 'scenario', 500);
        if (cluster.isUp(leaderOf('leader')))
          void cluster.node(leaderOf('leader')).leadership.release('leader', 'scenario', 500);
        await cluster.advance(300);
        cluster.crash(from);
        await cluster.advance(150 * round);
        cluster.start(from);
        await cluster.advance(900);
      }
      // Some machines can't be reached meanwhile, and the cloud can't confirm that they are gone.
      const heal = startCloudOutage();
      for (const taskIndex of [0, 1]) cluster.disconnected.add(cluster.runs(`j-svc/${taskIndex}`).at(-1)!.machineId);
      for (const node of NODES) cluster.crash(node);
      await cluster.advance(awayMs);
      cluster.start(1);
      await cluster.advance(Math.max(4000, 8500 - awayMs));
      cluster.disconnected.clear();
      heal();
      await cluster.poll('j-batch', 1);
      cluster.start(0);
      cluster.start(2);
      await cluster.advance(40_000);
      cluster.checker.faultsEnded(cluster.clock.now());
      await cluster.advance(20_000);
      assert.equal(await jobState('j-batch', 1), 'done');
      assert.equal(statusOf(await cluster.poll('j-svc', 2)).state, 'running');
      for (const node of NODES) assert.equal(statusOf(await cluster.poll('j-svc', node)).state, 'running');
      await cluster.cancelJob('j-svc', 2);
      await cluster.advance(5000);
      assertNothingLeft();
      assertNoViolations();
    });
  }
});

describe('a heartbeat that arrives after a new leader has acted', () => {
  it('does not release the placement of a gang member that was placed there again under the same attempt', async () => {
    const workers = { report_s: 1, lease_s: 30, gang_wait_s: 300, gang_peer_s: 4, cancel_s: 80 };
    await startCluster(0, { ...unlimitedTeam, cluster: { workers } });
    const leader = leaderOf('leader');
    const [early, late] = [machinesOf(`part-${leader}`, 1)[0]!, machinesOf(`part-${(leader + 1) % 3}`, 1)[0]!];
    cluster.addWorker({ machineId: early });
    cluster.addWorker({ machineId: late, imageMs: 200_000 });
    await cluster.advance(3000);
    await cluster.submit(gang);
    const [first] = [...cluster.workers.get(early)!.tasks.keys()];
    cluster.workers.get(early)!.end(first!, 'insufficient_resources');
    const held = cluster.workers.get(early)!.composeHeartbeat();
    // The exit is recorded and forgotten, and the member is placed there again, since the others wait for it.
    await cluster.advance(15_000);
    assert.deepEqual(
      cluster.runs(first!).map(({ machineId, attempt, to }) => [machineId, attempt, to === undefined]),
      [
        [early, 1, false],
        [early, 1, true],
      ],
    );
    const heal = startCloudOutage();
    cluster.disconnected.add(early);
    cluster.crash(leader);
    cluster.addWorker({ machineId: machinesOf(`part-${(leader + 1) % 3}`, 2)[1]! });
    await cluster.advance(5000);
    const partitionLeader = leaderOf(`part-${leader}`);
    assert.notEqual(partitionLeader, leader);
    cluster.node(partitionLeader).answerHeartbeat(JSON.parse(JSON.stringify(held)));
    await cluster.advance(20_000);
    cluster.disconnected.clear();
    heal();
    await cluster.advance(20_000);
    assertNoViolations();
  });

  it('does not release the placement of a task that was told to stop and still writes its checkpoint', async () => {
    await startCluster(0, unlimitedTeam);
    const leader = leaderOf('leader');
    const machineId = machinesOf(`part-${(leader + 1) % 3}`, 1)[0]!;
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
    const partitionLeader = leaderOf(roleOf(machineId));
    cluster.node(partitionLeader).answerHeartbeat(JSON.parse(JSON.stringify(held)));
    await cluster.advance(20_000);
    assert.equal(cluster.runs('j-svc-saves/0').length, 2);
    assertNoViolations();
  });

  it('breaks no invariant, whatever its age and at any node, while leaders restart', async () => {
    await startCluster(6);
    cluster.rememberWorkers();
    cluster.lateHeartbeats = { share: 0.4, lateMs: [2000, 25_000] };
    await cluster.submit({ ...service, taskCount: 4 });
    await cluster.submit({ ...gang, cpus: 4, taskCount: 3 });
    await cluster.submit({ id: 'j-batch', taskCount: 20 });
    for (let round = 0; round < 6; round++) {
      const leader = leaderOf('leader');
      cluster.crash(leader);
      await cluster.advance(round % 2 === 0 ? 6000 : 700);
      cluster.start(leader);
      await cluster.advance(5000);
    }
    cluster.lateHeartbeats = undefined;
    await cluster.advance(30_000);
    cluster.checker.faultsEnded(cluster.clock.now());
    assert.equal(await jobState('j-batch'), 'done');
    assert.equal(await jobState('j-gang'), 'done');
    await cluster.cancelJob('j-svc', 1);
    await cluster.advance(5000);
    assertNothingLeft();
    assertNoViolations();
  });
});

describe('while all controllers are down for longer than the lease', () => {
  for (const lostCommands of [false, true]) {
    it(`no task starts twice and none is lost${lostCommands ? ', even if commands are held back meanwhile' : ''}`, async () => {
      await startCluster(8, {}, 25_000);
      cluster.rememberWorkers();
      const release = lostCommands ? cluster.network.holdMessages({ path: /^\/commands/ }) : () => undefined;
      await cluster.submit({ ...service, taskCount: 4, spreadAcrossZones: true });
      await cluster.submit({ ...gang, cpus: 4, taskCount: 3 });
      await cluster.submit({ id: 'j-batch', taskCount: 8 });
      await cluster.submit({ id: 'j-off', taskCount: 2 });
      const confirmed = await cluster.cancelJob('j-off', 1);
      assert.equal(confirmed.status, 200);
      for (const node of NODES) cluster.crash(node);
      const [dead] = cluster.runs('j-svc/0');
      cluster.disconnected.add(dead!.machineId);
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
      assert.equal(running.length, 4, 'within 20 s, before the leases are proved to have expired');
      cluster.checker.faultsEnded(cluster.clock.now());
      await cluster.advance(50_000);
      assert.equal(await jobState('j-batch', 1), 'done');
      assert.equal(await jobState('j-gang', 2), 'done');
      assert.equal(await jobState('j-off', 0), 'cancelled');
      await cluster.cancelJob('j-svc', 1);
      await cluster.advance(5000);
      assertNothingLeft();
      assertNoViolations();
    });
  }
});

describe('leaders that restart ten times in two minutes', () => {
  for (const outageMs of [0, 9000, 25_000]) {
    it(`break no invariant and leave no job waiting${outageMs > 0 ? `, also with a store outage of ${outageMs / 1000} s` : ''}`, async () => {
      await startCluster(8, {}, 20_000);
      cluster.rememberWorkers();
      await cluster.submit({ ...service, taskCount: 4, spreadAcrossZones: true });
      await cluster.submit({ ...gang, cpus: 4, taskCount: 3 });
      await cluster.submit({ id: 'j-zone', taskCount: 3, singleZone: true, cpus: 4 });
      await cluster.submit({ id: 'j-batch', taskCount: 16 });
      const heal = startCloudOutage();
      const [, one] = cluster.runs('j-svc/0').concat(cluster.runs('j-svc/1'));
      cluster.disconnected.add(one!.machineId);
      for (let round = 0; round < 10; round++) {
        const leader = NODES.find((node) => cluster.isUp(node) && node === leaderOf('leader')) ?? round % 3;
        if (round === 4 && outageMs > 0) cluster.store.isUnavailable = true;
        cluster.crash(leader);
        await cluster.advance([300, 4000, 900][round % 3]!);
        cluster.start(leader);
        await cluster.submit({ id: `j-more${round}`, taskCount: 2 }, (leader + 1) % 3);
        await cluster.advance(4000);
        if (round === 2) cluster.disconnected.clear();
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
      for (const jobId of ['j-batch', 'j-gang', 'j-zone']) assert.equal(await jobState(jobId, 1), 'done', jobId);
      assert.equal(await jobState('j-svc', 2), 'running');
      await cluster.cancelJob('j-svc', 1);
      await cluster.advance(5000);
      assertNothingLeft();
      assertNoViolations();
    });
  }
});

describe('transactions that get no answer and are executed late', () => {
  for (const [share, options] of [
    [0.15, {}],
    [0.4, {}],
    [0.3, unlimitedTeam],
  ] as const) {
    it(`break no invariant and leave no records, at a share of ${share * 100} %${options === unlimitedTeam ? ', without team limits' : ''}`, async () => {
      await startCluster(8, options);
      cluster.rememberWorkers();
      const heal = cluster.network.addFault({ to: 'store:1', path: /^\/(txn|holds)/, kind: 'late', share });
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
        const [partitionLeader, leader] = [leaderOf(part), leaderOf('leader')];
        if (round % 3 === 0 && cluster.isUp(partitionLeader))
          void cluster.node(partitionLeader).leadership.release(part, 'scenario', 2000);
        if (round % 3 === 1 && cluster.isUp(leader)) void cluster.restart(leader, 300);
        await cluster.advance(3000);
      }
      heal();
      await cluster.advance(15_000);
      cluster.checker.faultsEnded(cluster.clock.now());
      await cluster.advance(70_000);
      // The cancellations of some jobs came before their acceptance and had no effect.
      for (const [jobId, { state }] of cluster.users.jobs) if (state === 'running') void cluster.users.cancelJob(jobId);
      await cluster.advance(20_000);
      for (const [jobId, job] of cluster.users.jobs) assert.ok(['done', 'cancelled'].includes(job.state), jobId);
      assertNothingLeft();
      assertNoViolations();
    });
  }

  it('rent no machine twice and leave no rental record', async () => {
    await startCluster(0);
    for (const zone of ['a', 'b', 'c']) cluster.cloud.fullZones.add(zone);
    const heal = cluster.network.addFault({
      path: /^\/txn/,
      matchesBody: (transact) => JSON.stringify(transact).includes('live/hire/'),
      kind: 'late',
      share: 0.5,
    });
    await cluster.submit({ taskCount: 8 });
    await cluster.advance(20_000);
    heal();
    cluster.cloud.fullZones.clear();
    await cluster.advance(12_000);
    cluster.crash(leaderOf('leader'));
    await cluster.advance(10_000);
    const machineIds = [...cluster.cloud.rentals.values()].flat();
    assert.equal(machineIds.length, 2, '8 tasks of 2 CPUs on machines of 8');
    for (const zone of ['a', 'b', 'c']) cluster.cloud.fullZones.add(zone);
    for (const machineId of machineIds) cluster.addWorker({ machineId, runMs: 5000 });
    await cluster.advance(25_000);
    assert.deepEqual(
      [...cluster.store.rows.keys()].filter((key) => key.startsWith('live/hire/')),
      [],
    );
    assert.equal(await jobState('j-000001', someNode()), 'done');
    assertNoViolations();
  });
});
