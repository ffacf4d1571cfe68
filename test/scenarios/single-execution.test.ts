/**
 * A task must never start on a machine while it is on another one. In these scenarios a controller loses sight of its own
 * claim for a moment, or a proof waits in a queue while the world moves on.
 */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import { decodeTransaction, type StoreOperation } from '../../testing/fake-store-wire-codec.js';
import { type ClusterOptions, jobOf } from '../../testing/fixtures.js';

let cluster: Cluster;
/** Every scenario ends with the verdict of the invariant checker. */
afterEach(() => assert.deepEqual(cluster.verdict(), []));

/** Longer than a lease and the time for which a former owner may go on answering: proofs count from the claim no longer. */
const SETTLED_MS = 45_000;
/** Until the controllers know the machines and their types. */
const READY_MS = 6000;
const CLOUD_OUTAGE = { to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } } as const;
/**
 * The stand-in runs jobs of such names until they are killed; without checkpoints they are not stopped on a notice of the
 * cloud. The leader places what must be in one zone, so it is not the owner of the machine that finds it a new place.
 */
const longJob = (n: number) => ({ id: `j-svc-${n}`, taskCount: 1, cpus: 3, singleZone: true });

const partitionOf = (machineId: string) => cluster.node(0).leadership.partitionOf(machineId);
const ownerOf = (role: string) => Number(cluster.node(0).leadership.leaderOf(role)!.slice(1));

const reportsTo = (address: string, machineId: string) =>
  cluster.network.log.filter(({ from, to }) => from === machineId && to === address).length;

const until = (condition: () => boolean, ms = 10_000) => cluster.until(condition, ms);

/** Starts a cluster whose controllers have held their partitions for long. No machine can be returned to the cloud. */
async function settled(machines: number, options: ClusterOptions = { nodes: 3 }): Promise<void> {
  cluster = new Cluster(options);
  for (let index = 0; index < machines; index++) {
    cluster.addWorker({ machineId: `i-0000${String(index).padStart(2, '0')}`, zone: ['a', 'b', 'c'][index % 3]! });
  }
  await cluster.advance(READY_MS);
  cluster.network.fault(CLOUD_OUTAGE);
  await cluster.advance(SETTLED_MS);
}

/** The cloud says that it will take these machines, so that nothing more is placed there. */
async function closeToNewWork(machineIds: readonly string[]): Promise<void> {
  for (const machineId of machineIds) cluster.workers.get(machineId)!.spotNoticeS = 1000;
  await cluster.advance(1000);
}

const writesClaim = (body: unknown, kind: StoreOperation['kind'], role: string) =>
  decodeTransaction(body).operations.some((each) => each.kind === kind && each.key === `live/claim/${role}`);

/** Long tasks run on all machines, those of one partition are closed to new work. Returns the latter and their owner. */
async function tasksOnOnePartition(): Promise<{ role: string; machineIds: string[]; owner: number }> {
  await settled(9, { nodes: 3, teams: [{ name: 'red' }] });
  for (let n = 0; n < 9; n++) await cluster.submit(longJob(n), n % 3);
  const machineIds = [...cluster.workers.keys()].filter(
    (machineId) => partitionOf(machineId) === partitionOf('i-000000'),
  );
  const role = `part-${partitionOf('i-000000')}`;
  return { role, machineIds, owner: ownerOf(role) };
}

describe('a controller that does not see its own claim for a moment', () => {
  it('frees no task whose worker reports a little later, when a raised token comes by the watch before its answer', async () => {
    const { role, machineIds, owner } = await tasksOnOnePartition();
    const isBusy = (machineId: string) => cluster.workers.get(machineId)!.tasks.size > 0;
    const commanded = machineIds.find((machineId) => !isBusy(machineId))!;
    const others = machineIds.filter(isBusy);
    // A start on one machine stays without an answer, and its job is cancelled: the token is raised to shut the start out.
    cluster.outboundLoss.add(commanded);
    cluster.network.fault({ to: `${commanded}:9000`, kind: 'hold' });
    cluster.network.fault({
      from: `n${owner}`,
      to: 'store:1',
      path: /^\/txn/,
      where: (body) => writesClaim(body, 'put', role),
      kind: 'answerLost',
      times: 1,
    });
    for (let n = 0; n < 9; n++) void cluster.post(jobOf({ id: `j-once-${n}`, cpus: 3 }), n % 3);
    await cluster.advance(600);
    // The other workers of the partition do not get through for less than a lease: they and their tasks live on.
    await closeToNewWork(others);
    for (const machineId of others) cluster.outboundLoss.add(machineId);
    for (let n = 0; n < 9; n++) void cluster.requestCancellation(`j-once-${n}`, n % 3);
    await cluster.advance(6000);
    for (const machineId of others) cluster.outboundLoss.delete(machineId);
    await cluster.advance(15_000);
    assert.equal(ownerOf(role), owner, 'the partition has not changed hands');
  });

  it('frees no task whose worker reports a little later, when it keeps a partition that it could not hand over', async () => {
    const { role, machineIds, owner } = await tasksOnOnePartition();
    await closeToNewWork(machineIds);
    const heal = cluster.network.fault({
      from: `n${owner}`,
      to: 'store:1',
      path: /^\/txn/,
      where: (body) => writesClaim(body, 'delete', role),
      kind: 'status',
      status: 429,
    });
    void cluster.node(owner).leadership.release(role, 'for the scenario', 15_000);
    for (const machineId of machineIds) cluster.outboundLoss.add(machineId);
    await cluster.advance(6000);
    heal();
    for (const machineId of machineIds) cluster.outboundLoss.delete(machineId);
    await cluster.advance(15_000);
  });
});

describe('a controller that passes reports on and is back within a second', () => {
  it('gives no worker the answer that its former life asked for another one', async () => {
    cluster = new Cluster({ nodes: 2 });
    const machineIds = Array.from({ length: 12 }, (_, index) => `i-0000${String(index).padStart(2, '0')}`)
      .filter((machineId) => partitionOf(machineId) === 0)
      .slice(0, 2);
    const [first, second] = machineIds as [string, string];
    for (const machineId of machineIds) cluster.addWorker({ machineId });
    await cluster.advance(READY_MS);
    assert.equal(ownerOf('part-0'), 0);
    // Neither of the two reaches its owner, nor the owner them; one of them has been given a task.
    for (const machineId of machineIds) {
      cluster.network.fault({ from: machineId, to: 'n0:8080', kind: 'refuse' });
      cluster.network.fault({ from: 'n0', to: `${machineId}:9000`, kind: 'refuse' });
    }
    await closeToNewWork([second]);
    const release = cluster.network.cut({ from: 'n1', to: 'n0' });
    void cluster.post(jobOf({ id: 'j-svc-0' }), 0);
    await cluster.advance(1500);
    const blocked = cluster.network.fault({ from: first, to: 'n1:8080', kind: 'refuse' });
    cluster.crash(1);
    cluster.start(1);
    const before = reportsTo('n1:8080', second);
    await until(() => reportsTo('n1:8080', second) > before);
    await cluster.advance(5);
    release();
    await cluster.advance(5);
    // Whatever it was told, nobody tells it otherwise for a while.
    cluster.outboundLoss.add(second);
    blocked();
    await cluster.advance(6000);
    assert.equal(cluster.runs('j-svc-0/0').at(-1)!.machineId, first);
  });
});
