/** Records the cancellation of a job. */
import { SUBMIT_DEADLINE_MS } from '../constants/api.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import { cancelStoredJob, decodeJobRecord } from '../records/record-codecs.js';
import { jobKey } from '../records/record-keys.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import type { JobLookup } from './job-lookup.js';
import type { JobStatus } from './job-wire-codec.js';

/** What cancellation needs from the other parts. */
export interface JobCancellationDependencies {
  lookup: JobLookup;
  clock: Clock;
  transactions: TransactionBatcher;
  log: Log;
}

/** The result of an attempt to cancel a job. */
export type CancellationOutcome =
  /** The job's state is final or will become final: done, or cancelled by this or an earlier request. */
  | { kind: 'ended'; job: Pick<JobStatus, 'jobId' | 'state'> }
  | { kind: 'not_found' }
  /** The cancellation was not recorded in time, or it is unknown whether it was. */
  | { kind: 'unavailable' };

/** Cancels jobs. Idempotent, since a job that has ended is not changed. */
export class JobCancellation {
  constructor(private readonly dependencies: JobCancellationDependencies) {}

  /** Gives up after the deadline for submissions. */
  async cancel(jobId: string): Promise<CancellationOutcome> {
    const { lookup, clock, transactions, log } = this.dependencies;
    const settled = lookup.settledStatus(jobId);
    if (settled !== undefined) return { kind: 'ended', job: settled };
    if (lookup.isStoreUnavailable) return { kind: 'unavailable' };
    const deadlineMs = clock.now() + SUBMIT_DEADLINE_MS;
    const decide = (draft: TransactionDraft) => writeCancellation(draft, jobId);
    while (clock.now() < deadlineMs) {
      const outcome = await transactions.commit('cancel', Priority.cancel, decide, {
        timeoutMs: deadlineMs - clock.now(),
      });
      if (outcome.kind === 'done') {
        log.info({ jobId, revision: outcome.revision }, 'job cancelled');
        return { kind: 'ended', job: { jobId, state: 'cancelled' } };
      }
      if (outcome.kind !== 'void') break;
      // This node's replica holds no such active job, but it may lag behind the store.
      const result = await lookup.find(jobId);
      if (result.kind !== 'found') return result;
      if (isEnded(result.status)) return { kind: 'ended', job: result.status };
    }
    return { kind: 'unavailable' };
  }
}

const isEnded = ({ state }: JobStatus): boolean => state === 'cancelled' || state === 'done';

/** Returns false if there is no live record of the job, or if the job is already cancelled. */
function writeCancellation(draft: TransactionDraft, jobId: string): boolean {
  const value = draft.get(jobKey(jobId));
  if (value === undefined || decodeJobRecord(value).state === 'cancelled') return false;
  draft.set(jobKey(jobId), cancelStoredJob(value));
  return true;
}
