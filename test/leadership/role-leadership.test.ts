import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import { decodeTransaction } from '../../testing/fake-store-wire-codec.js';

let cluster: Cluster;
afterEach(() => {
  assert.deepEqual(cluster.stopAndCheck(), []);
  cluster.stop();
});

const NODES = [0, 1, 2];

/** Crashes all controllers; starts each again after its delay, counted from the expiry of the store leases. */
async function restartAll(startDelaysMs: readonly number[]): Promise<void> {
  for (const node of NODES) cluster.crash(node);
  // The store leases of the former processes expire.
  await cluster.advance(5000);
  let elapsedMs = 0;
  for (const [node, ms] of [...startDelaysMs.entries()].sort(([, a], [, b]) => a - b)) {
    await cluster.advance(ms - elapsedMs);
    elapsedMs = ms;
    cluster.start(node);
  }
}

async function startCluster(): Promise<void> {
  cluster = new Cluster({ nodes: 3 });
  for (const zone of ['a', 'b', 'c']) cluster.addWorker({ machineId: `i-00000${zone}`, zone });
  await cluster.advance(5000);
}

const fencingTokenOf = (node: number, role: string) => cluster.node(node).leadership.leadershipOf(role)?.fencingToken;

describe('controllers that all restart, one of them later', () => {
  it('leave each other their preferred partitions, so that no handover makes workers reconnect', async () => {
    await startCluster();
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

  it('acquire the partition of a controller that stays down for a minute', async () => {
    await startCluster();
    await restartAll([0, 400, 60_000]);
    // The last controller has only just started: the fencing token shows which node led its partition until now.
    assert.ok([0, 1].some((node) => fencingTokenOf(node, 'part-2') !== undefined));
  });
});

describe('a controller that crashes while the others keep running', () => {
  it('is replaced as leader of its partition as soon as its store lease has expired', async () => {
    await startCluster();
    cluster.crash(2);
    await cluster.advance(4500);
    assert.ok([0, 1].some((node) => fencingTokenOf(node, 'part-2') !== undefined));
  });
});

describe('a controller that advances its fencing token', () => {
  it('answers its workers under the new token although the store does not answer the write', async () => {
    await startCluster();
    const role = 'part-0';
    const former = fencingTokenOf(0, role)!;
    cluster.network.addFault({
      from: 'n0',
      to: 'store:1',
      path: /^\/txn/,
      matchesBody: (body) => decodeTransaction(body).operations.some(({ key }) => key === `live/claim/${role}`),
      kind: 'answerLost',
      times: 1,
    });
    void cluster.node(0).leadership.advanceFencingToken(role);
    await cluster.advance(500);
    const advanced = fencingTokenOf(0, role);
    assert.ok(advanced !== undefined && advanced > former, `${advanced} after ${former}`);
    await cluster.advance(10_000);
    assert.ok(fencingTokenOf(0, role)! >= advanced);
  });
});
