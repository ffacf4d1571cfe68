import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Worker } from '../../src/workers/worker.js';
import { decodeWorkerStatus } from '../../src/workers/worker-wire-codec.js';
import { Cluster } from '../../testing/cluster.js';
import { jobOf } from '../../testing/fixtures.js';

let cluster: Cluster;
afterEach(() => assert.deepEqual(cluster.stopAndCheck(), []));

async function startCluster(nodes: number, machines: number): Promise<Cluster> {
  cluster = new Cluster({ nodes });
  for (let index = 0; index < machines; index++) {
    cluster.addWorker({ machineId: `i-00000${index}`, zone: ['a', 'b', 'c'][index % 3]!, runMs: 5000 });
  }
  await cluster.advance(6000);
  return cluster;
}

const service = { id: 'j-svc', kind: 'service', priority: 'prod', estimatedRunS: 0, taskCount: 1 } as const;
const machineOf = (name: string) => cluster.runs(name).at(-1)!.machineId;
const leaderOf = (machineId: string) =>
  Number(cluster.node(0).leadership.leaderOf(cluster.node(0).workerManager.roleOf(machineId))!.slice(1));
const isSchedulable = (node: number, machineId: string) => {
  const machine = cluster.node(node).inventory.get(machineId);
  return machine !== undefined && cluster.node(node).inventory.isSchedulable(machine);
};

describe('a machine whose heartbeats arrive but which no response reaches', () => {
  it('takes no new work, and its service task starts elsewhere once its lease has expired', async () => {
    await startCluster(3, 4);
    await cluster.submit(service);
    const machineId = machineOf('j-svc/0');
    cluster.rememberWorkers();
    const since = cluster.clock.now();
    cluster.inboundLoss.add(machineId);
    await cluster.advance(12_000);
    for (const node of [0, 1, 2]) assert.equal(isSchedulable(node, machineId), false);
    await cluster.advance(8000);
    assert.ok(cluster.cloud.returnedMachineIds.includes(machineId));
    const runs = cluster.runs('j-svc/0');
    assert.equal(runs.length, 2);
    assert.ok(runs[1]!.from - since < 16_000, `${runs[1]!.from - since} ms`);
    assert.equal(cluster.countOverlaps('j-svc/0'), 0);
  });

  it('is schedulable again as soon as responses reach it', async () => {
    await startCluster(3, 2);
    cluster.inboundLoss.add('i-000000');
    await cluster.advance(2000);
    cluster.inboundLoss.delete('i-000000');
    await cluster.advance(7000);
    assert.ok(isSchedulable(leaderOf('i-000000'), 'i-000000'));
    assert.deepEqual(cluster.cloud.returnedMachineIds, []);
  });
});

describe('a heartbeat that is overtaken by a newer command response', () => {
  it('is not treated as a late copy, and its worker counts as reached', async () => {
    await startCluster(1, 1);
    const worker = new Worker('i-000000');
    const workerStatus = decodeWorkerStatus(cluster.workers.get('i-000000')!.composeHeartbeat())!;
    worker.applyStatus({ ...workerStatus, sequence: Number(workerStatus.sequence) + 5 }, 100, false);
    assert.equal(worker.isLate(workerStatus), false);
    worker.recordResponse({
      status: workerStatus,
      fencingToken: 1,
      forwardedBy: undefined,
      lateAfterMs: 2250,
      now: 100,
    });
    assert.equal(worker.isLate(workerStatus), true);
    for (let n = 1; n <= 5; n++) {
      // Every heartbeat is overtaken by a command response, but the worker stays with this node and is in time.
      const next = { ...workerStatus, sequence: Number(workerStatus.sequence) + n, fencingToken: 1 };
      assert.equal(worker.isLate(next), false);
      worker.recordResponse({
        status: next,
        fencingToken: 1,
        forwardedBy: undefined,
        lateAfterMs: 2250,
        now: 100 + n * 1000,
      });
      worker.applyStatus({ ...next, sequence: next.sequence + 50 }, 100 + n * 1000, false);
      assert.equal(worker.isReached, true);
    }
  });
});

describe('a new leader', () => {
  // The remaining run time alone would make all later run times seem long.
  it('does not measure the run time of a task that was already running at the first contact', async () => {
    await startCluster(1, 1);
    const worker = new Worker('i-000000');
    const workerStatus = decodeWorkerStatus(cluster.workers.get('i-000000')!.composeHeartbeat())!;
    const running = (...names: string[]) =>
      new Map(
        names.map((name) => [name, { attempt: 1, state: 'running' as const, exitReason: null, isCheckpointed: false }]),
      );
    worker.applyStatus({ ...workerStatus, sequence: 1, tasks: running('j-1/0') }, 1000, true);
    worker.applyStatus({ ...workerStatus, sequence: 2, tasks: running('j-1/0', 'j-1/1') }, 2000, true);
    assert.deepEqual([...worker.runTimes.runningSince], [['j-1/1#1', 2000]]);
  });
});

describe('a late copy of a heartbeat', () => {
  it('does not show that its worker is alive: the machine is scaled in as soon as without the copies', async () => {
    await startCluster(3, 4);
    await cluster.submit(service);
    const machineId = machineOf('j-svc/0');
    const copy = cluster.workers.get(machineId)!.composeHeartbeat();
    await cluster.advance(2000);
    cluster.rememberWorkers();
    cluster.disconnected.add(machineId);
    for (let second = 0; second < 12; second++) {
      // The copy arrives at the leader, and at nodes that would otherwise consider its worker cut off from the leader.
      for (const node of [0, 1, 2]) void cluster.node(node).answerHeartbeat(JSON.parse(JSON.stringify(copy)));
      await cluster.advance(1000);
    }
    assert.ok(cluster.cloud.returnedMachineIds.includes(machineId));
    assert.equal(cluster.runs('j-svc/0').length, 2);
    assert.equal(cluster.countOverlaps('j-svc/0'), 0);
  });

  it('does not register a terminated machine again', async () => {
    await startCluster(3, 3);
    const copy = cluster.workers.get('i-000001')!.composeHeartbeat();
    cluster.disconnected.add('i-000001');
    await cluster.advance(12_000);
    assert.ok(cluster.cloud.returnedMachineIds.includes('i-000001'));
    for (const node of [0, 1, 2]) {
      void cluster.node(node).answerHeartbeat(JSON.parse(JSON.stringify(copy)));
      assert.equal(isSchedulable(node, 'i-000001'), false);
      assert.equal(cluster.node(node).workerManager.workers.has('i-000001'), false);
    }
  });

  it('does not make its machine schedulable if it is the first heartbeat at a restarted node', async () => {
    await startCluster(1, 2);
    const copy = cluster.workers.get('i-000000')!.composeHeartbeat();
    cluster.disconnected.add('i-000000');
    cluster.crash(0);
    cluster.start(0);
    await cluster.advance(1500);
    assert.equal((await cluster.node(0).answerHeartbeat(JSON.parse(JSON.stringify(copy)))).status, 200);
    assert.equal(isSchedulable(0, 'i-000000'), false);
    await cluster.advance(1000);
    assert.ok(isSchedulable(0, 'i-000001'), 'a machine whose worker has reported the new token is schedulable');
  });
});

describe('a node cut off from store and peers, but not from its workers', () => {
  it('redirects the workers to the new leader as soon as they report its token, and no task ends', async () => {
    await startCluster(3, 6);
    for (let n = 0; n < 6; n++) await cluster.submit({ ...service, id: `j-svc${n}` });
    cluster.network.addFault({ from: 'n0', to: 'store:1', kind: 'lose' });
    for (const pair of ['n0>n1', 'n0>n2', 'n1>n0', 'n2>n0']) cluster.partitioned.add(pair);
    await cluster.advance(25_000);
    assert.equal(cluster.node(0).answerHealthCheck().status, 503);
    for (let n = 0; n < 6; n++) {
      const runs = cluster.runs(`j-svc${n}/0`);
      assert.equal(runs.length, 1);
      assert.equal(runs[0]!.to, undefined);
    }
  });
});

describe('the job API in an outage of the store', () => {
  it('responds to submissions, polls and cancellations with 503 at once, not only after a timeout', async () => {
    await startCluster(1, 1);
    await cluster.submit(service);
    cluster.store.isUnavailable = true;
    const jobs = cluster.node(0).jobs;
    const spec = jobOf({ ...service, id: 'j-later' });
    // At first the store's own refusal is passed on; later the outage is already known when a request arrives.
    for (const sinceMs of [0, 5000]) {
      await cluster.advance(sinceMs);
      const asked = [jobs.submit(spec), jobs.poll('j-svc'), jobs.cancel('j-svc')];
      await cluster.advance(sinceMs === 0 ? 400 : 1);
      const statuses = await Promise.race([
        Promise.all(asked).then((answers) => answers.map((answer) => [answer.status, (answer.retryAfter ?? 0) >= 1])),
        cluster.clock.sleep(0).then(() => 'no answer yet'),
      ]);
      assert.deepEqual(
        statuses,
        asked.map(() => [503, true]),
      );
    }
  });
});

describe('a zone that is cut off', () => {
  it('keeps its machines for later use, while its tasks start elsewhere when the leases expire', async () => {
    await startCluster(3, 9);
    const inZone = [...cluster.workers.values()].filter((worker) => worker.options.zone === 'b');
    await cluster.submit({ ...service, taskCount: 4, spreadAcrossZones: true });
    for (const { options } of inZone) cluster.disconnected.add(options.machineId);
    await cluster.advance(14_000);
    const cutOff = [0, 1, 2, 3].filter((n) => cluster.runs(`j-svc/${n}`).length > 1);
    for (const n of cutOff) assert.notEqual(cluster.workers.get(machineOf(`j-svc/${n}`))!.options.zone, 'b');
    assert.ok(cutOff.length > 0);
    for (let n = 0; n < 4; n++) assert.equal(cluster.countOverlaps(`j-svc/${n}`), 0);
    assert.deepEqual(cluster.cloud.returnedMachineIds, []);
    for (const { options } of inZone) cluster.disconnected.delete(options.machineId);
    await cluster.advance(5000);
    for (const { options } of inZone) assert.ok(isSchedulable(leaderOf(options.machineId), options.machineId));
  });
});

describe('nodes that cannot reach each other', () => {
  it('place tasks on all machines as long as the partition leaders keep their leadership', async () => {
    await startCluster(3, 6);
    for (const from of [0, 1, 2]) for (const to of [0, 1, 2]) cluster.partitioned.add(`n${from}>n${to}`);
    await cluster.advance(20_000);
    for (const node of [0, 1, 2]) {
      for (const machineId of cluster.workers.keys())
        assert.ok(isSchedulable(node, machineId), `${machineId} at n${node}`);
    }
    await cluster.submit({ ...service, taskCount: 6, spreadAcrossZones: true });
    const machineIds = new Set([0, 1, 2, 3, 4, 5].map((n) => machineOf(`j-svc/${n}`)));
    assert.equal(machineIds.size, 6);
  });
});
