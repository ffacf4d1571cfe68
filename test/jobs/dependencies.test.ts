import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import type { ClusterOptions } from '../../testing/fixtures.js';
import type { Submission } from '../../testing/submission-wire-codec.js';

let cluster: Cluster;
afterEach(() => assert.deepEqual(cluster.stopAndCheck(), []));

const ANNOUNCED_LIMITS = { value_kb: 2, txn_ops: 4, write_rps: 15 };

async function startCluster(nodes = 3, options: ClusterOptions = {}, machines = 3, runMs = 3000): Promise<Cluster> {
  const clusterSettings = { state: { rps: 250, write_rps: 15, value_kb: 4, txn_ops: 12, next: ANNOUNCED_LIMITS } };
  cluster = new Cluster({ nodes, cluster: clusterSettings, ...options });
  for (let n = 0; n < machines; n++) cluster.addWorker({ machineId: `i-00000${n}`, zone: 'abc'[n % 3]!, runMs });
  await cluster.advance(6000);
  return cluster;
}

const submit = async (jobId: string, dependencies: unknown, fields: Partial<Submission> = {}, node = 0) =>
  (await cluster.submit({ id: jobId, dependencies: dependencies as string[] | null, ...fields }, node)).status;
const phaseOf = async (jobId: string, node = 0) => ((await cluster.poll(jobId, node)).body as { Phase: string }).Phase;
const startOf = (taskId: string) => cluster.runs(taskId)[0]?.from ?? Infinity;
const endOf = (taskId: string) => cluster.runs(taskId)[0]?.to ?? Infinity;
const recordOf = (jobId: string) =>
  cluster.store.rows.get(`live/job/${jobId}`)?.value as { phase: string; awaits?: string[] } | undefined;

describe('a job with dependencies', () => {
  it('starts soon after the last dependency is done', async () => {
    await startCluster(3, {}, 3, 14_000);
    assert.equal(await submit('j-a', null, { taskCount: 2 }), 201);
    assert.equal(await submit('j-b', [], { team: 'red' }, 1), 201);
    assert.equal(await submit('j-c', ['j-a', 'j-b', 'j-a'], { taskCount: 2 }, 2), 201);
    assert.equal(await submit('j-d', ['j-c'], {}, 1), 201);
    assert.equal(await phaseOf('j-d', 2), 'queued');
    await cluster.advance(45_000);
    const lastEnd = Math.max(endOf('j-a/0'), endOf('j-a/1'), endOf('j-b/0'));
    assert.ok(startOf('j-c/0') >= lastEnd && startOf('j-c/0') < lastEnd + 2500);
    assert.equal(await phaseOf('j-d', 1), 'done');
  });

  it('starts at once if all its dependencies are done already, even if no running node has seen them end', async () => {
    await startCluster();
    assert.equal(await submit('j-a', null), 201);
    await cluster.advance(8000);
    // After the restart no node has seen how j-a ended.
    for (const node of [0, 1, 2]) cluster.crash(node);
    for (const node of [0, 1, 2]) cluster.start(node);
    await cluster.advance(6000);
    assert.equal(await submit('j-b', ['j-a'], {}, 1), 201);
    await cluster.advance(5000);
    assert.equal(await phaseOf('j-b', 2), 'done');
  });

  it('is rejected if a dependency was never accepted, is the job itself or a service, or if ids are too many or malformed', async () => {
    await startCluster(2);
    assert.equal(await submit('j-svc', null, { kind: 'service', estimatedRunS: 0 }), 201);
    assert.equal(await submit('j-a', ['j-nobody']), 422);
    assert.equal(await submit('j-a', ['j-a']), 422);
    assert.equal(await submit('j-a', ['j-svc'], {}, 1), 422);
    const tooManyIds = Array.from({ length: 300 }, (_, n) => `j-${'x'.repeat(90)}${n}`);
    assert.equal(await submit('j-a', tooManyIds), 422);
    for (const malformed of ['j-svc', [7], [null], ['svc'], {}, 3]) assert.equal(await submit('j-a', malformed), 400);
    assert.equal((await cluster.poll('j-a')).status, 404);
    // A known job keeps its state, whatever a repeated submission contains.
    assert.equal(await submit('j-b', null), 201);
    assert.equal(await submit('j-b', ['j-nobody']), 200);
    assert.equal(await submit('j-b', 'odd'), 200);
  });

  it('is accepted by a node that does not know its dependency yet, but gets 503 there while the store is unreachable', async () => {
    await startCluster(2);
    cluster.partitioned.add('n0>n1');
    cluster.network.addFault({ from: 'n1', to: 'store:1', path: /^\/watch/, kind: 'lose' });
    assert.equal(await submit('j-a', null, {}, 0), 201);
    assert.equal(await submit('j-b', ['j-a'], {}, 1), 201);
    cluster.store.refusedNodes.add('n1');
    assert.equal(await submit('j-c', ['j-new'], {}, 1), 503);
  });

  it("uses none of its team's quota while it waits", async () => {
    await startCluster(2, { teams: [{ name: 'red', cpus_max: 4 }] });
    assert.equal(await submit('j-a', null, { taskCount: 2 }), 201);
    assert.equal(await submit('j-wait', ['j-a'], { taskCount: 2 }), 201);
    assert.deepEqual(cluster.store.rows.get('live/team/red')?.value, { cpus: 4, cards: 0 });
    await cluster.advance(10_000);
    assert.equal(await phaseOf('j-wait'), 'done');
  });
});

describe('a cancellation', () => {
  it('reaches all direct and indirect dependents, including later submissions, and no dependency', async () => {
    await startCluster(3, {}, 3, 100_000);
    assert.equal(await submit('j-0', null), 201);
    for (let n = 1; n <= 12; n++) assert.equal(await submit(`j-${n}`, [`j-${n - 1}`], {}, n % 3), 201);
    assert.equal((await cluster.cancelJob('j-2', 1)).status, 200);
    for (const node of [0, 1, 2]) assert.equal(await phaseOf('j-12', node), 'withdrawn');
    assert.equal(await phaseOf('j-1'), 'queued');
    const submittedLater = await cluster.submit({ id: 'j-late', dependencies: ['j-12'] }, 2);
    assert.equal(submittedLater.status, 201);
    assert.equal((submittedLater.body as { Phase: string }).Phase, 'withdrawn');
    await cluster.advance(15_000);
    assert.equal(recordOf('j-12'), undefined);
    assert.equal(recordOf('j-1')?.phase, 'waiting');
    assert.equal(await phaseOf('j-0'), 'running');
  });

  it('is reported at once for all dependents, however few writes the store allows', async () => {
    await startCluster(3, {}, 3, 100_000);
    assert.equal(await submit('j-0', null), 201);
    for (let n = 1; n <= 8; n++) assert.equal(await submit(`j-${n}`, [`j-${n - 1}`], {}, n % 3), 201);
    cluster.store.limits = { valueBytes: 2048, transactionWrites: 4, writesPerSecond: 1 };
    assert.equal((await cluster.cancelJob('j-0', 1)).status, 200);
    for (const node of [0, 1, 2]) assert.equal(await phaseOf('j-8', node), 'withdrawn');
    assert.equal(recordOf('j-8')?.phase, 'waiting');
  });

  it('is never contradicted with an older state by a node that has not seen it and whose peers are down', async () => {
    await startCluster(2, {}, 2, 200_000);
    assert.equal(await submit('j-a', null), 201);
    assert.equal(await submit('j-b', ['j-a'], {}, 1), 201);
    cluster.partitioned.add('n0>n1');
    cluster.network.addFault({ from: 'n1', to: 'store:1', path: /^\/watch/, kind: 'lose' });
    await cluster.advance(3000);
    // The cancellation is the only write that the store accepts, so the dependents keep their records.
    cluster.store.limits = { valueBytes: 2048, transactionWrites: 4, writesPerSecond: 1 };
    void cluster.requestCancellation('j-a', 0);
    await cluster.until(() => recordOf('j-a')?.phase === 'withdrawn', 2000);
    await cluster.advance(1);
    cluster.crash(0);
    assert.equal(recordOf('j-b')?.phase, 'waiting');
    for (let s = 0; s < 60; s += 5) {
      await cluster.advance(2000);
      await cluster.poll('j-b', 1);
    }
    cluster.store.limits = undefined;
    cluster.network.clearFaults();
    cluster.partitioned.clear();
    await cluster.advance(20_000);
    assert.equal(await phaseOf('j-b', 1), 'withdrawn');
  });

  it('that races with the last exit ends the whole chain as done or as withdrawn, as the cancellation was answered', async () => {
    for (const afterMs of [0, 20, 60, 150, 400]) {
      await startCluster(3);
      assert.equal(await submit('j-a', null), 201);
      assert.equal(await submit('j-b', ['j-a'], {}, 1), 201);
      await cluster.until(() => endOf('j-a/0') < Infinity, 10_000);
      await cluster.advance(afterMs);
      const confirmedPhase = ((await cluster.cancelJob('j-a', 2)).body as { Phase: string }).Phase;
      await cluster.advance(8000);
      assert.equal(await phaseOf('j-b', 1), confirmedPhase);
      assert.deepEqual(cluster.stopAndCheck(), []);
    }
  });

  it('that is confirmed just as the store fails is never contradicted with an older state after its deadline', async () => {
    await startCluster(3, {}, 3, 100_000);
    assert.equal(await submit('j-a', null), 201);
    assert.equal(await submit('j-b', ['j-a'], {}, 1), 201);
    assert.equal(await submit('j-c', ['j-b'], {}, 2), 201);
    // The other nodes receive no message about the cancellation.
    for (const node of ['n1', 'n2']) cluster.partitioned.add(`n0>${node}`);
    const cancelled = cluster.requestCancellation('j-a', 0);
    await cluster.until(() => recordOf('j-a')?.phase === 'withdrawn', 2000);
    cluster.store.isUnavailable = true;
    await cluster.advanceUntilSettled(cancelled, 100);
    for (let s = 0; s < 40; s += 5) {
      await cluster.advance(3000);
      for (const node of [1, 2]) await cluster.poll('j-c', node);
    }
    cluster.partitioned.clear();
    cluster.store.endOutage();
    await cluster.advance(5000);
    for (const node of [0, 1, 2]) assert.equal(await phaseOf('j-c', node), 'withdrawn');
  });
});

describe('a waiting job advances', () => {
  it('even if the node that ended its last dependency is down and no peer was notified', async () => {
    await startCluster(3, {}, 3, 8000);
    assert.equal(await submit('j-a', null), 201);
    assert.equal(await submit('j-b', ['j-a'], {}, 1), 201);
    // The end of j-a is recorded without the release of its dependent, as by a version that does not release dependents.
    const waitingRow = cluster.store.rows.get('live/job/j-b')!;
    assert.equal(recordOf('j-b')?.phase, 'waiting');
    await cluster.until(() => cluster.store.rows.has('ended/j-a'), 10_000);
    for (const node of [0, 1, 2]) cluster.crash(node);
    cluster.store.rows.set('live/job/j-b', { ...waitingRow, modRevision: ++cluster.store.revision });
    for (const node of [0, 1, 2]) cluster.start(node);
    await cluster.advance(18_000);
    assert.equal(await phaseOf('j-b'), 'done');
  });

  it('despite a crash of all nodes and a sudden reduction of the store limits', async () => {
    await startCluster(3);
    assert.equal(await submit('j-a', null, { taskCount: 3 }), 201);
    for (let n = 0; n < 6; n++) assert.equal(await submit(`j-b${n}`, ['j-a'], {}, n % 3), 201);
    const middleJobs = Array.from({ length: 6 }, (_, n) => `j-b${n}`);
    assert.equal(await submit('j-c', middleJobs, { kind: 'gang', taskCount: 3 }, 1), 201);
    cluster.store.limits = { valueBytes: 2048, transactionWrites: 4, writesPerSecond: 15 };
    await cluster.advance(3000);
    for (const node of [0, 1, 2]) cluster.crash(node);
    await cluster.advance(1000);
    for (const node of [0, 1, 2]) cluster.start(node);
    await cluster.advance(30_000);
    assert.equal(await phaseOf('j-c', 2), 'done');
    assert.equal(cluster.store.tooLargeCount, 0);
  });
});

describe('the priority of a job', () => {
  it('is that of its most urgent dependent, and is updated as dependents are submitted and cancelled', async () => {
    await startCluster(2, {}, 1, 60_000);
    const priorityOf = (jobId: string) => cluster.node(0).clusterState.jobs.get(jobId)?.record.spec.priority;
    assert.equal(await submit('j-a', null, { priority: 'low', estimatedRunS: 20 }), 201);
    assert.equal(await submit('j-b', ['j-a'], { priority: 'low', estimatedRunS: 30 }), 201);
    assert.equal(priorityOf('j-a'), 'low');
    assert.equal(await submit('j-c', ['j-b'], { priority: 'high', deadlineS: 300, estimatedRunS: 10 }), 201);
    assert.equal(priorityOf('j-a'), 'high');
    const { finishByMs } = cluster.node(0).clusterState.jobs.get('j-a')!;
    const { submittedAtMs } = cluster.node(0).clusterState.jobs.get('j-c')!.record;
    assert.equal(finishByMs, submittedAtMs + (300 - 10 - 30) * 1000);
    assert.equal((await cluster.cancelJob('j-c')).status, 200);
    assert.equal(priorityOf('j-a'), 'low');
  });

  it('is inherited from urgent dependents, so that a low-priority job starts before a normal-priority one', async () => {
    await startCluster(2, { teams: [{ name: 'red' }] }, 1, 15_000);
    assert.equal(await submit('j-full', null, { cpus: 8, memoryGb: 60 }), 201);
    assert.equal(await submit('j-other', null, { cpus: 8, memoryGb: 60, priority: 'normal', estimatedRunS: 1 }), 201);
    assert.equal(await submit('j-a', null, { cpus: 8, memoryGb: 60, priority: 'low' }), 201);
    assert.equal(await submit('j-b', ['j-a'], { priority: 'high', deadlineS: 100 }), 201);
    await cluster.advance(60_000);
    assert.ok(startOf('j-a/0') < startOf('j-other/0'));
  });
});
