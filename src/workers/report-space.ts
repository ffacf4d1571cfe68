/**
 * Limits launches to the space that is left in a worker's report. The report names every attempt from its launch until the worker
 * forgets its exit, so it may have no space for a task although the machine has resources for it.
 */
import { MAX_REPORTED_TASKS_BYTES } from '../constants/worker-report.js';
import type { Count } from '../domain/count.js';
import { reportedTaskBytes } from '../domain/worker-report.js';
import type { TaskAttempt } from './attempt-key.js';

/** The newest status of a worker, and the launches that may still arrive there. */
export interface ReportingWorker {
  /** Highest fencing token that the worker has reported. */
  readonly fencingToken: Count;
  /** By task id. */
  readonly tasks: ReadonlyMap<string, unknown>;
  readonly launches: {
    /** Whether a worker that has seen this token executes no launch of the attempt that was sent so far. */
    isRuledOut(launch: TaskAttempt, fencingToken: Count): boolean;
  };
}

const NO_TASKS: ReadonlySet<string> = new Set();

/**
 * Returns the ids of the tasks for which the report has no space at present. Launches that the worker may have executed since its
 * newest status, or may still execute, take their space before those that were not sent.
 *
 * @param missing placed attempts that the newest status does not name
 * @param fencingToken the leader's token; launches of former leaders may still arrive until the worker has reported it
 */
export function tasksWithoutReportSpace(
  worker: ReportingWorker,
  missing: readonly TaskAttempt[],
  fencingToken: Count,
): ReadonlySet<string> {
  let freeBytes = MAX_REPORTED_TASKS_BYTES - totalBytes(worker.tasks.keys());
  if (totalBytes(missing.map(({ taskId }) => taskId)) <= freeBytes) return NO_TASKS;
  const hasSeenToken = worker.fencingToken >= fencingToken;
  const mayArrive = (launch: TaskAttempt): boolean =>
    !hasSeenToken || !worker.launches.isRuledOut(launch, worker.fencingToken);
  const unsent = missing.filter((launch) => !mayArrive(launch));
  const withoutSpace = new Set<string>();
  for (const { taskId } of [...missing.filter(mayArrive), ...unsent]) {
    const taskBytes = reportedTaskBytes(taskId);
    if (taskBytes > freeBytes) withoutSpace.add(taskId);
    else freeBytes -= taskBytes;
  }
  return withoutSpace;
}

function totalBytes(taskIds: Iterable<string>): number {
  let bytes = 0;
  for (const taskId of taskIds) bytes += reportedTaskBytes(taskId);
  return bytes;
}
