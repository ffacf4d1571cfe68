import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { decodeStoreSettings } from '../../src/config/settings-file-codec.js';
import type { HttpClient, HttpResponse } from '../../src/net/http-client.js';
import { Random } from '../../src/net/random.js';
import { Priority } from '../../src/net/token-bucket.js';
import { Replica } from '../../src/store/replica.js';
import { StoreClient } from '../../src/store/store-client.js';
import { FakeClock } from '../../testing/fake-clock.js';

/** A request to the store that has not been answered yet. */
interface OpenRequest {
  path: string;
  answer: (response: HttpResponse) => void;
}

const clock = new FakeClock();

/** A replica whose requests the test answers. */
function startReplica(): { replica: Replica; requests: OpenRequest[] } {
  const requests: OpenRequest[] = [];
  const http: HttpClient = {
    call: (_address, _method, path) => new Promise((answer) => requests.push({ path, answer })),
  };
  const settings = decodeStoreSettings({ rps: 100, write_rps: 100, value_kb: 4, txn_ops: 12 });
  const client = new StoreClient({ http, address: 'x:1', settings, nodeCount: 1, clock, random: new Random(1) });
  return { replica: new Replica(client, 'live/', clock), requests };
}

async function startLoadedReplica(): Promise<{ replica: Replica; requests: OpenRequest[] }> {
  const started = startReplica();
  const loaded = started.replica.load();
  await clock.advance(1);
  started.requests.shift()!.answer({ status: 200, body: { Rows: [], HasNext: false, Epoch: 5 } });
  await loaded;
  await clock.advance(10);
  return started;
}

const changesUpTo = (revision: number): HttpResponse => ({ status: 200, body: { Epoch: revision, News: [] } });

describe('a replica that is to be complete as of a time', () => {
  it('sends no request if it is, and relies on none that was sent before', async () => {
    const { replica, requests } = await startLoadedReplica();
    const earlier = replica.refresh();
    await clock.advance(10);
    const sinceMs = clock.now();
    const refreshed = replica.refreshSince(sinceMs, Priority.record);
    await clock.advance(1);
    assert.equal(requests.length, 2);
    requests[0]!.answer(changesUpTo(6));
    assert.equal(await earlier, true);
    assert.ok(replica.freshAt < sinceMs);
    requests[1]!.answer(changesUpTo(8));
    assert.equal(await refreshed, true);
    assert.equal(replica.revision, 8);
    assert.equal(await replica.refreshSince(sinceMs, Priority.record), true);
    assert.equal(requests.length, 2);
  });

  it('is not if the store refuses, or if all records are read for a request that was sent before', async () => {
    const { replica, requests } = await startLoadedReplica();
    const refused = replica.refreshSince(clock.now(), Priority.record);
    await clock.advance(1);
    requests.shift()!.answer({ status: 503, body: {} });
    assert.equal(await refused, false);
    // The store has forgotten the changes since the replica's revision: both requests lead to the same read of all records.
    const first = replica.refreshSince(clock.now(), Priority.record);
    await clock.advance(1);
    requests.shift()!.answer({ status: 410, body: {} });
    await clock.advance(10);
    const second = replica.refreshSince(clock.now(), Priority.record);
    await clock.advance(1);
    assert.match(requests[1]!.path, /^\/watch/);
    requests[1]!.answer({ status: 410, body: {} });
    await clock.advance(1);
    assert.equal(requests.length, 2);
    requests[0]!.answer({ status: 200, body: { Rows: [], HasNext: false, Epoch: 20_000 } });
    assert.equal(await first, true);
    assert.equal(await second, false);
  });
});
