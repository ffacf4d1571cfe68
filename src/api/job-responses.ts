/** Responses that several kinds of users' requests about jobs share. */
import { RETRY_AFTER_S } from '../constants/api.js';
import type { JsonResponse } from '../net/json-response.js';
import { encodeJobState, encodeJobStatus, type JobStatus } from './job-wire-codec.js';

/** The response to a request that may succeed later. */
export const retryLater = (error: string): JsonResponse => ({
  status: 503,
  body: { error },
  retryAfter: RETRY_AFTER_S,
});

/** The response to a submission that can never succeed. */
export const rejectPermanently = (error: string): JsonResponse => ({ status: 422, body: { error } });

/** The response while the store is unavailable, so that nothing can be confirmed or recorded. */
export const storeUnavailable = (): JsonResponse => retryLater('the state service does not answer');

/** The response if no job with this id was ever accepted. */
export const noSuchJob = (): JsonResponse => ({ status: 404, body: { error: 'no such job' } });

/** The status of a known job. */
export const statusResponse = (status: JobStatus): JsonResponse => ({ status: 200, body: encodeJobStatus(status) });

/** Only the state of a known job: the response to a cancellation. */
export const stateResponse = (job: Pick<JobStatus, 'jobId' | 'state'>): JsonResponse => ({
  status: 200,
  body: encodeJobState(job),
});
