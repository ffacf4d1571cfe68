import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';

let cluster: Cluster;
afterEach(() => {
  assert.deepEqual(cluster.verdict(), []);
  cluster.stop();
});

const NODES = [0, 1, 2];

/** All controllers end; each of them is up again after so many ms. */
async function restartAll(upAfterMs: readonly number[]): Promise<void> {
  for (const node of NODES) cluster.crash(node);
  // Until the store leases of the former processes have expired.
  await cluster.advance(5000);
  let passed = 0;
  for (const [node, ms] of [...upAfterMs.entries()].sort(([, a], [, b]) => a - b)) {
    await cluster.advance(ms - passed);
    passed = ms;
    cluster.start(node);
  }
}

async function ready(): Promise<void> {
  cluster = new Cluster({ nodes: 3 });
  for (const zone of ['a', 'b', 'c']) cluster.addWorker({ machineId: `i-00000${zone}`, zone });
  await cluster.advance(5000);
}

const fencingTokenOf = (node: number, role: string) => cluster.node(node).leadership.leadershipOf(role)?.fencingToken;

describe('controllers that all restart, one a second later', () => {
  it('leave each other their preferred partitions, so that no worker has to reconnect for a handover', async () => {
    await ready();
    await restartAll([0, 400, 1000]);
    await cluster.advance(1000);
    const fencingTokens = NODES.map((node) => fencingTokenOf(node, `part-${node}`));
    for (const fencingToken of fencingTokens) assert.notEqual(fencingToken, undefined);
    await cluster.advance(10_000);
    assert.deepEqual(
      NODES.map((node) => fencingTokenOf(node, `part-${node}`)),
      fencingTokens,
    );
  });

  it('acquire the partition of one that stays down', async () => {
    await ready();
    await restartAll([0, 400, 60_000]);
    // The last one is up only now: who led its partition in the meantime is seen by the fencing token.
    assert.ok([0, 1].some((node) => fencingTokenOf(node, 'part-2') !== undefined));
  });
});

describe('a controller that ends while the others go on', () => {
  it('is replaced as soon as its store lease has expired', async () => {
    await ready();
    cluster.crash(2);
    await cluster.advance(4500);
    assert.ok([0, 1].some((node) => fencingTokenOf(node, 'part-2') !== undefined));
  });
});
