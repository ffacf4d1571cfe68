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
  it('sends a submission while batch starts wait for the write rate', async () => {
    const clock = new FakeClock();
    const sentKeys: string[] = [];
    const transact = (_: unknown, writes: { key: string }[], priority: number): Promise<TransactionResult> => {
      sentKeys.push(writes[0]!.key);
      // Batch starts hang, as they do in the token bucket while the write rate is used up.
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
    assert.ok(sentKeys.includes('live/job'));
    assert.equal((await outcome).kind, 'done');
  });

  it('retries the mutations of a rejected transaction one by one, and reports a mutation that is rejected again', async () => {
    const clock = new FakeClock();
    const sent: string[][] = [];
    const transact = (_: unknown, writes: { key: string }[]): Promise<TransactionResult> => {
      const keys = writes.map(({ key }) => key);
      sent.push(keys);
      const isRejected = keys.includes('live/large');
      return Promise.resolve(isRejected ? { kind: 'malformed', reason: 'too large' } : { kind: 'done', revision: 1 });
    };
    const client = { transact } as unknown as StoreClient;
    const limits = anyTransactionLimits({ valueBytes: 4096, strictestValueBytes: 2048 });
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
    // After a rejection, values above the announced limit are no longer sent.
    assert.equal((await put('live/c', { text: 'x'.repeat(3000) })).kind, 'void');
    assert.equal(sent.length, 4);
  });

  it('sends starts that were promoted to a more urgent priority before other batch starts', async () => {
    const clock = new FakeClock();
    const sent: string[] = [];
    let isHeld = true;
    const transact = async (_: unknown, writes: { key: string }[], priority: number): Promise<TransactionResult> => {
      // The first batch start hangs, and the others queue behind it.
      while (isHeld && priority === Priority.background) await clock.sleep(10);
      sent.push(...writes.map(({ key }) => key));
      return { kind: 'done', revision: 1 };
    };
    const client = { transact } as unknown as StoreClient;
    const limits = anyTransactionLimits({ writes: 1, batchWrites: 1, valueBytes: 4096, strictestValueBytes: 4096 });
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
        batchingHint: { key, sharedRecord: undefined },
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
