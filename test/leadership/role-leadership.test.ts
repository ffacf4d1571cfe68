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
  // Until the store has ended the claims of the former processes.
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

const fenceOf = (node: number, role: string) => cluster.node(node).leadership.leadershipOf(role)?.fencingToken;

describe('controllers that all come back, one a second later', () => {
  it('leave each other their own partitions, so that no worker connects anew for a handover', async () => {
    await ready();
    await restartAll([0, 400, 1000]);
    await cluster.advance(1000);
    const fences = NODES.map((node) => fenceOf(node, `part-${node}`));
    for (const fencingToken of fences) assert.notEqual(fencingToken, undefined);
    await cluster.advance(10_000);
    assert.deepEqual(
      NODES.map((node) => fenceOf(node, `part-${node}`)),
      fences,
    );
  });

  it('take the partition of one that stays away', async () => {
    await ready();
    await restartAll([0, 400, 60_000]);
    // The last one is up only now: who held its partition in the meantime is seen by the token.
    assert.ok([0, 1].some((node) => fenceOf(node, 'part-2') !== undefined));
  });
});

describe('a controller that ends while the others go on', () => {
  it('is stood in for as soon as its claim is over', async () => {
    await ready();
    cluster.crash(2);
    await cluster.advance(4500);
    assert.ok([0, 1].some((node) => fenceOf(node, 'part-2') !== undefined));
  });
});
