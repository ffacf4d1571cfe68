import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import type { ClusterOptions } from '../../testing/fixtures.js';
import { decodeJobStatus } from '../../testing/job-status-wire-codec.js';

let cluster: Cluster | undefined;
afterEach(() => {
  const violations = cluster?.stopAndCheck() ?? [];
  cluster = undefined;
  assert.deepEqual(violations, []);
});

async function startCluster(options: ClusterOptions, firstSequence: bigint | undefined): Promise<Cluster> {
  cluster = new Cluster({ nodes: 3, teams: [{ name: 'red' }], ...options });
  for (const zone of ['a', 'b', 'c'])
    cluster.addWorker({ machineId: `i-00000${zone}`, zone, runMs: 2000, ...(firstSequence && { firstSequence }) });
  await cluster.advance(6000);
  return cluster;
}

async function runJobs(): Promise<void> {
  for (const node of [0, 1, 2]) {
    assert.equal((await cluster!.submit({ id: `j-${node}`, taskCount: 4 }, node)).status, 201);
  }
  await cluster!.advance(10_000);
  for (const node of [0, 1, 2]) {
    assert.equal(decodeJobStatus((await cluster!.poll(`j-${node}`, node)).body).state, 'done');
  }
}

/** A worker's sequence number above 2^53 could not be encoded for the peers, and ended each controller that led its partition. */
describe('with counts above 2^53', () => {
  for (const firstSequence of [2n ** 53n - 3n, 1_796_000_000_000_000_000n, 2n ** 63n - 5n, 2n ** 64n - 200n]) {
    it(`jobs run on workers whose sequence numbers begin after ${firstSequence}`, async () => {
      await startCluster({}, firstSequence);
      await runJobs();
    });
  }

  it('a late copy of a heartbeat is recognized at a node that does not lead the partition', async () => {
    await startCluster({}, 2n ** 60n);
    cluster!.lateHeartbeats = { share: 0.5, lateMs: [2000, 8000] };
    await runJobs();
    for (const node of [0, 1, 2]) cluster!.crash(node);
    for (const node of [0, 1, 2]) cluster!.start(node);
    await cluster!.advance(20_000);
    assert.equal(decodeJobStatus((await cluster!.poll('j-0')).body).state, 'done');
  });

  for (const revisionOffset of [2n ** 53n - 20n, 2n ** 60n, 2n ** 63n - 20n]) {
    it(`jobs run with a store whose revisions and leases begin after ${revisionOffset}`, async () => {
      await startCluster({ revisionOffset }, undefined);
      await runJobs();
      cluster!.crash(cluster!.leader()!);
      await cluster!.advance(15_000);
      const [node] = [0, 1, 2].filter((each) => cluster!.isUp(each));
      assert.equal((await cluster!.submit({ id: 'j-after', taskCount: 4 }, node)).status, 201);
      await cluster!.advance(10_000);
      assert.equal(decodeJobStatus((await cluster!.poll('j-after', node)).body).state, 'done');
    });
  }
});
