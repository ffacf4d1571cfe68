import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Random } from '../../src/net/random.js';
import { Priority } from '../../src/net/token-bucket.js';
import { Replica } from '../../src/store/replica.js';
import type { StoreClient } from '../../src/store/store-client.js';
import type { TransactionResult } from '../../src/store/store-wire-codec.js';
import { TransactionBatcher } from '../../src/store/transaction-batcher.js';
import type { TransactionDraft } from '../../src/store/transaction-draft.js';
import { FakeClock } from '../../testing/fake-clock.js';
import { anyTransactionLimits } from '../../testing/fixtures.js';

describe('the transaction batcher', () => {
  it('sends a submission past batch starts that wait for the write rate', async () => {
    const clock = new FakeClock();
    const asked: string[] = [];
    const transact = (_: unknown, writes: { key: string }[], priority: number): Promise<TransactionResult> => {
      asked.push(writes[0]!.key);
      // Batch starts hang, as they do in the bucket while the rate is used up.
      return priority === Priority.background
        ? new Promise(() => undefined)
        : Promise.resolve({ kind: 'done', revision: 1 });
    };
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
    const put = (key: string, priority: Priority) =>
      transactions.commit(key, priority, (draft) => {
        draft.set(key, {});
        return true;
      });
    for (let n = 0; n < 5; n++) {
      void put(`live/start-${n}`, Priority.background);
      await clock.advance(10);
    }
    const outcome = put('live/job', Priority.accept);
    await clock.advance(10);
    assert.ok(asked.includes('live/job'));
    assert.equal((await outcome).kind, 'done');
  });

  it('retries mutations one by one that the store has rejected together, and reports one that it rejects alone', async () => {
    const clock = new FakeClock();
    const sent: string[][] = [];
    const transact = (_: unknown, writes: { key: string }[]): Promise<TransactionResult> => {
      const keys = writes.map(({ key }) => key);
      sent.push(keys);
      const isRejected = keys.includes('live/large');
      return Promise.resolve(isRejected ? { kind: 'malformed', reason: 'too large' } : { kind: 'done', revision: 1 });
    };
    const client = { transact } as unknown as StoreClient;
    const limits = anyTransactionLimits({ valueBytes: 4096, lastingValueBytes: 2048 });
    const rejected: string[] = [];
    const transactions = new TransactionBatcher({
      client,
      replica: new Replica(client, 'live/', clock),
      limits,
      prefix: 'live/',
      clock,
      random: new Random(1),
      onRejected: (name) => rejected.push(name),
    });
    const put = (key: string, value: unknown) =>
      transactions.commit(key, Priority.start, (draft) => {
        draft.set(key, value);
        return true;
      });
    const outcomes = Promise.all([put('live/a', {}), put('live/large', { text: 'x'.repeat(1000) }), put('live/b', {})]);
    await clock.advance(50);
    assert.deepEqual(
      (await outcomes).map(({ kind }) => kind),
      ['done', 'rejected', 'done'],
    );
    assert.deepEqual(rejected, ['live/large']);
    assert.deepEqual(sent, [['live/a', 'live/large', 'live/b'], ['live/a'], ['live/large'], ['live/b']]);
    // From then on nothing is sent that would be too large for the limits to come.
    assert.equal((await put('live/c', { text: 'x'.repeat(3000) })).kind, 'void');
    assert.equal(sent.length, 4);
  });

  it('sends starts of a job that has become urgent before the batch work', async () => {
    const clock = new FakeClock();
    const sent: string[] = [];
    let isHeld = true;
    const transact = async (_: unknown, writes: { key: string }[], priority: number): Promise<TransactionResult> => {
      // The first batch start hangs, and the others wait behind it.
      while (isHeld && priority === Priority.background) await clock.sleep(10);
      sent.push(...writes.map(({ key }) => key));
      return { kind: 'done', revision: 1 };
    };
    const client = { transact } as unknown as StoreClient;
    const limits = anyTransactionLimits({ writes: 1, batchWrites: 1, valueBytes: 4096, lastingValueBytes: 4096 });
    const transactions = new TransactionBatcher({
      client,
      replica: new Replica(client, 'live/', clock),
      limits,
      prefix: 'live/',
      clock,
      random: new Random(1),
    });
    for (const key of ['live/a', 'live/b', 'live/c']) {
      const decide = (draft: TransactionDraft): boolean => {
        draft.set(key, {});
        return true;
      };
      void transactions.commit('start', Priority.background, decide, {
        timeoutMs: 5000,
        batchingHint: { key, shared: undefined },
      });
    }
    await clock.advance(20);
    transactions.promote((key) => key === 'live/c', Priority.background, Priority.start);
    await clock.advance(20);
    assert.deepEqual(sent, ['live/c']);
    isHeld = false;
    await clock.advance(50);
    assert.deepEqual(sent, ['live/c', 'live/a', 'live/b']);
  });
});
