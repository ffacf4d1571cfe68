import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { decodeStoreSettings } from '../../src/config/settings-file-codec.js';
import { type HttpResponse, NoResponseError } from '../../src/net/http-client.js';
import { Random } from '../../src/net/random.js';
import { Priority } from '../../src/net/token-bucket.js';
import { RenewedRevisions } from '../../src/store/renewed-revisions.js';
import { StoreClient, StoreError } from '../../src/store/store-client.js';
import { answering } from '../../testing/answering-http-client.js';
import { FakeClock } from '../../testing/fake-clock.js';
import { decodeTransaction } from '../../testing/fake-store-wire-codec.js';

const clientWithReply = (reply: HttpResponse | NoResponseError) =>
  new StoreClient({
    http: answering(reply),
    address: 'x:1',
    settings: decodeStoreSettings({ rps: 100, write_rps: 100, value_kb: 4, txn_ops: 12 }),
    nodeCount: 1,
    clock: new FakeClock(),
    random: new Random(1),
  });
const transact = (reply: HttpResponse | NoResponseError) =>
  clientWithReply(reply).transact([], [{ key: 'a', value: 1 }], Priority.record);

describe('the store client', () => {
  it('reports whether a transaction was committed, was not committed, or may still be committed', async () => {
    assert.deepEqual(await transact({ status: 200, body: { Epoch: 5 } }), { kind: 'done', revision: 5 });
    const conflict = await transact({ status: 409, body: { failed: ['a'], Epoch: 5 } });
    assert.deepEqual(conflict, { kind: 'conflict', failed: ['a'], revision: 5 });
    assert.equal((await transact({ status: 400, body: { error: 'no such lease' } })).kind, 'lease_expired');
    assert.equal((await transact({ status: 400, body: { error: 'bad' } })).kind, 'malformed');
    assert.equal((await transact({ status: 429, body: {} })).kind, 'refused');
    assert.equal((await transact({ status: 503, body: {} })).kind, 'refused');
    assert.equal((await transact(new NoResponseError('never connected', false))).kind, 'refused');
    assert.equal((await transact(new NoResponseError('timeout', true))).kind, 'unknown');
    assert.equal((await transact({ status: 500, body: {} })).kind, 'unknown');
  });

  it('reports that a watch began at a compacted revision, and that a lease has expired', async () => {
    assert.equal(await clientWithReply({ status: 410, body: {} }).watch('a', 1, 0, Priority.lease), undefined);
    assert.equal(await clientWithReply({ status: 404, body: {} }).renewLease(3), false);
    await assert.rejects(clientWithReply({ status: 503, body: {} }).renewLease(3), StoreError);
  });

  it('sends a transaction that has waited for the write rate with the token that was advanced meanwhile', async () => {
    const key = 'live/claim/part-0';
    const clock = new FakeClock();
    const renewedRevisions = new RenewedRevisions();
    const sent: { key: string; modRevision: number }[][] = [];
    const client = new StoreClient({
      http: {
        call: (_address, _method, _path, body) => {
          sent.push(decodeTransaction(body).conditions);
          return Promise.resolve({ status: 200, body: { Epoch: 5 } });
        },
      },
      address: 'x:1',
      settings: decodeStoreSettings({ rps: 100, write_rps: 4, value_kb: 4, txn_ops: 4 }),
      nodeCount: 1,
      renewedRevisions,
      clock,
      random: new Random(1),
    });
    const writes = [1, 2, 3, 4].map((value) => ({ key: `live/${value}`, value }));
    const conditions = [
      { key, modRevision: 4 },
      { key: 'live/1', modRevision: 3 },
    ];
    await client.transact([], writes, Priority.start);
    const waiting = client.transact(conditions, writes, Priority.start);
    renewedRevisions.record(key, 4, 9);
    renewedRevisions.record(key, 9, 12);
    await clock.advance(2000);
    assert.equal((await waiting).kind, 'done');
    assert.deepEqual(sent[1], [
      { key, modRevision: 12 },
      { key: 'live/1', modRevision: 3 },
    ]);
  });
});

describe('renewed revisions', () => {
  it('do not stand for a revision under which another process may have written the record', () => {
    const renewedRevisions = new RenewedRevisions();
    renewedRevisions.record('a', 4, 9);
    // The record was lost and acquired again at revision 20.
    renewedRevisions.record('a', 20, 25);
    assert.equal(renewedRevisions.latestOf('a', 4), 4);
    assert.equal(renewedRevisions.latestOf('a', 20), 25);
    assert.equal(renewedRevisions.latestOf('b', 20), 20);
  });
});
