/**
 * A copy of a request to `/commands` that its worker has executed and answered may arrive once more, much later, while
 * fencing token and agent epoch still match.
 */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import type { ClusterOptions } from '../../testing/fixtures.js';
import type { Submission } from '../../testing/submission-wire-codec.js';
import type { WorkerOptions } from '../../testing/worker-environment.js';

let cluster: Cluster;
/** Every scenario ends with the result of the invariant checker. */
afterEach(() => assert.deepEqual(cluster.stopAndCheck(), []));

const READY_MS = 6000;
const COPY_DELAY_MS = 8000;
const CLOUD_OUTAGE = { to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } } as const;

/** Starts a cluster of these machines, which stays as it is. */
async function startCluster(machines: WorkerOptions[], options: ClusterOptions = { nodes: 3 }): Promise<void> {
  cluster = new Cluster(options);
  for (const machine of machines) cluster.addWorker(machine);
  await cluster.advance(READY_MS);
  cluster.network.addFault(CLOUD_OUTAGE);
}

const TASK = 'j-svc-1/0';
/** The fake worker runs jobs with such names until they are killed. */
const JOB = { id: 'j-svc-1', kind: 'service', priority: 'prod', estimatedRunS: 0 } as const;

/**
 * Submits the job while only this machine is there, and waits until the task has been launched there by `/commands`. A
 * copy of the request arrives after the delay.
 */
async function launchOn(
  machineId: string,
  fields: Partial<Submission> = {},
  copyDelayMs = COPY_DELAY_MS,
): Promise<void> {
  let isLaunched = false;
  cluster.network.addFault({
    to: `${machineId}:9000`,
    matchesBody: (body) => (isLaunched ||= JSON.stringify(body).includes(`"launch","Shard":"${TASK}"`)),
    kind: 'copy',
    times: 1,
    lateMs: [copyDelayMs, copyDelayMs],
  });
  await cluster.submit({ ...JOB, ...fields });
  assert.ok(isLaunched, 'launched by a direct command');
}

/** Gives the machine a spot notice, so that no more tasks are placed there. */
const closeToNewWork = (machineId: string): void => {
  cluster.workers.get(machineId)!.spotNoticeS = 1000;
};

const machinesOf = (taskId: string): string[] => cluster.runs(taskId).map(({ machineId }) => machineId);

describe('a copy of an answered launch', () => {
  it('does not start a failed task again while its next attempt runs on another machine', async () => {
    await startCluster([{ machineId: 'i-000000', failsTask: () => true }]);
    await launchOn('i-000000');
    closeToNewWork('i-000000');
    cluster.addWorker({ machineId: 'i-000001', zone: 'b' });
    await cluster.until(() => machinesOf(TASK).includes('i-000001'), COPY_DELAY_MS);
    cluster.workers.get('i-000000')!.options.failsTask = () => false;
    await cluster.advance(COPY_DELAY_MS);
  });
});
