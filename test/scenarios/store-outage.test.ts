import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import type { JsonResponse } from '../../src/net/json-response.js';
import { Cluster } from '../../testing/cluster.js';
import { type ClusterOptions } from '../../testing/fixtures.js';
import { encodeJobState } from '../../testing/job-status-wire-codec.js';

let cluster: Cluster;
afterEach(() => assert.deepEqual(cluster.stopAndCheck(), []));

const CANCEL_DEADLINE_MS = 36_000;
const NODES = [0, 1, 2];
const service = {
  kind: 'service',
  priority: 'prod',
  estimatedRunS: 0,
  spreadAcrossZones: false,
  taskCount: 1,
} as const;

async function startCluster(options: ClusterOptions = {}): Promise<void> {
  cluster = new Cluster({ nodes: 3, ...options });
  for (let index = 0; index < 9; index++) {
    cluster.addWorker({ machineId: `i-00000${index}`, zone: ['a', 'b', 'c'][index % 3]! });
  }
  await cluster.advance(5000);
}

/** Starts a service whose task runs on a machine of n0's partition: n0 is the node that the store refuses later. */
async function runOnNode0(): Promise<string> {
  for (let n = 0; n < 8; n++) {
    const jobId = `j-svc${n}`;
    await cluster.submit({ ...service, id: jobId });
    const machineId = cluster.runs(`${jobId}/0`)[0]?.machineId;
    if (
      machineId !== undefined &&
      cluster.node(0).leadership.leaderOf(cluster.node(0).workerManager.roleOf(machineId)) === 'n0'
    )
      return jobId;
  }
  throw new Error('no task on a machine of n0');
}

/** Loses all messages between the node and its peers; returns what ends that. */
function isolateFromPeers(node: string): () => void {
  const pairs = NODES.map((each) => `n${each}`)
    .filter((each) => each !== node)
    .flatMap((each) => [`${node}>${each}`, `${each}>${node}`]);
  for (const pair of pairs) cluster.partitioned.add(pair);
  return () => {
    for (const pair of pairs) cluster.partitioned.delete(pair);
  };
}

/** Starts a service on a machine of n0's partition; then the store refuses n0, and n0 is cut off from its peers. */
async function isolatePartitionLeader(): Promise<{ jobId: string; reconnect: () => void }> {
  await startCluster();
  const jobId = await runOnNode0();
  cluster.store.refusedNodes.add('n0');
  return { jobId, reconnect: isolateFromPeers('n0') };
}

/** Cancels a job through a node that the store doesn't refuse; returns the monotonic ms of the confirmation. */
async function cancelThrough(jobId: string, node: number): Promise<number> {
  let at = NaN;
  const asked = cluster.requestCancellation(jobId, node);
  void asked.then(() => (at = cluster.clock.now()));
  const answer: JsonResponse = await cluster.advanceUntilSettled(asked, 300);
  assert.deepEqual(answer.body, encodeJobState(jobId, 'cancelled'));
  return at;
}

const endedAt = (jobId: string): number => cluster.runs(`${jobId}/0`)[0]!.to ?? Infinity;

function assertEndedInTime(jobId: string, confirmedAt: number): void {
  const late = endedAt(jobId) - confirmedAt - CANCEL_DEADLINE_MS;
  assert.ok(late <= 0, `${jobId} was on its machine ${late / 1000} s too long`);
  assert.equal(cluster.runs(`${jobId}/0`).length, 1, 'it did not start again');
}

describe('when the store refuses only a partition leader, a peer confirms a cancellation, and then the store is out for all', () => {
  for (const refusedMs of [200, 1000, 2000, 2700]) {
    it(`${refusedMs} ms later, the tasks end in time, though the leader has missed the cancellation`, async () => {
      const { jobId, reconnect } = await isolatePartitionLeader();
      await cluster.advance(refusedMs / 2);
      const at = await cancelThrough(jobId, 1);
      await cluster.advance(Math.max(0, refusedMs / 2 - 300));
      cluster.store.isUnavailable = true;
      reconnect();
      await cluster.advance(64_000);
      assertEndedInTime(jobId, at);
    });
  }

  it('the tasks end in time while the leader stays cut off from its peers, by its clock alone', async () => {
    const { jobId } = await isolatePartitionLeader();
    const at = await cancelThrough(jobId, 1);
    cluster.store.isUnavailable = true;
    await cluster.advance(64_000);
    assertEndedInTime(jobId, at);
  });

  it('the replica of a node that restarted in the outage is not taken to hold what its former incarnation confirmed', async () => {
    const { jobId, reconnect } = await isolatePartitionLeader();
    // No node but n1 learns of the cancellation.
    const reconnectNode1 = isolateFromPeers('n1');
    const restoreWatch = cluster.network.addFault({ from: 'n2', path: /^\/watch/, kind: 'lose' });
    const at = await cancelThrough(jobId, 1);
    cluster.store.isUnavailable = true;
    cluster.crash(1);
    restoreWatch();
    cluster.start(1);
    reconnectNode1();
    reconnect();
    await cluster.advance(64_000);
    assertEndedInTime(jobId, at);
  });

  it('tasks that nobody cancelled survive the outage, though the replicas differed by seconds', async () => {
    await startCluster();
    const jobId = await runOnNode0();
    cluster.store.refusedNodes.add('n0');
    await cluster.advance(2700);
    cluster.store.isUnavailable = true;
    await cluster.advance(64_000);
    cluster.store.refusedNodes.clear();
    cluster.store.endOutage();
    await cluster.advance(8000);
    assert.equal(endedAt(jobId), Infinity);
    assert.equal(cluster.runs(`${jobId}/0`).length, 1);
  });

  it('cancelled tasks are stopped by any node that reaches the machine, without waiting for the partition leader', async () => {
    const { jobId } = await isolatePartitionLeader();
    const at = await cancelThrough(jobId, 1);
    cluster.store.isUnavailable = true;
    await cluster.advance(8000);
    assert.ok(endedAt(jobId) - at < 8000, 'within seconds');
  });
});
