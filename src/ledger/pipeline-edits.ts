/** The edits that move jobs on which wait for others. Each is one write under the condition that the job still waits. */
import type { Draft } from '../state/draft.js';
import { readJob } from './edits.js';
import { decodeEnded, endedKey, jobKey, type EndedRecord, type JobRecord } from './records.js';

/** Done is final, so what has once been seen needs no condition. */
function isDone(draft: Draft, ref: string): boolean {
  const value = draft.peek(endedKey(ref));
  return value !== undefined && decodeEnded(value).phase === 'done';
}

/** Lets a waiting job start, if all its predecessors are done. `now`: time of day, ms. */
export function releaseJob(draft: Draft, ref: string, now: number): boolean {
  const job = readJob(draft, ref);
  if (job?.phase !== 'waiting' || job.awaits?.every((each) => isDone(draft, each)) !== true) return false;
  const { spec, at, chunk } = job;
  draft.set(jobKey(ref), { spec, phase: 'active', at, chunk, releasedAt: now } satisfies JobRecord);
  return true;
}

/** Ends a waiting job as cancelled, with a job before it; the caller has seen that one's cancellation, which is final. */
export function cancelWaitingJob(draft: Draft, ref: string): boolean {
  const job = readJob(draft, ref);
  if (job?.phase !== 'waiting') return false;
  draft.set(endedKey(ref), { phase: 'withdrawn', shards: job.spec.Shards } satisfies EndedRecord);
  draft.drop(jobKey(ref));
  return true;
}
