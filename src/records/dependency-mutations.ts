/** Mutations of jobs that wait for others. Each is decided under the condition that the job still waits. */
import type { TransactionDraft } from '../store/transaction-draft.js';
import { readJob } from './placement-mutations.js';
import { decodeFinalJobRecord, encodeFinalJobRecord, encodeJobRecord } from './record-codecs.js';
import { finalJobKey, jobKey } from './record-keys.js';

/** Done is final, so what has once been seen needs no condition. */
function isDone(draft: TransactionDraft, jobId: string): boolean {
  const value = draft.peek(finalJobKey(jobId));
  return value !== undefined && decodeFinalJobRecord(value).state === 'done';
}

/** Lets a waiting job start, if all its dependencies are done. `nowMs`: time of day. */
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

/** Ends a waiting job as cancelled, with a job that it depends on; the caller has seen that one's cancellation, which is final. */
export function cancelWaitingJob(draft: TransactionDraft, jobId: string): boolean {
  const job = readJob(draft, jobId);
  if (job?.state !== 'waiting') return false;
  draft.set(finalJobKey(jobId), encodeFinalJobRecord({ state: 'cancelled', taskCount: job.spec.taskCount }));
  draft.delete(jobKey(jobId));
  return true;
}
