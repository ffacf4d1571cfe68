/** The answers to users that several requests about jobs share. */
import { RETRY_AFTER_S } from '../constants/api.js';
import type { HttpAnswer } from '../net/http-answer.js';
import { encodeJobState, encodeJobStatus, type JobStatus } from './job-wire-codec.js';

/** A request that may succeed later. */
export const retryLater = (error: string): HttpAnswer => ({ status: 503, body: { error }, retryAfter: RETRY_AFTER_S });

/** A submission that can never succeed. */
export const rejectForever = (error: string): HttpAnswer => ({ status: 422, body: { error } });

/** The store does not respond, so that nothing certain can be told or recorded. */
export const storeUnavailable = (): HttpAnswer => retryLater('the state service does not answer');

/** There never was such a job. */
export const noSuchJob = (): HttpAnswer => ({ status: 404, body: { error: 'no such job' } });

/** A known job with its status. */
export const statusAnswer = (status: JobStatus): HttpAnswer => ({ status: 200, body: encodeJobStatus(status) });

/** A known job with its state alone: the answer to a cancellation. */
export const stateAnswer = (job: Pick<JobStatus, 'jobId' | 'state'>): HttpAnswer => ({
  status: 200,
  body: encodeJobState(job),
});
