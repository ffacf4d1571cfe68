import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { Cluster, jobOf, type ClusterOptions } from '../src/testing/cluster.js';

let cluster: Cluster;
/** Every story ends with the judge's verdict. */
afterEach(() => assert.deepEqual(cluster.verdict(), []));

async function ready(machines: number, options: ClusterOptions = { nodes: 3 }, runMs = 5000): Promise<Cluster> {
  cluster = new Cluster(options);
  for (let index = 0; index < machines; index++) {
    cluster.addWorker({ host: `i-00000${index}`, site: ['a', 'b', 'c'][index % 3]!, runMs });
  }
  await cluster.advance(6000);
  return cluster;
}

const service = { Ref: 'j-svc', Shape: 'service', Rank: 'prod', GuessS: 0, Shards: 1 };
const where = (name: string) => cluster.runs(name).at(-1)!.host;
const phase = (answer: { body: unknown }) => (answer.body as { Phase: string }).Phase;
const isOpen = (node: number, host: string) => {
  const machine = cluster.node(node).fleet.get(host);
  return machine !== undefined && cluster.node(node).fleet.isOpen(machine);
};

describe('a machine that can open no connection, though commands reach it', () => {
  it('gets no new work by its answers to commands, and its service comes up elsewhere for good', async () => {
    await ready(2);
    await cluster.submit(service);
    const host = where('j-svc/0');
    const machine = cluster.workers.get(host)!;
    cluster.remember();
    const since = cluster.clock.now();
    cluster.mute.add(host);
    for (let second = 0; second < 40; second++) {
      // Some job goes to every machine that counts as open, and each command's answer is one more report of it.
      void cluster.post(jobOf({ Ref: `j-${second}`, Shards: 1, Cpus: 1 }), second % 3);
      await cluster.advance(1000);
    }
    assert.deepEqual(
      machine.history.filter((run) => run.from > since + 5000),
      [],
    );
    assert.equal(isOpen(0, host), false);
    assert.ok(cluster.cloud.returned.includes(host), 'given back');
    const runs = cluster.runs('j-svc/0');
    assert.equal(runs.length, 2);
    assert.ok(runs[1]!.from - since < 16_000, `${runs[1]!.from - since} ms`);
    for (let second = 0; second < 30; second++) {
      assert.equal(cluster.overlaps(`j-${second}/0`), 0);
      assert.equal(phase(await cluster.poll(`j-${second}`)), 'done');
    }
  });

  it('is told of a cancellation by a command, long before its lease is over', async () => {
    await ready(3);
    await cluster.submit(service);
    const host = where('j-svc/0');
    cluster.mute.add(host);
    await cluster.advance(4500);
    const asked = cluster.clock.now();
    assert.equal(phase(await cluster.withdraw('j-svc', 1)), 'withdrawn');
    const [run] = cluster.runs('j-svc/0');
    assert.ok((run!.to ?? Infinity) - asked < 1000, `${run!.to} after ${asked}`);
    assert.ok(cluster.store.rows.has('ended/j-svc'), 'the answer of the command is a report: the place is free');
  });

  it('keeps the place of a task that was killed there until its exit is proved', async () => {
    await ready(3, { nodes: 3, teams: [{ name: 'red', cpus_max: 2 }] });
    await cluster.submit(service);
    const host = where('j-svc/0');
    cluster.remember();
    cluster.network.fault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
    const since = cluster.clock.now();
    cluster.mute.add(host);
    // The kill arrives, its answer does not: nobody knows that the task has gone.
    cluster.network.fault({ to: `${host}:9000`, kind: 'answerLost' });
    await cluster.advance(1000);
    await cluster.submit({ ...service, Ref: 'j-svc2' });
    assert.equal(phase(await cluster.withdraw('j-svc', 1)), 'withdrawn');
    const [run] = cluster.runs('j-svc/0');
    assert.notEqual(run!.to, undefined);
    await cluster.advance(2000);
    assert.equal(cluster.store.rows.has('ended/j-svc'), false);
    assert.equal(cluster.runs('j-svc2/0').length, 0, 'the team is still at its limit');
    await cluster.advance(8000);
    assert.ok(cluster.store.rows.has('ended/j-svc'), 'its lease is over');
    const [next] = cluster.runs('j-svc2/0');
    assert.ok(next!.from - since > 10_000 && next!.from - since < 14_000, `${next!.from - since} ms`);
  });
});

describe('a command that is held up', () => {
  it('starts nothing for long, when its job is cancelled before the machine goes on', async () => {
    await ready(1);
    const machine = cluster.workers.get('i-000000')!;
    machine.hang();
    void cluster.post(jobOf(service));
    await cluster.advance(600);
    assert.equal(phase(await cluster.withdraw('j-svc', 1)), 'withdrawn');
    machine.goOn();
    await cluster.advance(10_000);
    const [run] = cluster.runs('j-svc/0');
    // A worker waits 5 s for an answer that does not come before it reports again.
    assert.ok(run!.to! - run!.from < 6500, 'killed by the next answer');
    assert.equal(cluster.judge.lateStarts.length, 1);
    assert.equal(cluster.runs('j-svc/0').length, 1);
    assert.ok(cluster.store.rows.has('ended/j-svc'));
  });

  it('is refused where the new token has come first, and its place is free only then', async () => {
    await ready(1);
    const host = 'i-000000';
    cluster.network.fault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
    cluster.mute.add(host);
    const deliver = cluster.network.cut({ to: `${host}:9000` });
    void cluster.post(jobOf(service));
    await cluster.advance(600);
    assert.equal(phase(await cluster.withdraw('j-svc', 1)), 'withdrawn');
    assert.equal(cluster.store.rows.has('ended/j-svc'), false, 'the launch may still arrive');
    cluster.mute.delete(host);
    await cluster.advance(4000);
    assert.ok(cluster.store.rows.has('ended/j-svc'));
    deliver();
    await cluster.advance(3000);
    assert.equal(cluster.runs('j-svc/0').length, 0);
  });

  it('costs no other task of its machine while the store gives new tokens, however short a cancellation may take', async () => {
    const workers = { report_s: 1, lease_s: 10, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 16 };
    await ready(1, { nodes: 3, cluster: { workers } });
    await cluster.submit({ ...service, Ref: 'j-svc-old' });
    cluster.network.fault({ to: 'i-000000:9000', kind: 'hold' });
    void cluster.post(jobOf(service));
    await cluster.advance(200);
    assert.equal(phase(await cluster.withdraw('j-svc', 1)), 'withdrawn');
    await cluster.advance(30_000);
    assert.equal(cluster.runs('j-svc-old/0').length, 1);
    assert.equal(cluster.runs('j-svc-old/0')[0]!.to, undefined);
  });

  it('does not come through an outage of the store either, which keeps the owner from a new token', async () => {
    await ready(1);
    const host = 'i-000000';
    cluster.mute.add(host);
    const deliver = cluster.network.cut({ to: `${host}:9000` });
    void cluster.post(jobOf(service));
    await cluster.advance(600);
    void cluster.cancel('j-svc', 1);
    await cluster.advance(300);
    cluster.store.out = true;
    cluster.mute.delete(host);
    await cluster.advance(60_000);
    deliver();
    await cluster.advance(5000);
    cluster.store.endOutage();
    await cluster.advance(8000);
    assert.equal(cluster.runs('j-svc/0').length, 0);
    assert.ok(cluster.store.rows.has('ended/j-svc'));
  });

  it('is not carried out after the lease, and a cancelled task does not go on after its machine hung', async () => {
    await ready(2);
    cluster.network.fault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
    for (const hangMs of [8000, 14_000]) {
      const ref = `j-svc-${hangMs}`;
      await cluster.submit({ ...service, Ref: ref });
      const host = where(`${ref}/0`);
      const machine = cluster.workers.get(host)!;
      machine.hang();
      void cluster.cancel(ref, 1);
      // Launches are on their way there too.
      for (let n = 0; n < 4; n++) void cluster.post(jobOf({ Ref: `j-${hangMs}-${n}`, Shards: 2 }), n % 3);
      await cluster.advance(hangMs);
      machine.goOn();
      await cluster.advance(2000);
      assert.notEqual(cluster.runs(`${ref}/0`)[0]!.to, undefined);
      await cluster.advance(30_000);
      for (let n = 0; n < 4; n++) assert.equal(phase(await cluster.poll(`j-${hangMs}-${n}`)), 'done');
    }
  });
});

const partOf = (name: string) => cluster.node(0).claims.partOf(name);
const isPlaced = (ref: string) => JSON.stringify(cluster.store.rows.get(`live/ledger/${ref}/0000`)?.value ?? '');
/** Lets time pass, a little at a time, until something has come about. */
async function until(condition: () => boolean, ms = 20_000): Promise<void> {
  for (let waited = 0; !condition(); waited += 5) {
    assert.ok(waited < ms, 'it does not come about');
    await cluster.advance(5);
  }
}

describe('a machine that is back just when its lease is proved over', () => {
  it('keeps what it was given anew, though the proof is recorded twice', async () => {
    await ready(3);
    cluster.network.fault({ to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } });
    // Its job is placed by another node than the one that answers for the machine.
    const leader = cluster.node(0).claims.ownerOf('leader');
    const hosts = [...cluster.workers.keys()];
    const host = hosts.find((each) => `n${partOf(each)}` !== leader)!;
    const others = hosts.filter((each) => each !== host);
    const ref = ['j-svc1', 'j-svc2', 'j-svc3', 'j-svc4'].find((each) => partOf(each) !== partOf(host))!;
    for (const other of others) cluster.workers.get(other)!.warningS = 1000;
    await cluster.advance(2000);
    await cluster.submit({ ...service, Ref: ref, Rank: 'high' });
    assert.equal(where(`${ref}/0`), host);
    cluster.mute.add(host);
    await cluster.advance(8500);
    const owner = partOf(host);
    // The proof is recorded, but the answer is lost: the owner tries again later.
    cluster.network.fault({ from: `n${owner}`, to: 'store:1', path: /^\/txn/, kind: 'answerLost', times: 1 });
    await until(() => !isPlaced(ref).includes(host));
    cluster.mute.delete(host);
    // In the meantime the machine is back, in a new session.
    const machine = cluster.workers.get(host)!;
    for (let report = 0; report < 2; report++) {
      void cluster.node(owner).hello(machine.report());
      await cluster.advance(report === 0 ? 490 : 0);
    }
    // It is slow to read again what has become of it.
    const heal = cluster.network.fault({ from: `n${owner}`, to: 'store:1', path: /^\/watch/, kind: 'lose' });
    await until(() => cluster.runs(`${ref}/0`).length === 2, 1500);
    heal();
    for (const other of others) cluster.workers.get(other)!.warningS = null;
    await cluster.advance(12_000);
    const runs = cluster.runs(`${ref}/0`);
    assert.equal(runs.length, 2);
    assert.equal(cluster.overlaps(`${ref}/0`), 0);
    assert.equal(runs[1]!.host, host);
  });
});

describe('a node that takes a part over before it has read what its former owner did last', () => {
  it('starts nothing there that has gone elsewhere', async () => {
    await ready(3);
    // The part's own node is away, and another one answers for its machines.
    const host = [...cluster.workers.keys()].find(
      (each) => `n${partOf(each)}` !== cluster.node(0).claims.ownerOf('leader'),
    )!;
    const home = partOf(host);
    const role = `part-${home}`;
    cluster.crash(home);
    const others = [0, 1, 2].filter((node) => node !== home);
    await cluster.advance(8000);
    const former = Number(cluster.node(others[0]!).claims.ownerOf(role)!.slice(1));
    assert.notEqual(former, home);
    for (const other of cluster.workers.keys()) if (other !== host) cluster.workers.get(other)!.warningS = 1000;
    await cluster.advance(2000);
    await cluster.submit({ ...service, Rank: 'high' }, former);
    assert.equal(where('j-svc/0'), host);
    for (const other of cluster.workers.keys()) if (other !== host) cluster.workers.get(other)!.warningS = null;
    await cluster.advance(2000);
    cluster.start(home);
    await cluster.advance(700);
    cluster.workers.get(host)!.warningS = 1000;
    const leads = Number(cluster.node(former).claims.ownerOf('leader')!.slice(1));
    await until(() => cluster.node(leads).fleet.get(host)!.warnedUntil !== null);
    // What happens from here on it learns from nobody: the task is stopped, forgotten, and starts on another machine.
    const heal = cluster.network.fault({ from: `n${home}`, to: 'store:1', path: /^\/watch/, kind: 'lose' });
    for (const node of others) cluster.parted.add(`n${node}>n${home}`);
    await until(() => cluster.runs('j-svc/0').length === 2 && !cluster.workers.get(host)!.tasks.has('j-svc/0'));
    for (const node of others) cluster.parted.delete(`n${node}>n${home}`);
    void cluster.node(former).claims.cede(role, 'for the story', 15_000);
    await until(() => cluster.node(home).claims.holding(role) !== undefined, 1000);
    assert.ok(cluster.node(home).claims.inTouch);
    await cluster.advance(1000);
    heal();
    await cluster.advance(5000);
    assert.equal(cluster.runs('j-svc/0').length, 2);
    assert.equal(cluster.overlaps('j-svc/0'), 0);
  });
});
