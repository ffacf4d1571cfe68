import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { Priority } from '../src/net/token-bucket.js';
import { Random } from '../src/net/random.js';
import type { StateClient, TxnResult } from '../src/state/client.js';
import { Committer } from '../src/state/committer.js';
import { Replica } from '../src/state/replica.js';
import { FakeClock } from '../src/testing/fake-clock.js';

describe('the committer', () => {
  it('lets a submission pass batch starts that wait for the write rate', async () => {
    const clock = new FakeClock();
    const asked: string[] = [];
    const txn = (_: unknown, writes: { key: string }[], priority: number): Promise<TxnResult> => {
      asked.push(writes[0]!.key);
      // Batch starts hang, as they do in the bucket while the rate is used up.
      return priority === Priority.background
        ? new Promise(() => undefined)
        : Promise.resolve({ kind: 'done', epoch: 1 });
    };
    const client = { txn } as unknown as StateClient;
    const replica = new Replica(client, 'live/', clock);
    const limits = {
      ops: 12,
      batchOps: 12,
      conditions: 48,
      bytes: 60_000,
      valueBytes: 65_536,
      lastingValueBytes: 65_536,
    };
    const committer = new Committer(client, replica, limits, 'live/', clock, new Random(1));
    const put = (key: string, priority: Priority) =>
      committer.commit(key, priority, (draft) => {
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
});
