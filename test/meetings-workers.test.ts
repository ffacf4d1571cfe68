import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { Cluster, jobOf, type ClusterOptions } from '../src/testing/cluster.js';

let cluster: Cluster;
afterEach(() => cluster.stop());

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

/** The machine opens no connection to any controller; commands reach it, and their answers come back. */
function muzzle(host: string): () => void {
  const pairs = [0, 1, 2].map((node) => `${host}>n${node}`);
  for (const pair of pairs) cluster.unreachable.add(pair);
  return () => {
    for (const pair of pairs) cluster.unreachable.delete(pair);
  };
}

describe('a machine that can open no connection, though commands reach it', () => {
  it('gets no new work by its answers to commands, and its service comes up elsewhere for good', async () => {
    await ready(2);
    await cluster.submit(service);
    const host = where('j-svc/0');
    const machine = cluster.workers.get(host)!;
    cluster.remember();
    const since = cluster.clock.now();
    muzzle(host);
    for (let second = 0; second < 40; second++) {
      // Some job goes to every machine that counts as open, and each command's answer is one more report of it.
      void cluster.node(second % 3).jobs.submit(jobOf({ Ref: `j-${second}`, Shards: 1, Cpus: 1 }));
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
    muzzle(host);
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
    muzzle(host);
    // The kill arrives, its answer does not: nobody knows that the task has gone.
    cluster.network.fault({ to: `${host}:9000`, kind: 'mute' });
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
