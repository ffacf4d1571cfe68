/** Mutations of jobs that wait for their dependencies. Each is conditional on the job still waiting. */
import type { TransactionDraft } from '../store/transaction-draft.js';
import { readJob } from './placement-mutations.js';
import { decodeFinalJobRecord, encodeFinalJobRecord, encodeJobRecord } from './record-codecs.js';
import { finalJobKey, jobKey } from './record-keys.js';

/** A job that is done stays done, so its final record needs no condition. */
function isDone(draft: TransactionDraft, jobId: string): boolean {
  const value = draft.getWithoutCondition(finalJobKey(jobId));
  return value !== undefined && decodeFinalJobRecord(value).state === 'done';
}

/** Releases a waiting job if all its dependencies are done. `nowMs`: wall-clock time. */
export function releaseJob(draft: TransactionDraft, jobId: string, nowMs: number): boolean {
  const job = readJob(draft, jobId);
  if (job?.state !== 'waiting' || job.dependencies?.every((dependency) => isDone(draft, dependency)) !== true)
    return false;
  const { spec, submittedAtMs, tasksPerChunk } = job;
  draft.set(
    jobKey(jobId),
    encodeJobRecord({ spec, state: 'active', submittedAtMs, tasksPerChunk, releasedAtMs: nowMs }),
  );
  return true;
}

/** Ends a waiting job as cancelled because a dependency was cancelled; the caller has seen that cancellation, which is final. */
export function cancelWaitingJob(draft: TransactionDraft, jobId: string): boolean {
  const job = readJob(draft, jobId);
  if (job?.state !== 'waiting') return false;
  draft.set(finalJobKey(jobId), encodeFinalJobRecord({ state: 'cancelled', taskCount: job.spec.taskCount }));
  draft.delete(jobKey(jobId));
  return true;
}
