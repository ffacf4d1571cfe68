import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { CloudClient } from '../src/cloud/cloud-client.js';
import { parseSettings, parseTuning, SettingsError } from '../src/config/load-settings.js';
import {
  LEAST_CPU_SHARE,
  LEAST_MEMORY_MB,
  LEAST_SOCKETS,
  LEAST_STORE_REQUESTS_PER_NODE,
  LEAST_STORE_WRITES,
  LEAST_TRANSACTION_WRITES,
  LEAST_VALUE_KB,
} from '../src/constants/platform-minimums.js';
import { settingsFileOf } from '../testing/fixtures.js';
import { NoResponseError, type HttpClient, type Reply } from '../src/net/http-client.js';
import { Random } from '../src/net/random.js';
import { Priority } from '../src/net/token-bucket.js';
import { StoreClient, StoreError } from '../src/store/store-client.js';
import { FakeClock } from '../testing/fake-clock.js';
import { sendCommands } from '../src/workers/command-client.js';
import { decodeStoreSettings } from '../src/config/settings-file-codec.js';

const answering = (reply: Reply | NoResponseError): HttpClient => ({
  call: () => (reply instanceof NoResponseError ? Promise.reject(reply) : Promise.resolve(reply)),
});
const state = (reply: Reply | NoResponseError) =>
  new StoreClient(
    answering(reply),
    'x:1',
    decodeStoreSettings({ rps: 100, write_rps: 100, value_kb: 4, txn_ops: 12 }),
    1,
    new FakeClock(),
    new Random(1),
  );
const transact = (reply: Reply | NoResponseError) =>
  state(reply).transact([], [{ key: 'a', value: 1 }], Priority.record);

describe('answers of the store', () => {
  it('to a transaction say whether it was, was not, or may yet be carried out', async () => {
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

  it('to a watch from too long ago ask for a new reading, and to a renewal say that the hold is over', async () => {
    assert.equal(await state({ status: 410, body: {} }).watch('a', 1, 0, Priority.lease), undefined);
    assert.equal(await state({ status: 404, body: {} }).renewLease(3), false);
    await assert.rejects(state({ status: 503, body: {} }).renewLease(3), StoreError);
  });
});

describe('answers of the cloud and of workers', () => {
  const rental = { rentalId: 'r-1-1', machineType: 'c8', zone: 'a', isSpot: false, count: 1 };
  const rent = (reply: Reply | NoResponseError) =>
    new CloudClient({ http: answering(reply), address: 'x:1', requestsPerSecond: 8, clock: new FakeClock() }).scaleOut(
      rental,
    );

  it('tell a lack of machines from trouble, after which the same request is sent again', async () => {
    assert.deepEqual(await rent({ status: 200, body: { Hosts: ['i-1'] } }), { kind: 'rented', machineIds: ['i-1'] });
    assert.equal((await rent({ status: 503, body: { error: 'no capacity' } })).kind, 'no_capacity');
    assert.equal((await rent({ status: 503, body: { error: 'trouble' } })).kind, 'refused');
    assert.equal((await rent({ status: 429, body: {} })).kind, 'refused');
    assert.equal((await rent(new NoResponseError('timeout', true))).kind, 'unknown');
  });

  it('are not asked for by a leader that has lost its claim while the call waited for its turn', async () => {
    const clock = new FakeClock();
    let isLeader = true;
    let sent = 0;
    const http = {
      call: async (): Promise<Reply> => {
        sent++;
        return { status: 200, body: { Hosts: ['i-1'] } };
      },
    };
    const cloud = new CloudClient({ http, address: 'x:1', requestsPerSecond: 1, clock, maySend: () => isLeader });
    assert.equal(await cloud.scaleIn(['i-1']), true);
    const waiting = [cloud.scaleIn(['i-2']), cloud.scaleOut(rental)] as const;
    await clock.advance(1);
    isLeader = false;
    await clock.advance(60_000);
    assert.equal(await waiting[0], false);
    assert.deepEqual(await waiting[1], { kind: 'refused' });
    assert.equal(sent, 1);
  });

  it('to commands say whether these may still be executed', async () => {
    const send = (reply: Reply | NoResponseError) => sendCommands(answering(reply), 'x:1', 1, 1, []);
    assert.equal((await send({ status: 200, body: {} })).kind, 'done');
    assert.equal((await send({ status: 409, body: {} })).kind, 'refused');
    assert.equal((await send(new NoResponseError('refused', false))).kind, 'unsent');
    assert.equal((await send(new NoResponseError('timeout', true))).kind, 'unknown');
  });
});

describe('settings', () => {
  it('that are bad are refused with the name of the field', () => {
    assert.throws(() => parseSettings('{', 'f.json'), /f\.json: not JSON/);
    assert.throws(
      () => parseSettings('{"node":"n"}', 'f.json'),
      (error) => error instanceof SettingsError && /bind/.test(error.message),
    );
    assert.throws(() => parseTuning('threshold = 2', 'f.toml'), /threshold/);
    assert.throws(() => parseTuning('treshold = 0.9', 'f.toml'), /treshold/);
    assert.equal(parseTuning('threshold = 0.8', 'f.toml').happinessThreshold, 0.8);
    const standby = (line: string) => () => parseTuning(`[standby]\n${line}`, 'f.toml');
    assert.throws(standby('folow = true'), /f\.toml: standby\.folow/);
    assert.throws(standby('max_lag_ms = "2 s"'), /f\.toml: standby\.max_lag_ms/);
    assert.throws(standby('follow = true'), /f\.toml: standby\.follow: needs enabled/);
    assert.throws(standby('max_lag_ms = 3001'), /f\.toml: standby\.max_lag_ms: must not exceed the life of a hold/);
    assert.equal(standby('enabled = true')().standby.enabled, true);
  });

  it('with a limit too small to run with are refused with the name of the field and what is needed', () => {
    const good = settingsFileOf(0, 3);
    const parse = (cluster: object) => parseSettings(JSON.stringify({ ...good, cluster }), 'f.json');
    const tooSmall: [group: 'limits' | 'state', field: string, value: number][] = [
      ['limits', 'cpu', LEAST_CPU_SHARE / 2],
      ['limits', 'ram_mb', LEAST_MEMORY_MB - 1],
      ['limits', 'sockets', LEAST_SOCKETS - 1],
      ['state', 'rps', LEAST_STORE_REQUESTS_PER_NODE * 3 - 1],
      ['state', 'write_rps', LEAST_STORE_WRITES / 2],
      ['state', 'value_kb', LEAST_VALUE_KB / 2],
      ['state', 'txn_ops', LEAST_TRANSACTION_WRITES - 1],
    ];
    for (const [group, field, value] of tooSmall) {
      const cluster = { ...good.cluster, [group]: { ...good.cluster[group], [field]: value } };
      assert.throws(
        () => parse(cluster),
        (error) => error instanceof SettingsError && error.message.includes(`cluster.${group}.${field}: must be`),
      );
    }
    for (const [group, field, value] of tooSmall.filter(([each]) => each === 'state')) {
      const cluster = { ...good.cluster, state: { ...good.cluster.state, next: { [field]: value } } };
      assert.throws(
        () => parse(cluster),
        (error) => error instanceof SettingsError && error.message.includes(`cluster.${group}.next.${field}: must be`),
      );
    }
    assert.throws(() => parse({ ...good.cluster, state: { ...good.cluster.state, next: { txn_ops: 'few' } } }), /next/);
    assert.equal(parse({ ...good.cluster, state: { ...good.cluster.state, next: null } }).cluster.size, 3);
    assert.equal(parse({ ...good.cluster, limits: { cpu: 0.051, ram_mb: 108, sockets: 700 } }).cluster.size, 3);
  });
});
