/**
 * A task must never start on a machine while it is on another one. In these scenarios a controller does not see its own
 * leadership for a moment, or the proof that a task has ended waits in a queue while the cluster's state changes.
 */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import { decodeTransaction, type StoreOperation } from '../../testing/fake-store-wire-codec.js';
import { type ClusterOptions, jobOf } from '../../testing/fixtures.js';

let cluster: Cluster;
/** Every scenario ends with the result of the invariant checker. */
afterEach(() => assert.deepEqual(cluster.stopAndCheck(), []));

/** Longer than a lease plus the degraded serving of a former leader: lease expiry is no longer counted from the acquisition. */
const SETTLED_MS = 45_000;
/** Time until the controllers know the machines and their types. */
const READY_MS = 6000;
const CLOUD_OUTAGE = { to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } } as const;
/**
 * The fake worker runs jobs with such names until they are killed; without checkpoints they are not stopped on a spot notice.
 * The cluster leader places single-zone jobs, so it is not the machine's partition leader that places the task again.
 */
const longJob = (n: number) => ({ id: `j-svc-${n}`, taskCount: 1, cpus: 3, singleZone: true });

const partitionOf = (machineId: string) => cluster.node(0).leadership.partitionOf(machineId);
const leaderOf = (role: string) => Number(cluster.node(0).leadership.leaderOf(role)!.slice(1));

const reportsTo = (address: string, machineId: string) =>
  cluster.network.log.filter(({ from, to }) => from === machineId && to === address).length;

const until = (condition: () => boolean, ms = 10_000) => cluster.until(condition, ms);

/** Starts a cluster whose controllers have led their partitions for SETTLED_MS. No machine can be returned to the cloud. */
async function startSettledCluster(machines: number, options: ClusterOptions = { nodes: 3 }): Promise<void> {
  cluster = new Cluster(options);
  for (let index = 0; index < machines; index++) {
    cluster.addWorker({ machineId: `i-0000${String(index).padStart(2, '0')}`, zone: ['a', 'b', 'c'][index % 3]! });
  }
  await cluster.advance(READY_MS);
  cluster.network.addFault(CLOUD_OUTAGE);
  await cluster.advance(SETTLED_MS);
}

/** Gives these machines spot notices, so that no more tasks are placed there. */
async function closeToNewWork(machineIds: readonly string[]): Promise<void> {
  for (const machineId of machineIds) cluster.workers.get(machineId)!.spotNoticeS = 1000;
  await cluster.advance(1000);
}

const writesClaim = (body: unknown, kind: StoreOperation['kind'], role: string) =>
  decodeTransaction(body).operations.some((each) => each.kind === kind && each.key === `live/claim/${role}`);

/** Starts nine long tasks; returns one partition's role, its machines and its leader. */
async function startLongTasks(): Promise<{ role: string; machineIds: string[]; leader: number }> {
  await startSettledCluster(9, { nodes: 3, teams: [{ name: 'red' }] });
  for (let n = 0; n < 9; n++) await cluster.submit(longJob(n), n % 3);
  const machineIds = [...cluster.workers.keys()].filter(
    (machineId) => partitionOf(machineId) === partitionOf('i-000000'),
  );
  const role = `part-${partitionOf('i-000000')}`;
  return { role, machineIds, leader: leaderOf(role) };
}

describe('a controller that does not see its own leadership for a moment', () => {
  it('releases no task whose worker sends its heartbeat late, when an advanced token arrives by the watch before the answer', async () => {
    const { role, machineIds, leader } = await startLongTasks();
    const isBusy = (machineId: string) => cluster.workers.get(machineId)!.tasks.size > 0;
    const commanded = machineIds.find((machineId) => !isBusy(machineId))!;
    const others = machineIds.filter(isBusy);
    // A launch on one machine gets no answer, and its job is cancelled: the token is advanced so that the launch is refused.
    cluster.outboundLoss.add(commanded);
    cluster.network.addFault({ to: `${commanded}:9000`, kind: 'hold' });
    cluster.network.addFault({
      from: `n${leader}`,
      to: 'store:1',
      path: /^\/txn/,
      matchesBody: (body) => writesClaim(body, 'put', role),
      kind: 'answerLost',
      times: 1,
    });
    for (let n = 0; n < 9; n++) void cluster.post(jobOf({ id: `j-once-${n}`, cpus: 3 }), n % 3);
    await cluster.advance(600);
    // The other workers' heartbeats are lost for less than a lease: the workers and their tasks survive.
    await closeToNewWork(others);
    for (const machineId of others) cluster.outboundLoss.add(machineId);
    for (let n = 0; n < 9; n++) void cluster.requestCancellation(`j-once-${n}`, n % 3);
    await cluster.advance(6000);
    for (const machineId of others) cluster.outboundLoss.delete(machineId);
    await cluster.advance(15_000);
    assert.equal(leaderOf(role), leader, 'the partition has the same leader');
  });

  it('releases no task whose worker sends its heartbeat late, when it keeps a partition that it could not hand over', async () => {
    const { role, machineIds, leader } = await startLongTasks();
    await closeToNewWork(machineIds);
    const heal = cluster.network.addFault({
      from: `n${leader}`,
      to: 'store:1',
      path: /^\/txn/,
      matchesBody: (body) => writesClaim(body, 'delete', role),
      kind: 'status',
      status: 429,
    });
    void cluster.node(leader).leadership.release(role, 'for the scenario', 15_000);
    for (const machineId of machineIds) cluster.outboundLoss.add(machineId);
    await cluster.advance(6000);
    heal();
    for (const machineId of machineIds) cluster.outboundLoss.delete(machineId);
    await cluster.advance(15_000);
  });
});

describe('a controller that forwards heartbeats and restarts within a second', () => {
  it('gives no worker an answer that its former incarnation requested for another worker', async () => {
    cluster = new Cluster({ nodes: 2 });
    const machineIds = Array.from({ length: 12 }, (_, index) => `i-0000${String(index).padStart(2, '0')}`)
      .filter((machineId) => partitionOf(machineId) === 0)
      .slice(0, 2);
    const [first, second] = machineIds as [string, string];
    for (const machineId of machineIds) cluster.addWorker({ machineId });
    await cluster.advance(READY_MS);
    assert.equal(leaderOf('part-0'), 0);
    // Neither of the two workers reaches its leader or is reached by it; the first one is assigned a task.
    for (const machineId of machineIds) {
      cluster.network.addFault({ from: machineId, to: 'n0:8080', kind: 'refuse' });
      cluster.network.addFault({ from: 'n0', to: `${machineId}:9000`, kind: 'refuse' });
    }
    await closeToNewWork([second]);
    const release = cluster.network.holdMessages({ from: 'n1', to: 'n0' });
    void cluster.post(jobOf({ id: 'j-svc-0' }), 0);
    await cluster.advance(1500);
    const unblock = cluster.network.addFault({ from: first, to: 'n1:8080', kind: 'refuse' });
    cluster.crash(1);
    cluster.start(1);
    const before = reportsTo('n1:8080', second);
    await until(() => reportsTo('n1:8080', second) > before);
    await cluster.advance(5);
    release();
    await cluster.advance(5);
    // Whatever answer the second worker got, it gets no other one for a while.
    cluster.outboundLoss.add(second);
    unblock();
    await cluster.advance(6000);
    assert.equal(cluster.runs('j-svc-0/0').at(-1)!.machineId, first);
  });
});
