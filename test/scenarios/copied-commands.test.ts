/**
 * A copy of a request to `/commands` that its worker has executed and answered may arrive once more, much later, while
 * fencing token and agent epoch still match.
 */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import type { FakeWorker } from '../../testing/fake-worker.js';
import { type ClusterOptions, jobOf } from '../../testing/fixtures.js';
import type { Submission } from '../../testing/submission-wire-codec.js';
import type { WorkerOptions } from '../../testing/worker-environment.js';

let cluster: Cluster;
/** Every scenario ends with the result of the invariant checker. */
afterEach(() => assert.deepEqual(cluster.stopAndCheck(), []));

const READY_MS = 6000;
/** Less than a lease after the launch, so that the fencing token has not been advanced for the exit alone. */
const COPY_DELAY_MS = 8000;
const LEASE_MS = 10_000;
const CLOUD_OUTAGE = { to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } } as const;
const FIRST = 'i-000000';
const SECOND = 'i-000001';
const TASK = 'j-svc-1/0';
/** The fake worker runs jobs with such names until they are killed. */
const JOB = { id: 'j-svc-1', kind: 'service', priority: 'prod', estimatedRunS: 0 } as const;

/** Starts a cluster with one machine; it grows only if the scenario adds machines. */
async function startCluster(
  machine: Partial<WorkerOptions> = {},
  options: ClusterOptions = { nodes: 3 },
): Promise<FakeWorker> {
  cluster = new Cluster(options);
  const worker = cluster.addWorker({ machineId: FIRST, ...machine });
  await cluster.advance(READY_MS);
  cluster.network.addFault(CLOUD_OUTAGE);
  return worker;
}

/** A copy of the first direct launch of the task on this machine arrives after the delay. */
function copyLaunch(taskId = TASK, machineId = FIRST, delayMs = COPY_DELAY_MS): { isSent: boolean } {
  const state = { isSent: false };
  const launchCommand = `"launch","Shard":"${taskId}"`;
  const matchesBody = (body: unknown): boolean => {
    const matches = JSON.stringify(body).includes(launchCommand);
    state.isSent ||= matches;
    return matches;
  };
  cluster.network.addFault({
    to: `${machineId}:9000`,
    matchesBody,
    kind: 'copy',
    times: 1,
    lateMs: [delayMs, delayMs],
  });
  return state;
}

/** Submits the job while only the first machine is there; a copy of its direct launch arrives COPY_DELAY_MS later. */
async function launch(fields: Partial<Submission> = {}): Promise<void> {
  const copy = copyLaunch();
  await cluster.advanceUntilSettled(cluster.post(jobOf({ ...JOB, ...fields })), 500);
  assert.ok(copy.isSent, 'launched by a direct command');
}

/** Gives the machine a spot notice, so that no more tasks are placed there and its service tasks move away. */
const drain = (machineId: string): void => {
  cluster.workers.get(machineId)!.spotNoticeS = 1000;
};

const machinesOf = (taskId: string): string[] => cluster.runs(taskId).map(({ machineId }) => machineId);
const knows = (worker: FakeWorker, taskId = TASK): boolean => worker.tasks.has(taskId);
const untilStartedOn = (machineId: string) => cluster.until(() => machinesOf(TASK).includes(machineId), 5000);
const fail = (worker: FakeWorker): void => worker.end(TASK, 'error');
/** Ends the task without a fault of its own, so that it may start again on the same machine at once. */
const lose = (worker: FakeWorker): void => worker.end(TASK, 'stopped');
const runsOfFirstAttempt = () => cluster.runs(TASK).filter(({ attempt }) => attempt === 1).length;
const leaderOf = (machineId: string): number => {
  const { leadership } = cluster.node(0);
  return Number(leadership.leaderOf(`part-${leadership.partitionOf(machineId)}`)!.slice(1));
};

describe('a copy of an answered launch', () => {
  it('does not start a failed task again while its next attempt runs on another machine', async () => {
    const first = await startCluster();
    await launch();
    drain(FIRST);
    cluster.addWorker({ machineId: SECOND, zone: 'b' });
    fail(first);
    await untilStartedOn(SECOND);
    await cluster.advance(COPY_DELAY_MS);
  });

  it('does not start a drained task again while it runs on another machine', async () => {
    await startCluster();
    await launch();
    cluster.addWorker({ machineId: SECOND, zone: 'b' });
    drain(FIRST);
    await untilStartedOn(SECOND);
    await cluster.advance(COPY_DELAY_MS);
  });

  it('does not start a preempted task again', async () => {
    await startCluster();
    await launch({ kind: 'array', priority: 'low', cpus: 8 });
    await cluster.advanceUntilSettled(cluster.post(jobOf({ ...JOB, id: 'j-svc-2', cpus: 8 })), 500);
    await cluster.until(() => machinesOf('j-svc-2/0').includes(FIRST), 2000);
    cluster.addWorker({ machineId: SECOND, zone: 'b' });
    await untilStartedOn(SECOND);
    // The machine has room for the copy.
    await cluster.advanceUntilSettled(cluster.requestCancellation('j-svc-2'), 500);
    await cluster.advance(COPY_DELAY_MS);
  });

  it('does not start a task again that was cancelled through another controller', async () => {
    await startCluster();
    await launch();
    const cancelledThrough = (leaderOf(FIRST) + 1) % 3;
    await cluster.advanceUntilSettled(cluster.requestCancellation(JOB.id, cancelledThrough), 500);
    await cluster.advance(COPY_DELAY_MS);
    assert.equal(runsOfFirstAttempt(), 1);
  });

  it('does not start a task again that is done', async () => {
    const first = await startCluster();
    await launch({ kind: 'array', priority: 'high', taskCount: 2 });
    first.end(TASK, 'done');
    await cluster.advance(COPY_DELAY_MS);
    assert.equal(runsOfFirstAttempt(), 1);
  });

  it('does not start a task that the machine had refused for lack of room', async () => {
    const first = await startCluster();
    // The machine is full of a task that no controller knows of yet.
    first.tasks.set('j-svc-9/0', { attempt: 1, state: 'running', dueAt: Infinity, commandedAt: 0 });
    void cluster.post(jobOf({ id: 'j-svc-9', cpus: 8 }));
    cluster.network.addFault({ from: FIRST, path: /^\/hello/, kind: 'lose', times: 2 });
    drain(FIRST);
    await launch();
    cluster.addWorker({ machineId: SECOND, zone: 'b' });
    await untilStartedOn(SECOND);
    await cluster.advance(COPY_DELAY_MS);
  });

  it('does not start an attempt again after a newer one has ended on the same machine', async () => {
    const first = await startCluster();
    await launch();
    lose(first);
    await cluster.until(() => first.tasks.get(TASK)?.attempt === 2, COPY_DELAY_MS / 2);
    drain(FIRST);
    fail(first);
    await cluster.advance(COPY_DELAY_MS);
  });

  it('does not start a gang member again that has failed before its gang was complete', async () => {
    const first = await startCluster();
    copyLaunch('j-svc-1/0');
    void cluster.post(jobOf({ ...JOB, kind: 'gang', taskCount: 2, cpus: 4 }));
    await cluster.advance(500);
    fail(first);
    await cluster.advance(2 * COPY_DELAY_MS);
  });

  it('does not start a task again whose partition was lost and acquired again', async () => {
    const first = await startCluster();
    await launch();
    const leader = leaderOf(FIRST);
    const role = `part-${cluster.node(0).leadership.partitionOf(FIRST)}`;
    fail(first);
    drain(FIRST);
    await cluster.advance(500);
    await cluster.advanceUntilSettled(cluster.node(leader).leadership.release(role, 'for the scenario', 0), 500);
    await cluster.advance(COPY_DELAY_MS);
    assert.equal(runsOfFirstAttempt(), 1);
  });

  it('does not start a task again after its controller has restarted within a second', async () => {
    const first = await startCluster();
    await launch();
    const leader = leaderOf(FIRST);
    drain(FIRST);
    fail(first);
    await cluster.advance(1500);
    cluster.crash(leader);
    await cluster.advance(300);
    cluster.start(leader);
    await cluster.advance(COPY_DELAY_MS);
    assert.equal(runsOfFirstAttempt(), 1);
  });

  it('does not start a task again whose worker was forgotten and registered again under the same token', async () => {
    const first = await startCluster();
    await launch();
    cluster.node(leaderOf(FIRST)).workerManager.workers.forget(FIRST);
    await cluster.advance(1000);
    drain(FIRST);
    fail(first);
    await cluster.advance(COPY_DELAY_MS);
    assert.equal(runsOfFirstAttempt(), 1);
  });

  it('does not start a task again in a new agent epoch of its worker', async () => {
    const first = await startCluster();
    copyLaunch(TASK, FIRST, 2 * LEASE_MS);
    await cluster.advanceUntilSettled(cluster.post(jobOf(JOB)), 500);
    drain(FIRST);
    cluster.outboundLoss.add(FIRST);
    await cluster.until(() => first.agentEpoch === 2, 2 * LEASE_MS);
    cluster.outboundLoss.delete(FIRST);
    await cluster.advance(2 * LEASE_MS);
    assert.equal(runsOfFirstAttempt(), 1);
  });

  it('does not start a task again on a machine that hung while the copy arrived', async () => {
    const first = await startCluster();
    await launch();
    drain(FIRST);
    fail(first);
    await cluster.advance(COPY_DELAY_MS - 3000);
    first.suspend();
    await cluster.advance(6000);
    first.resume();
    await cluster.advance(2000);
    assert.equal(runsOfFirstAttempt(), 1);
  });

  it('does not start a task again that was cancelled through another controller while its leader had no store', async () => {
    const first = await startCluster();
    await launch();
    const leader = leaderOf(FIRST);
    fail(first);
    drain(FIRST);
    await cluster.advance(1500);
    cluster.store.refusedNodes.add(`n${leader}`);
    await cluster.advanceUntilSettled(cluster.requestCancellation(JOB.id, (leader + 1) % 3), 500);
    cluster.store.isUnavailable = true;
    await cluster.advance(COPY_DELAY_MS);
    assert.equal(runsOfFirstAttempt(), 1);
    cluster.store.refusedNodes.clear();
    cluster.store.endOutage();
    await cluster.advance(2 * LEASE_MS);
    assert.equal(knows(first), false, 'the exit is forgotten after the outage');
  });
});

describe('a running task', () => {
  it('does not start again when it is cancelled in a store outage and the copy of its launch arrives after its end', async () => {
    const first = await startCluster();
    await launch();
    cluster.store.refusedNodes.add(`n${leaderOf(FIRST)}`);
    await cluster.advanceUntilSettled(cluster.requestCancellation(JOB.id, (leaderOf(FIRST) + 1) % 3), 500);
    cluster.store.isUnavailable = true;
    await cluster.until(() => first.tasks.get(TASK)?.state === 'exited', COPY_DELAY_MS / 2);
    await cluster.advance(COPY_DELAY_MS);
    assert.equal(runsOfFirstAttempt(), 1);
    assert.ok(knows(first), 'nothing is forgotten without the store');
  });
});

describe('an exit', () => {
  it('is kept by its worker for a lease at most, unless the store is out', async () => {
    const first = await startCluster();
    await launch();
    drain(FIRST);
    fail(first);
    await cluster.advance(COPY_DELAY_MS);
    assert.ok(knows(first), 'the token under which it was launched is still valid');
    await cluster.advance(LEASE_MS);
    assert.equal(knows(first), false);
  });

  it('delays a restart of its task on the same machine by no more than an advance of the token', async () => {
    const first = await startCluster();
    await launch();
    lose(first);
    await cluster.advance(1500);
    assert.equal(machinesOf(TASK).length, 2);
  });

  it('of a task that was launched in the response to a heartbeat is forgotten at once', async () => {
    const first = await startCluster();
    cluster.network.addFault({ to: `${FIRST}:9000`, kind: 'refuse' });
    await cluster.submit(JOB);
    assert.equal(runsOfFirstAttempt(), 1);
    await cluster.cancelJob(JOB.id);
    assert.equal(knows(first), false);
  });
});
