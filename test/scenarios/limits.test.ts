import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Random } from '../../src/net/random.js';
import { Priority, TokenBucket } from '../../src/net/token-bucket.js';
import { Replica } from '../../src/store/replica.js';
import type { StoreClient } from '../../src/store/store-client.js';
import type { TransactionResult } from '../../src/store/store-wire-codec.js';
import { TransactionBatcher } from '../../src/store/transaction-batcher.js';
import { Cluster } from '../../testing/cluster.js';
import { FakeClock } from '../../testing/fake-clock.js';
import { anyTransactionLimits, jobOf } from '../../testing/fixtures.js';

let cluster: Cluster | undefined;
afterEach(() => {
  const violations = cluster?.stopAndCheck() ?? [];
  cluster = undefined;
  assert.deepEqual(violations, []);
});

async function startCluster(nodes: number, machines: number): Promise<Cluster> {
  cluster = new Cluster({ nodes, teams: [{ name: 'red' }] });
  for (let index = 0; index < machines; index++) {
    const machineId = `i-${String(index).padStart(6, '0')}`;
    cluster.addWorker({ machineId, zone: ['a', 'b', 'c'][index % 3]!, runMs: 5000 });
  }
  await cluster.advance(6000);
  return cluster;
}

const requestCount = (to: string, path = /./) =>
  cluster!.network.log.filter((each) => each.to === to && path.test(each.path)).length;

describe('as the cluster grows', () => {
  it('an idle cluster sends no more requests to the store', async () => {
    const counts: number[] = [];
    for (const machines of [6, 120]) {
      await startCluster(5, machines);
      const before = requestCount('store:1');
      await cluster!.advance(10_000);
      counts.push(requestCount('store:1') - before);
      cluster!.stop();
    }
    assert.ok(counts[1]! <= counts[0]! * 1.1, counts.join(' '));
    // Five nodes renew their store leases and check whether their replicas are complete.
    assert.ok(counts[1]! / 10 < 5 * 3, `${counts[1]! / 10} a second`);
  });

  it('gossip describes only the machines that its sender leads, and those of nodes that the peer does not hear', async () => {
    await startCluster(5, 60);
    const machineCount = (from: number, to: number) => cluster!.node(from).composeGossip(`n${to}`).machines.length;
    for (const to of [1, 2, 3, 4]) assert.ok(machineCount(0, to) < 30, `${machineCount(0, to)} machines`);
    cluster!.partitioned.add('n0>n1').add('n1>n0');
    await cluster!.advance(4000);
    assert.ok(machineCount(2, 1) > machineCount(2, 3), 'node 2 forwards to node 1 what node 0 reports');
  });

  it('a burst of starts and exits shares transactions', async () => {
    await startCluster(3, 60);
    const before = cluster!.store.revision;
    await cluster!.submit({ id: 'j-many', taskCount: 200, memoryGb: 1 });
    await cluster!.advance(12_000);
    assert.equal((await cluster!.poll('j-many')).status, 200);
    const runs = Array.from({ length: 200 }, (_, taskIndex) => cluster!.runs(`j-many/${taskIndex}`).length);
    assert.ok(runs.every((count) => count === 1));
    const used = cluster!.store.revision - before;
    assert.ok(used < 60, `${used} transactions for 200 tasks started and finished`);
  });
});

describe('under a stream of small jobs that fills the machine', () => {
  it('the largest array and a job of the lowest priority start within four minutes', async () => {
    cluster = new Cluster({ nodes: 1, teams: [{ name: 'red' }] });
    cluster.addWorker({ machineId: 'i-000001', runMs: 4000 });
    cluster.cloud.fullZones.add('a').add('b').add('c');
    await cluster.advance(4000);
    const small = (n: number) => cluster!.submit({ id: `j-small${n}`, taskCount: 6, estimatedRunS: 4 });
    for (let n = 0; n < 4; n++) await small(n);
    await cluster.submit({ id: 'j-largest', taskCount: 300, estimatedRunS: 60 });
    await cluster.submit({ id: 'j-lowest', taskCount: 2, priority: 'low', estimatedRunS: 4 });
    for (let n = 4; n < 70; n++) await small(n);
    for (const jobId of ['j-largest', 'j-lowest']) {
      const begun = [0, 1, 2, 3].flatMap((taskIndex) => cluster!.runs(`${jobId}/${taskIndex}`));
      assert.ok(begun.length > 0, `${jobId} has not started`);
      assert.ok(Math.min(...begun.map((run) => run.from)) > 100_000, 'the small jobs go first for a while');
    }
  });
});

describe('a node', () => {
  it('learns of a change from the node that made it, before its own watch delivers it', async () => {
    await startCluster(3, 3);
    cluster!.network.addFault({ path: /^\/watch/, kind: 'lose' });
    const answer = cluster!.post(
      jobOf({
        id: 'j-svc',
        kind: 'service',
        priority: 'prod',
        taskCount: 3,
        spreadAcrossZones: true,
        estimatedRunS: 0,
      }),
    );
    await cluster!.advance(1000);
    assert.equal((await answer).status, 201);
    for (const taskIndex of [0, 1, 2]) assert.equal(cluster!.runs(`j-svc/${taskIndex}`).length, 1);
  });
});

describe('a record from a peer', () => {
  it('that is older than the revision as of which the replica is complete restores no deleted key', async () => {
    const clock = new FakeClock();
    const page = { rows: [{ key: 'live/b', value: 1, modRevision: 7 }], more: false, revision: 9 };
    const replica = new Replica({ list: () => Promise.resolve(page) } as unknown as StoreClient, 'live/', clock);
    await replica.load();
    // The key may have been deleted at revision 8; the peer's message about revision 5 was delayed by a network partition.
    replica.applyFromPeer({ key: 'live/a', value: 1, modRevision: 5 });
    assert.equal(replica.get('live/a').modRevision, 0);
    replica.applyFromPeer({ key: 'live/a', value: 2, modRevision: 12 });
    assert.equal(replica.get('live/a').modRevision, 12);
  });
});

describe('the request rate of a node', () => {
  it('falls to its even share while others use the limit too, and batch work leaves tokens for urgent requests', async () => {
    const clock = new FakeClock();
    const bucket = new TokenBucket(clock, 10, 10, 2);
    let through = 0;
    const asking = async () => {
      for (;;) {
        await bucket.take(1, Priority.background);
        through++;
        if (through % 5 === 0) bucket.backOff(10, Priority.background);
      }
    };
    void asking();
    await clock.advance(20_000);
    assert.ok(through < 20 * 8, `${through} in 20 s`);
    assert.ok(through > 20, `${through} in 20 s`);
    const calm = new TokenBucket(clock, 10, 10, 2);
    let batch = 0;
    for (let n = 0; n < 20; n++) void calm.take(1, Priority.background).then(() => batch++);
    await clock.advance(1);
    assert.ok(batch > 0 && batch < 10, `${batch} of a burst of 10`);
    let urgent = false;
    void calm.take(1, Priority.lease).then(() => (urgent = true));
    await clock.advance(1);
    assert.ok(urgent);
  });
});

describe('a start of a batch task', () => {
  it('takes turns with a backlog of exits', async () => {
    const clock = new FakeClock();
    const bucket = new TokenBucket(clock, 10, 10, 10);
    const exits = async () => {
      for (;;) await bucket.take(2, Priority.record);
    };
    // Three callers always request again, so there are always exits in the queue.
    for (let n = 0; n < 3; n++) void exits();
    await clock.advance(2000);
    let starts = 0;
    const starting = async () => {
      for (;;) {
        await bucket.take(2, Priority.background);
        starts++;
      }
    };
    void starting();
    await clock.advance(10_000);
    assert.ok(starts >= 5, `${starts} starts in 10 s`);
  });

  it('gets its turn under a steady stream of urgent requests that never lets the bucket fill up', async () => {
    const clock = new FakeClock();
    const bucket = new TokenBucket(clock, 10, 10, 10);
    let over = false;
    const stream = async () => {
      while (!over) {
        await bucket.take(1, Priority.start);
        await clock.sleep(95);
      }
    };
    void stream();
    await clock.advance(10);
    let through = false;
    void bucket.take(8, Priority.background).then(() => (through = true));
    await clock.advance(3000);
    over = true;
    assert.ok(through);
  });
});

describe('a long queue of mutations', () => {
  it('costs a number of decisions proportional to its length', async () => {
    const clock = new FakeClock();
    let revision = 0;
    const transact = (): Promise<TransactionResult> => Promise.resolve({ kind: 'done', revision: ++revision });
    const client = { transact } as unknown as StoreClient;
    const replica = new Replica(client, 'live/', clock);
    const limits = anyTransactionLimits();
    const transactions = new TransactionBatcher({
      client,
      replica,
      limits,
      prefix: 'live/',
      clock,
      random: new Random(1),
    });
    let decided = 0;
    const intents = 1200;
    const done = Array.from({ length: intents }, (_, n) =>
      transactions.commit('start', Priority.background, (draft) => {
        decided++;
        draft.set(`live/${n}`, { n });
        return true;
      }),
    );
    await clock.advance(500);
    assert.ok((await Promise.all(done)).every((outcome) => outcome.kind === 'done'));
    assert.equal(revision, intents / 12);
    assert.ok(decided < intents * 1.5, `${decided} decisions for ${intents} intents`);
  });
});

describe('a transaction of several decisions', () => {
  it('stays small, since the store refuses large ones while small ones use up its rate, but holds a whole gang', async () => {
    const clock = new FakeClock();
    const sizes: number[] = [];
    const transact = (_: unknown, writes: unknown[]): Promise<TransactionResult> => {
      sizes.push(writes.length);
      return Promise.resolve({ kind: 'done', revision: sizes.length });
    };
    const client = { transact } as unknown as StoreClient;
    const replica = new Replica(client, 'live/', clock);
    const limits = anyTransactionLimits({ batchWrites: 4 });
    const transactions = new TransactionBatcher({
      client,
      replica,
      limits,
      prefix: 'live/',
      clock,
      random: new Random(1),
    });
    const put = (name: string, keys: number) =>
      transactions.commit(name, Priority.start, (draft) => {
        for (let n = 0; n < keys; n++) draft.set(`live/${name}/${n}`, { n });
        return true;
      });
    const done = [put('a', 1), put('b', 2), put('c', 2), put('gang', 10), put('d', 1)];
    await clock.advance(100);
    assert.ok((await Promise.all(done)).every((outcome) => outcome.kind === 'done'));
    assert.ok(sizes.includes(10));
    assert.ok(
      sizes.filter((size) => size !== 10).every((size) => size <= 4),
      sizes.join(' '),
    );
  });
});
