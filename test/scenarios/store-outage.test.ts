import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import type { HttpAnswer } from '../../src/net/http-answer.js';
import { Cluster } from '../../testing/cluster.js';
import { type ClusterOptions } from '../../testing/fixtures.js';
import { encodeJobState } from '../../testing/job-status-wire-codec.js';

let cluster: Cluster;
afterEach(() => assert.deepEqual(cluster.verdict(), []));

const CANCEL_MS = 36_000;
const NODES = [0, 1, 2];
const service = {
  kind: 'service',
  priority: 'prod',
  estimatedRunS: 0,
  spreadAcrossZones: false,
  taskCount: 1,
} as const;

async function ready(options: ClusterOptions = {}): Promise<void> {
  cluster = new Cluster({ nodes: 3, ...options });
  for (let index = 0; index < 9; index++) {
    cluster.addWorker({ machineId: `i-00000${index}`, zone: ['a', 'b', 'c'][index % 3]! });
  }
  await cluster.advance(5000);
}

/** A service whose task runs on a machine of n0's part: n0 is then the one to be refused. */
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

/** Nothing that n0 is told over the mesh arrives, nor what it says. */
function part(node: string): () => void {
  const pairs = NODES.map((each) => `n${each}`)
    .filter((each) => each !== node)
    .flatMap((each) => [`${node}>${each}`, `${each}>${node}`]);
  for (const pair of pairs) cluster.partitioned.add(pair);
  return () => {
    for (const pair of pairs) cluster.partitioned.delete(pair);
  };
}

/** A service of a machine of n0's part; the store then refuses n0, and its peers are cut off from it. */
async function isolateOwner(): Promise<{ jobId: string; reconnect: () => void }> {
  await ready();
  const jobId = await runOnNode0();
  cluster.store.refused.add('n0');
  return { jobId, reconnect: part('n0') };
}

/** Calls a job off through a node that is not the refused one; returns the steady ms of the confirmation. */
async function callOff(jobId: string, node: number): Promise<number> {
  let at = NaN;
  const asked = cluster.requestCancellation(jobId, node);
  void asked.then(() => (at = cluster.clock.now()));
  const answer: HttpAnswer = await cluster.during(asked, 300);
  assert.deepEqual(answer.body, encodeJobState(jobId, 'cancelled'));
  return at;
}

const endOf = (jobId: string): number => cluster.runs(`${jobId}/0`)[0]!.to ?? Infinity;

function assertGoneInTime(jobId: string, confirmedAt: number): void {
  const late = endOf(jobId) - confirmedAt - CANCEL_MS;
  assert.ok(late <= 0, `${jobId} was on its machine for ${late / 1000} s too long`);
  assert.equal(cluster.runs(`${jobId}/0`).length, 1, 'and never started again');
}

describe('the store refuses an owner alone, a peer confirms a cancellation, then the store is out for all', () => {
  for (const refusedMs of [200, 1000, 2000, 2700]) {
    it(`after ${refusedMs} ms: the tasks are gone in time, though the news was lost`, async () => {
      const { jobId, reconnect } = await isolateOwner();
      await cluster.advance(refusedMs / 2);
      const at = await callOff(jobId, 1);
      await cluster.advance(Math.max(0, refusedMs / 2 - 300));
      cluster.store.out = true;
      reconnect();
      await cluster.advance(64_000);
      assertGoneInTime(jobId, at);
    });
  }

  it('and they are gone in time where the mesh stays cut, by the clock alone', async () => {
    const { jobId } = await isolateOwner();
    const at = await callOff(jobId, 1);
    cluster.store.out = true;
    await cluster.advance(64_000);
    assertGoneInTime(jobId, at);
  });

  it('and the word of a node that came back in the outage does not stand for what its former life confirmed', async () => {
    const { jobId, reconnect } = await isolateOwner();
    // Nobody but n1 hears of it either.
    const alone = part('n1');
    const watch = cluster.network.fault({ from: 'n2', path: /^\/watch/, kind: 'lose' });
    const at = await callOff(jobId, 1);
    cluster.store.out = true;
    cluster.crash(1);
    watch();
    cluster.start(1);
    alone();
    reconnect();
    await cluster.advance(64_000);
    assertGoneInTime(jobId, at);
  });

  it('and what nobody called off lives through the outage, though the copies differed by seconds', async () => {
    await ready();
    const jobId = await runOnNode0();
    cluster.store.refused.add('n0');
    await cluster.advance(2700);
    cluster.store.out = true;
    await cluster.advance(64_000);
    cluster.store.refused.clear();
    cluster.store.endOutage();
    await cluster.advance(8000);
    assert.equal(endOf(jobId), Infinity);
    assert.equal(cluster.runs(`${jobId}/0`).length, 1);
  });

  it('and tasks called off are stopped by whoever reaches the machine, without waiting for their owner', async () => {
    const { jobId } = await isolateOwner();
    const at = await callOff(jobId, 1);
    cluster.store.out = true;
    await cluster.advance(8000);
    assert.ok(endOf(jobId) - at < 8000, 'within seconds');
  });
});
