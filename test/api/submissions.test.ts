import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import { type ClusterOptions, rawJobOf } from '../../testing/fixtures.js';

let cluster: Cluster;
afterEach(() => assert.deepEqual(cluster.stopAndCheck(), []));

async function startCluster(options: ClusterOptions = {}, machines = 2): Promise<Cluster> {
  cluster = new Cluster(options);
  for (let index = 0; index < machines; index++) {
    cluster.addWorker({ machineId: `i-00000${index}`, zone: ['a', 'b', 'c'][index % 3]!, runMs: 5000 });
  }
  await cluster.advance(5000);
  return cluster;
}

const bodyOf = (answer: { body: unknown }) => answer.body as { Phase: string; done: number };
const send = (sent: unknown, node = 0) => cluster.advanceUntilSettled(cluster.post(sent, node));
const submit = (wireFields: object, node = 0) => send(rawJobOf(wireFields), node);
const withoutField = (fields: object, name: string): object =>
  Object.fromEntries(Object.entries(fields).filter(([key]) => key !== name));

/** Invalid values of each field; `undefined` omits the field. Only `Flavors`, `Site` and `DueS` may be null or missing. */
const INVALID_VALUES: Record<string, unknown[]> = {
  Ref: [undefined, null, 7, '', 'x', 'j-', 'j-a b', 'j-a/b', `j-${'a'.repeat(101)}`],
  Jobclass: [undefined, null, 7],
  Owner: [undefined, null, 7, ''],
  Shape: [undefined, null, 'gang', 3],
  Rank: [undefined, null, 'urgent', 3],
  Shards: [undefined, null, '3', 0, -1, 1.5, 100_001],
  Cpus: [undefined, null, '2', 0, -1],
  Cards: [undefined, null, '1', -1],
  MemGb: [undefined, null, '4', -1],
  Bundle: [undefined, null, 7, ''],
  SizeGb: [undefined, null, '1', -1],
  Flavors: ['c8', [7], {}],
  Site: [7, '', ['a']],
  OneZone: [undefined, null, 'no', 0],
  Spread: [undefined, null, 'no', 0],
  Reclaimable: [undefined, null, 'no', 0],
  GuessS: [undefined, null, '10', -1],
  SnapshotEveryS: [undefined, null, '10', -1],
  SnapshotS: [undefined, null, '10', -1],
  DueS: ['10', -1],
};

describe('a submission', () => {
  for (const [name, values] of Object.entries(INVALID_VALUES)) {
    it(`with a missing or invalid ${name} gets 400, and nothing is recorded`, async () => {
      await startCluster();
      const rowCountBefore = cluster.store.rows.size;
      for (const value of values) {
        const validSubmission = rawJobOf({ Ref: 'j-bad' });
        const sent = value === undefined ? withoutField(validSubmission, name) : { ...validSubmission, [name]: value };
        assert.equal((await send(sent)).status, 400, JSON.stringify(value));
      }
      assert.equal(cluster.store.rows.size, rowCountBefore);
      assert.equal((await cluster.poll('j-bad')).status, 404);
    });
  }

  it('may omit nullable fields and contain unknown ones', async () => {
    await startCluster();
    const sent = { ...rawJobOf({ Ref: 'j-good' }), Colour: 'blue' };
    for (const name of ['Flavors', 'Site', 'DueS']) assert.ok(!(name in sent));
    assert.equal((await send(sent)).status, 201);
    assert.equal((await send({ ...rawJobOf({ Ref: 'j-null' }), Flavors: null, Site: null, DueS: null })).status, 201);
  });

  it('that is not an object gets 400', async () => {
    await startCluster();
    for (const sent of [null, 7, 'j-000001', [], [rawJobOf({})], true]) assert.equal((await send(sent)).status, 400);
  });

  it('of an unknown team, or that fits no machine type or exceeds the quota of its team, gets 422', async () => {
    await startCluster({ teams: [{ name: 'red', cpus_max: 4 }] });
    const unrunnableFields: object[] = [
      { Owner: 'nobody' },
      { Cpus: 9 },
      { MemGb: 65 },
      { Cards: 1 },
      { Flavors: ['g8'] },
      { Flavors: [] },
      { Site: 'z' },
      { Cpus: 5 },
      { Shape: 'service', Shards: 3 },
      { Shape: 'ensemble', Shards: 3 },
    ];
    for (const fields of unrunnableFields) {
      assert.equal((await submit({ Ref: 'j-never', ...fields })).status, 422, JSON.stringify(fields));
    }
    assert.equal((await cluster.poll('j-never')).status, 404);
    assert.equal((await submit({ Ref: 'j-many', Shards: 3 })).status, 201, 'tasks of an array may run in turn');
  });
});

describe('a repeated submission', () => {
  const repeats: Record<string, object> = {
    'without changes': {},
    'with other amounts': { Shards: 7, Cpus: 1, Rank: 'low' },
    'of another team': { Owner: 'nobody' },
    'that would fit no machine': { Cpus: 500 },
    'with an invalid field': { Shards: 0 },
    'with several invalid fields': { Shape: 'gang', Rank: null, Flavors: 3 },
  };
  for (const [name, fields] of Object.entries(repeats)) {
    it(`${name} gets the state of the job from every node, before and after its end`, async () => {
      await startCluster({ nodes: 3 });
      assert.equal((await submit({ Ref: 'j-again', Shards: 2 })).status, 201);
      for (const node of [0, 1, 2]) {
        const answer = await submit({ Ref: 'j-again', Shards: 2, ...fields }, node);
        assert.equal(answer.status, 200);
      }
      await cluster.advance(12_000);
      for (const node of [0, 1, 2]) {
        const answer = await submit({ Ref: 'j-again', Shards: 2, ...fields }, node);
        assert.deepEqual([answer.status, bodyOf(answer).Phase], [200, 'done']);
      }
      assert.equal(cluster.runs('j-again/0').length, 1);
    });
  }

  it('that lacks a field gets the state of the job', async () => {
    await startCluster();
    assert.equal((await submit({ Ref: 'j-again' })).status, 201);
    for (const name of Object.keys(INVALID_VALUES).filter((each) => each !== 'Ref')) {
      assert.equal((await send(withoutField(rawJobOf({ Ref: 'j-again' }), name))).status, 200, name);
    }
  });

  it('that is malformed gets 503 while the store can not confirm whether the job is known', async () => {
    await startCluster();
    assert.equal((await submit({ Ref: 'j-again', Shape: 'service' })).status, 201);
    cluster.crash(0);
    cluster.store.isUnavailable = true;
    cluster.start(0);
    await cluster.advance(3000);
    const answer = await send({ Ref: 'j-again' });
    assert.equal(answer.status, 503);
    assert.ok((answer.retryAfter ?? 0) >= 1);
    assert.equal((await send({ Ref: 'nothing' })).status, 400, 'no job can have this id');
    cluster.store.endOutage();
    await cluster.advance(5000);
    assert.equal((await send({ Ref: 'j-again' })).status, 200);
  });
});

describe('a cancellation', () => {
  it('of a job that is done gets `done`, even while the store is unavailable', async () => {
    await startCluster({ nodes: 3 });
    await submit({ Ref: 'j-done' });
    await cluster.advance(12_000);
    for (const node of [0, 1, 2]) {
      const answer = await cluster.cancelJob('j-done', node);
      assert.deepEqual([answer.status, bodyOf(answer).Phase], [200, 'done']);
    }
    cluster.store.isUnavailable = true;
    await cluster.advance(5000);
    const answer = await cluster.cancelJob('j-done', 1);
    assert.deepEqual([answer.status, bodyOf(answer).Phase], [200, 'done']);
  });
});

describe('an unknown job', () => {
  it('gets 404 only if the store confirms that it does not exist, otherwise 503 at once', async () => {
    await startCluster({ nodes: 3 });
    assert.equal((await cluster.poll('j-nobody')).status, 404);
    assert.equal((await cluster.cancelJob('j-nobody')).status, 404);
    cluster.store.isUnavailable = true;
    await cluster.advance(4000);
    for (const ask of [
      () => cluster.requestStatus('j-nobody', 1),
      () => cluster.requestCancellation('j-nobody', 1),
      () => cluster.post(rawJobOf({ Ref: 'j-nobody' }), 1),
      () => cluster.post({ Ref: 'j-nobody' }, 1),
    ]) {
      const answer = await cluster.advanceUntilSettled(ask(), 10);
      assert.equal(answer.status, 503);
      assert.ok((answer.retryAfter ?? 0) >= 1);
    }
  });

  it('gets 503 instead of 404 from a node whose requests to the store are lost', async () => {
    await startCluster({ nodes: 3 });
    cluster.network.addFault({ from: 'n1', to: 'store:1', kind: 'lose' });
    for (let turn = 0; turn < 4; turn++) {
      assert.equal((await cluster.poll('j-nobody', 1)).status, 503);
      assert.equal((await cluster.cancelJob('j-nobody', 1)).status, 503);
    }
  });
});

describe('a message from a peer', () => {
  const row = { Ref: 'j-new' };

  it('with a delta that is partly unreadable is rejected as a whole, and its changes are read from the store', async () => {
    await startCluster({ nodes: 2 });
    const node = cluster.node(1);
    await submit({ Ref: 'j-old', Shape: 'service' });
    const modRevision = Number(node.replica.get('live/job/j-old').modRevision);
    const changes = [
      { key: 'live/job/j-old', value: null, modRevision: modRevision + 1000 },
      { key: 'live/job/j-new', value: '{"spec":', modRevision: modRevision + 1000 },
    ];
    assert.doesNotThrow(() => node.receive({ kind: 'record_delta', payload: { changes } }));
    assert.notEqual(node.replica.get('live/job/j-old').value, undefined, 'no part of the delta is applied');
    const requestsBefore = cluster.network.log.length;
    await cluster.advance(10);
    assert.ok(
      cluster.network.log.slice(requestsBefore).some(({ from, path }) => from === 'n1' && path.startsWith('/watch')),
    );
    assert.equal(node.replica.get(`live/job/${row.Ref}`).value, undefined);
    assert.equal(bodyOf(await cluster.poll('j-old', 1)).Phase, 'running');
  });

  it('that forwards an invalid heartbeat or answer is ignored, and the node keeps running', async () => {
    await startCluster({ nodes: 2 });
    for (const status of ['{', '7', 'null', '{"Host":"i-000000"}']) {
      const payload = { node: 'n0', id: 1, status };
      assert.doesNotThrow(() => cluster.node(1).receive({ kind: 'forwarded_heartbeat', payload }));
    }
    const answer = { node: 'n0', id: 99, status: 200, body: '{' };
    cluster.node(1).receive({ kind: 'forwarded_heartbeat_answer', payload: answer });
    assert.equal((await submit({ Ref: 'j-after' }, 1)).status, 201);
  });

  it('that builds on a lost message is sent again in full, and no machine stays partially known', async () => {
    await startCluster({ nodes: 2 }, 4);
    cluster.partitioned.add('n0>n1');
    await cluster.advance(1500);
    cluster.partitioned.clear();
    await cluster.advance(5000);
    for (const { inventory } of [cluster.node(0), cluster.node(1)]) {
      const machines = [...inventory.machines().values()];
      assert.equal(machines.filter((machine) => inventory.isSchedulable(machine)).length, 4);
      for (const { lastHeartbeatAt } of machines)
        assert.ok(cluster.clock.now() - lastHeartbeatAt < 3000, 'its last heartbeat is recent');
    }
  });
});
