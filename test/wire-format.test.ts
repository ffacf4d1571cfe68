/**
 * What whole controllers store, send and answer, byte for byte. The expected texts are string literals in which the order of
 * keys counts: they stay the same whatever the program calls a field internally.
 */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../testing/cluster.js';
import type { ClusterOptions } from '../testing/fixtures.js';

let cluster: Cluster;
afterEach(() => cluster.stop());

/** `<status> <body>` of each answer to a heartbeat, as received. */
let heartbeatAnswers: string[] = [];

/** Replaces the digits of wall-clock times and incarnations, which differ between runs. */
const maskVariableDigits = (text: string): string =>
  text.replace(/"(at|releasedAt)":17000\d{8}\b/g, '"$1":AT').replace(/"life":\d+/g, '"life":LIFE');

const maskedJson = (value: unknown): string => maskVariableDigits(JSON.stringify(value));

function startCluster(options: ClusterOptions = {}): void {
  cluster = new Cluster(options);
  heartbeatAnswers = [];
  const createClient = cluster.network.client.bind(cluster.network);
  cluster.network.client = (from) => ({
    call: async (address, method, path, body, limits) => {
      const reply = await createClient(from).call(address, method, path, body, limits);
      if (path === '/hello') heartbeatAnswers.push(`${reply.status} ${JSON.stringify(reply.body)}`);
      return reply;
    },
  });
}

/** `<key> <value>` of the stored record. */
const storedRecord = (key: string): string => `${key} ${maskedJson(cluster.store.rows.get(key)?.value)}`;

/** The changes of keys with this prefix, as requested by transactions, each once. */
const changes = (prefix: string): string[] => {
  const all = cluster.network.log
    .filter(({ path }) => path === '/txn')
    .flatMap(({ body }) => (JSON.parse(JSON.stringify(body)) as Record<string, object[]>).Apply!)
    .filter((each) => Object.values(each).some((key) => typeof key === 'string' && key.startsWith(prefix)))
    .map(maskedJson);
  return [...new Set(all)];
};

/** `<method> <address><path> <body>` of the requests to an address, each once. */
const requests = (to: string, path: RegExp): string[] => {
  const all = cluster.network.log
    .filter((each) => each.to === to && path.test(each.path))
    .map(
      (each) => `${each.method} ${each.to}${each.path}${each.body === undefined ? '' : ` ${maskedJson(each.body)}`}`,
    );
  return [...new Set(all)];
};

const submission = (ref: string, rest: string): string =>
  `{"Ref":"${ref}","Jobclass":"web","Owner":"red",${rest},"Cards":0,"MemGb":4,"Bundle":"img-1","SizeGb":1,` +
  '"OneZone":false,"Spread":false,"Reclaimable":false,"GuessS":10';
const END = ',"SnapshotEveryS":0,"SnapshotS":0}';
const ARRAY = '"Shape":"array","Rank":"normal","Shards":1,"Cpus":2';

const answerText = ({ status, body }: { status: number; body: unknown }): string => `${status} ${JSON.stringify(body)}`;
const submit = async (json: string, node = 0): Promise<string> =>
  answerText(await cluster.advanceUntilSettled(cluster.post(JSON.parse(json), node)));
const submitArray = (ref: string, node = 0): Promise<string> => submit(submission(ref, ARRAY) + END, node);
const poll = async (ref: string, node = 0): Promise<string> => answerText(await cluster.poll(ref, node));
const withdraw = async (ref: string): Promise<string> => answerText(await cluster.cancelJob(ref));

const spec = (ref: string, kind: string, tail = ',"SnapshotEveryS":0,"SnapshotS":0,"DueS":null}'): string =>
  `{"spec":{"Ref":"${ref}","Jobclass":"web","Owner":"red",${kind},"Cards":0,"MemGb":4,"Bundle":"img-1","SizeGb":1,` +
  `"Flavors":null,"Site":null,"OneZone":false,"Spread":false,"Reclaimable":false,"GuessS":10${tail}`;

describe('a stored record', () => {
  it('keeps its format for an array, a gang and a service, and for their placements', async () => {
    startCluster();
    cluster.addWorker({ machineId: 'i-000001' });
    await cluster.advance(5000);
    const array = '"Shape":"array","Rank":"low","Shards":2,"Cpus":1';
    const gang = '"Shape":"ensemble","Rank":"high","Shards":2,"Cpus":1';
    const service = '"Shape":"service","Rank":"prod","Shards":1,"Cpus":2';
    const extras = ',"SnapshotEveryS":5,"SnapshotS":2,"DueS":600,"Flavors":["c8"],"Site":"a","Unknown":7}';
    assert.equal(await submit(submission('j-array', array) + extras), '201 {"Ref":"j-array","Phase":"queued"}');
    assert.equal(await submit(submission('j-gang', gang) + END), '201 {"Ref":"j-gang","Phase":"queued"}');
    assert.equal(await submit(submission('j-svc', service) + END), '201 {"Ref":"j-svc","Phase":"queued"}');
    const whole =
      spec('j-array', array, ',"SnapshotEveryS":5,"SnapshotS":2,"DueS":600}')
        .replace('"Flavors":null', '"Flavors":["c8"]')
        .replace('"Site":null', '"Site":"a"') + ',"phase":"active","at":AT,"chunk":64}';
    assert.equal(storedRecord('live/job/j-array'), `live/job/j-array ${whole}`);
    const active = ',"phase":"active","at":AT,"chunk":64}';
    assert.equal(storedRecord('live/job/j-gang'), `live/job/j-gang ${spec('j-gang', gang)}${active}`);
    assert.equal(storedRecord('live/job/j-svc'), `live/job/j-svc ${spec('j-svc', service)}${active}`);
    const two = '{"s":[[1,0,"i-000001",1,-1,"a"],[1,0,"i-000001",1,-1,"a"]]}';
    assert.equal(storedRecord('live/ledger/j-array/0000'), `live/ledger/j-array/0000 ${two}`);
    assert.equal(storedRecord('live/ledger/j-gang/0000'), `live/ledger/j-gang/0000 ${two}`);
    assert.equal(storedRecord('live/ledger/j-svc/0000'), 'live/ledger/j-svc/0000 {"s":[[1,0,"i-000001",1,-1,"a"]]}');
    assert.equal(storedRecord('live/team/red'), 'live/team/red {"cpus":6,"cards":0}');
  });

  it('keeps its format for a job that waits, is released, is cancelled or has ended', async () => {
    startCluster();
    cluster.addWorker({ machineId: 'i-000001', runMs: 20_000 });
    await cluster.advance(5000);
    await submitArray('j-a');
    const awaits = ',"Awaits":["j-a"]}';
    await submit(submission('j-b', ARRAY) + END.replace('}', awaits));
    await submit(submission('j-c', ARRAY) + END.replace('}', awaits));
    const waiting = ',"phase":"waiting","at":AT,"chunk":64,"awaits":["j-a"]}';
    assert.equal(storedRecord('live/job/j-b'), `live/job/j-b ${spec('j-b', ARRAY)}${waiting}`);
    assert.equal(await poll('j-b'), '200 {"Ref":"j-b","Phase":"queued","done":0,"running":0}');
    assert.equal(await withdraw('j-c'), '200 {"Ref":"j-c","Phase":"withdrawn"}');
    await cluster.advance(60_000);
    const released = ',"phase":"active","at":AT,"chunk":64,"releasedAt":AT}';
    const withdrawn = ',"phase":"withdrawn","at":AT,"chunk":64,"awaits":["j-a"]}';
    assert.deepEqual(changes('live/job/j-b'), [
      `{"Set":"live/job/j-b","V":${spec('j-b', ARRAY)}${waiting}}`,
      `{"Set":"live/job/j-b","V":${spec('j-b', ARRAY)}${released}}`,
      '{"Drop":"live/job/j-b"}',
    ]);
    assert.deepEqual(changes('live/job/j-c'), [
      `{"Set":"live/job/j-c","V":${spec('j-c', ARRAY)}${waiting}}`,
      `{"Set":"live/job/j-c","V":${spec('j-c', ARRAY)}${withdrawn}}`,
      '{"Drop":"live/job/j-c"}',
    ]);
    assert.equal(storedRecord('ended/j-b'), 'ended/j-b {"phase":"done","shards":1}');
    assert.equal(storedRecord('ended/j-c'), 'ended/j-c {"phase":"withdrawn","shards":1}');
  });

  it('keeps its format for placements that are queued, placed, to be stopped, failed, stopped or done', async () => {
    startCluster();
    const machine = cluster.addWorker({ machineId: 'i-000001', failsTask: (shard) => shard.startsWith('j-bad') });
    cluster.addWorker({ machineId: 'i-000002', zone: 'b', runMs: 20_000 });
    await cluster.advance(5000);
    const two = '"Shape":"array","Rank":"normal","Shards":2,"Cpus":2';
    await submit(submission('j-sn', two) + ',"SnapshotEveryS":5,"SnapshotS":2}');
    await submit(submission('j-bad', ARRAY) + ',"SnapshotEveryS":0,"SnapshotS":0,"Site":"a"}');
    await cluster.advance(1000);
    machine.spotNoticeS = 30;
    await cluster.advance(15_000);
    assert.deepEqual(changes('live/ledger/j-sn/'), [
      '{"Set":"live/ledger/j-sn/0000","V":{"s":[[1,0,"i-000001",1,-1,"a"],[1,0,"i-000001",1,-1,"a"]]}}',
      '{"Set":"live/ledger/j-sn/0000","V":{"s":[[1,0,"i-000001",1,2,"a"],[1,0,"i-000001",1,2,"a"]]}}',
      '{"Set":"live/ledger/j-sn/0000","V":{"s":[[1,0],[1,0]]}}',
      '{"Set":"live/ledger/j-sn/0000","V":{"s":[[2,0,"i-000002",1,-1,"b"],[2,0,"i-000002",1,-1,"b"]]}}',
    ]);
    assert.deepEqual(changes('live/ledger/j-bad/').slice(0, 2), [
      '{"Set":"live/ledger/j-bad/0000","V":{"s":[[1,0,"i-000001",1,-1,"a"]]}}',
      '{"Set":"live/ledger/j-bad/0000","V":{"s":[[1,1]]}}',
    ]);
    assert.deepEqual(requests('i-000001:9000', /^\/commands$/), [
      'POST i-000001:9000/commands {"Fence":1,"Tenure":1,"Orders":[{"Verb":"launch","Shard":"j-sn/0","Try":1},{"Verb":"launch","Shard":"j-sn/1","Try":1}]}',
      'POST i-000001:9000/commands {"Fence":1,"Tenure":1,"Orders":[{"Verb":"launch","Shard":"j-bad/0","Try":1}]}',
      'POST i-000001:9000/commands {"Fence":1,"Tenure":1,"Orders":[{"Verb":"kill","Shard":"j-sn/0","Try":1,"WindDownS":2},{"Verb":"kill","Shard":"j-sn/1","Try":1,"WindDownS":2}]}',
    ]);
    await submit(submission('j-wide', '"Shape":"array","Rank":"normal","Shards":4,"Cpus":4') + END);
    await cluster.advance(40_000);
    const wide = changes('live/ledger/j-wide/');
    assert.ok(wide.includes('{"Set":"live/ledger/j-wide/0000","V":{"s":[[1,0,"i-000002",1,-1,"b"],0,0,0]}}'), wide[0]);
    assert.ok(
      wide.some((each) => each.includes('"V":{"s":[1,')),
      'the placement of a finished task',
    );
  });

  it('uses the compact format for a chunk that would otherwise be too large for the store', async () => {
    const zone = 'z'.repeat(190);
    const machineTypes = [{ name: 'c8/x', cpus: 8, memoryGb: 64, zones: [] }];
    const state = { rps: 500, write_rps: 200, value_kb: 1, txn_ops: 12 };
    startCluster({ cluster: { zones: [zone], state }, locations: [zone], machineTypes });
    const old = '"Shape":"array","Rank":"normal","Shards":6,"Cpus":1';
    const job = `${spec('j-old', old)},"phase":"active","at":1700000000000,"chunk":6}`;
    await cluster.store.handle('POST', '/txn', JSON.parse(`{"Apply":[{"Set":"live/job/j-old","V":${job}}]}`));
    cluster.addWorker({ machineId: 'i-000001', zone: zone, machineType: 'c8/x' });
    await cluster.advance(20_000);
    const slot = '[1,0,"i-000001",1,-1,0]';
    const compact = `{"z":["${zone}"],"s":[${slot},${slot},${slot},${slot},${slot},${slot}]}`;
    assert.equal(changes('live/ledger/')[0], `{"Set":"live/ledger/j-old/0000","V":${compact}}`);
    assert.equal(
      storedRecord('live/flavor/c8%2Fx'),
      'live/flavor/c8%2Fx {"Sku":"c8/x","Cpus":8,"MemGb":64,"Sites":[]}',
    );
  });

  it('keeps its format for leaderships, format versions, standbys and machine types', async () => {
    startCluster({ nodes: 2, standby: { enabled: true, follow: true } });
    await cluster.advance(10_000);
    assert.deepEqual([...cluster.store.rows.keys()].sort().map(storedRecord), [
      'live/claim/leader {"node":"n0","latch":1}',
      'live/claim/part-0 {"node":"n0","latch":1}',
      'live/claim/part-1 {"node":"n1","latch":2}',
      'live/flavor/c8 {"Sku":"c8","Cpus":8,"Cards":0,"MemGb":64,"LocalGb":50,"FetchGbPerS":1,"Hourly":1,"LowPrice":0.3,"BootS":30,"Sites":["a","b","c"]}',
      'live/format/complete {"format":2}',
      'live/format/node/n0 {"format":2,"latch":1}',
      'live/format/node/n1 {"format":2,"latch":2}',
      'live/standby/n0 {"life":LIFE,"latch":1}',
      'live/standby/n1 {"life":LIFE,"latch":2}',
    ]);
  });

  it('keeps its format for a rental, as do the requests to the cloud', async () => {
    startCluster({ bootMs: 3000, runMs: 2000, teams: [{ name: 'red', cpus_max: 500 }] });
    cluster.addWorker({ machineId: 'i-000001', runMs: 2000 });
    await cluster.advance(5000);
    await submit(submission('j-e', '"Shape":"array","Rank":"normal","Shards":2,"Cpus":8') + END);
    await cluster.advance(400_000);
    const hire = '"name":"r-2-1","flavor":"c8","site":"a","reclaimable":false,"count":1,"at":AT';
    assert.deepEqual(changes('live/hire/r-2-1'), [
      `{"Set":"live/hire/r-2-1","V":{${hire},"hosts":null}}`,
      `{"Set":"live/hire/r-2-1","V":{${hire},"hosts":["i-000100"]}}`,
      '{"Drop":"live/hire/r-2-1"}',
    ]);
    const asked = requests('cloud:1', /./);
    for (const expected of [
      'GET cloud:1/machine_types',
      'GET cloud:1/rentals?Limit=500',
      'POST cloud:1/rentals {"Hire":"r-2-1","Flavor":"c8","Site":"a","Reclaimable":false,"HowMany":1}',
      'POST cloud:1/rentals/return {"Hosts":["i-000001","i-000100"]}',
    ]) {
      assert.ok(asked.includes(expected), `${expected} in ${asked.join('\n')}`);
    }
    // A late copy of a heartbeat from a machine that has been returned.
    const lateHeartbeat =
      '{"Host":"i-000100","Endpoint":"i-000100:9000","Flavor":"c8","Site":"a","Tenure":1,"Tick":9,"Fence":0}';
    assert.equal(await sendHeartbeat(lateHeartbeat), '421 {}');
  });
});

/** Sends a heartbeat that comes from no fake worker; returns the answer. */
async function sendHeartbeat(heartbeat: string, node = 0): Promise<string> {
  const client = cluster.network.client('elsewhere');
  const limits = { timeoutMs: 4000 };
  return answerText(
    await cluster.advanceUntilSettled(
      client.call(`n${node}:8080`, 'POST', '/hello', JSON.parse(heartbeat), limits),
      10,
    ),
  );
}

describe('a request to the store', () => {
  it('keeps its format for leases, watches, lists and transactions', async () => {
    startCluster();
    await cluster.store.handle(
      'POST',
      '/txn',
      JSON.parse('{"Apply":[{"Set":"live/team/red","V":{"cpus":0,"cards":0}}]}'),
    );
    const pagedPath = (path: string) => path.replace(/Limit=\d+/, 'Limit=1');
    await cluster.store.handle(
      'POST',
      '/txn',
      JSON.parse('{"Apply":[{"Set":"live/team/tan","V":{"cpus":0,"cards":0}}]}'),
    );
    cluster.network.serve('store:1', (method, path, body) => cluster.store.handle(method, pagedPath(path), body));
    await cluster.advance(5000);
    const sent = requests('store:1', /./);
    assert.deepEqual(
      sent.filter((each) => / store:1\/(store|holds)/.test(each)),
      [
        'GET store:1/store?Starts=live%2F&Limit=1000',
        'POST store:1/holds {"TtlMs":3000}',
        'GET store:1/store?Starts=live%2F&From=live%2Fteam%2Fred&Limit=1000',
        'POST store:1/holds/1/renew {}',
      ],
    );
    assert.ok(sent.includes('GET store:1/watch?Starts=live%2F&From=2&WaitMs=10000'), sent.join('\n'));
    assert.ok(
      sent.includes(
        'POST store:1/txn {"If":[{"K":"live/claim/part-0","Stamp":0}],"Apply":[{"Set":"live/claim/part-0","V":{"node":"n0","latch":1},"Latch":1}]}',
      ),
      sent.join('\n'),
    );
  });

  it('keeps its format for single records and for transactions with conditions only', async () => {
    startCluster({ nodes: 2 });
    await cluster.advance(6000);
    cluster.partitioned.add('n0>n1');
    cluster.network.addFault({ from: 'n1', to: 'store:1', path: /^\/watch/, kind: 'lose' });
    assert.equal(await submitArray('j-a'), '201 {"Ref":"j-a","Phase":"queued"}');
    assert.equal(await poll('j-a', 1), '200 {"Ref":"j-a","Phase":"queued","done":0,"running":0}');
    const sent = requests('store:1', /^\/(store\/|txn)/);
    assert.ok(sent.includes('GET store:1/store/live/job/j-a'), sent.join('\n'));
    const compare = '{"If":[{"K":"live/job/j-a","Stamp":0},{"K":"ended/j-a","Stamp":0}],"Apply":[]}';
    assert.ok(sent.includes(`POST store:1/txn ${compare}`), sent.join('\n'));
  });
});

describe('the answer to a heartbeat', () => {
  const heartbeat = (host: string): string =>
    `{"Host":"${host}","Endpoint":"${host}:9000","Flavor":"c8","Site":"a","Tenure":1,"Tick":1}`;

  it('carries launch, kill and forget commands', async () => {
    startCluster();
    cluster.addWorker({ machineId: 'i-000001', runMs: 4000 });
    cluster.network.addFault({ path: /^\/commands/, kind: 'refuse' });
    await cluster.advance(5000);
    await submitArray('j-a');
    await cluster.advance(8000);
    await submit(submission('j-svc', ARRAY.replace('array', 'service')) + END);
    await cluster.advance(3000);
    await withdraw('j-svc');
    await cluster.advance(4000);
    assert.deepEqual(
      [...new Set(heartbeatAnswers)],
      [
        '200 {"Fence":1,"Orders":[]}',
        '200 {"Fence":1,"Orders":[{"Verb":"launch","Shard":"j-a/0","Try":1}]}',
        '200 {"Fence":1,"Orders":[{"Verb":"forget","Shard":"j-a/0","Try":1}]}',
        '200 {"Fence":1,"Orders":[{"Verb":"launch","Shard":"j-svc/0","Try":1}]}',
        '200 {"Fence":1,"Orders":[{"Verb":"kill","Shard":"j-svc/0","Try":1,"WindDownS":0}]}',
        '200 {"Fence":1,"Orders":[{"Verb":"forget","Shard":"j-svc/0","Try":1}]}',
      ],
    );
  });

  it('refuses service without a leader, names another partition leader, or rejects a malformed heartbeat', async () => {
    startCluster({ nodes: 2 });
    assert.equal(await sendHeartbeat(heartbeat('i-000002')), '503 {"error":"not entitled"}');
    await cluster.advance(6000);
    assert.equal(await sendHeartbeat(heartbeat('i-000002')), '421 {"Steward":"n1"}');
    assert.equal(await sendHeartbeat('{"Host":"i-000002"}'), '400 {"error":"not a report"}');
  });
});

describe('the answer to a user', () => {
  it('names the reason for which a submission is refused', async () => {
    startCluster();
    const refused = async (rest: string): Promise<string> => submit(`${submission('j-1', ARRAY)}${rest}`);
    assert.equal(await submit('{"Ref":"x"}'), '400 {"error":"Ref: must look like j-000412"}');
    await cluster.advance(5000);
    assert.equal(await submit('[]'), '400 {"error":"not an object"}');
    assert.equal(await refused(END.replace('}', ',"Owner":"blue"}')), '422 {"error":"unknown team"}');
    const large = '422 {"error":"a task fits no allowed machine type"}';
    assert.equal(await refused(END.replace('}', ',"Cpus":100}')), large);
    const gang = ',"Shape":"ensemble","Shards":100}';
    assert.equal(await refused(END.replace('}', gang)), '422 {"error":"more than the team\'s limit"}');
    const self = ',"Awaits":["j-1"]}';
    assert.equal(await refused(END.replace('}', self)), '422 {"error":"a job can not wait for itself"}');
    const unknown = ',"Awaits":["j-2"]}';
    assert.equal(await refused(END.replace('}', unknown)), '422 {"error":"j-2 was never accepted"}');
  });

  it('contains the state of a job, from its submission to its end', async () => {
    startCluster();
    await cluster.advance(5000);
    assert.equal(await submitArray('j-a'), '201 {"Ref":"j-a","Phase":"queued"}');
    assert.equal(await submitArray('j-a'), '200 {"Ref":"j-a","Phase":"queued","done":0,"running":0}');
    cluster.addWorker({ machineId: 'i-000001', runMs: 20_000 });
    await cluster.advance(6000);
    assert.equal(await poll('j-a'), '200 {"Ref":"j-a","Phase":"running","done":0,"running":1}');
    await cluster.advance(25_000);
    assert.equal(await poll('j-a'), '200 {"Ref":"j-a","Phase":"done","done":1,"running":0}');
    assert.equal(await withdraw('j-a'), '200 {"Ref":"j-a","Phase":"done"}');
    assert.equal(await submitArray('j-b'), '201 {"Ref":"j-b","Phase":"queued"}');
    assert.equal(await withdraw('j-b'), '200 {"Ref":"j-b","Phase":"withdrawn"}');
    assert.equal(await poll('j-b'), '200 {"Ref":"j-b","Phase":"withdrawn","done":0,"running":0}');
    assert.equal(await poll('j-none'), '404 {"error":"no such job"}');
    assert.equal(await withdraw('j-none'), '404 {"error":"no such job"}');
  });

  it('is 503 while the store is out, and to a health check before the node is healthy', async () => {
    startCluster();
    assert.equal(answerText(cluster.node(0).answerHealthCheck()), '503 {"up":false}');
    await cluster.advance(5000);
    assert.equal(answerText(cluster.node(0).answerHealthCheck()), '200 {"up":true}');
    cluster.store.isUnavailable = true;
    await cluster.advance(9000);
    const out = '503 {"error":"the state service does not answer"}';
    assert.equal(await submitArray('j-z'), out);
    assert.equal(await poll('j-z'), out);
    assert.equal(await withdraw('j-z'), out);
  });

  it('is 429 while more is submitted than the write rate of the store allows', async () => {
    const state = { rps: 500, write_rps: 2, value_kb: 4, txn_ops: 12 };
    startCluster({ cluster: { state }, teams: [{ name: 'red' }] });
    await cluster.advance(15_000);
    for (let n = 0; n < 40; n++) void cluster.post(JSON.parse(submission(`j-${n}`, ARRAY) + END));
    await cluster.advance(500);
    assert.equal(await submitArray('j-99'), '429 {"error":"busy"}');
  });
});
