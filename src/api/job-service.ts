/** Handles users' requests about jobs (submission, status, cancellation) and encodes the responses. */
import type { JobSpec } from '../domain/job.js';
import type { RefusalLog } from '../logging/refusal-log.js';
import type { JsonResponse } from '../net/json-response.js';
import { JobAcceptance, type JobAcceptanceDependencies } from './job-acceptance.js';
import { JobAdmission, type JobAdmissionDependencies } from './job-admission.js';
import { JobCancellation, type JobCancellationDependencies } from './job-cancellation.js';
import { noSuchJob, stateResponse, statusResponse, storeUnavailable } from './job-responses.js';
import { encodeJobState, type ParsedSubmission, parseSubmission } from './job-wire-codec.js';

/** The combined dependencies of the service's parts. */
export type JobServiceDependencies = JobAdmissionDependencies &
  JobAcceptanceDependencies &
  JobCancellationDependencies & { refusals: RefusalLog };

/** An accepted job is known for ever: a repeated submission gets its status, whatever else is wrong with the submission. */
export class JobService {
  private readonly admission: JobAdmission;
  private readonly acceptance: JobAcceptance;
  private readonly cancellation: JobCancellation;

  constructor(private readonly dependencies: JobServiceDependencies) {
    this.admission = new JobAdmission(dependencies);
    this.acceptance = new JobAcceptance(dependencies);
    this.cancellation = new JobCancellation(dependencies);
  }

  /** 201 for a new job, 200 for a known one, otherwise the reason for the rejection. Idempotent. */
  async submit(body: unknown): Promise<JsonResponse> {
    const parsed = parseSubmission(body);
    if (parsed.kind === 'malformed') return this.rejectMalformed(parsed);
    const { spec, dependencies } = parsed;
    if (this.dependencies.lookup.isKnown(spec.id)) return this.statusOrElse(spec.id, storeUnavailable());
    const rejection = await this.admission.check(spec, dependencies);
    if (rejection?.kind === 'node_unavailable') return rejection.response;
    if (rejection?.kind === 'rejected') return this.statusOrElse(spec.id, rejection.response);
    return this.accept(spec, dependencies);
  }

  private async accept(spec: JobSpec, dependencies: readonly string[]): Promise<JsonResponse> {
    const outcome = await this.acceptance.accept(spec, dependencies);
    switch (outcome.kind) {
      case 'accepted': {
        // While the store's answer was on its way, another node may have reported the job as cancelled with a dependency.
        const state = this.dependencies.lookup.settledStatus(spec.id)?.state ?? 'queued';
        return { status: 201, body: encodeJobState({ jobId: spec.id, state }) };
      }
      case 'known':
        return this.statusOrElse(spec.id, storeUnavailable());
      case 'unavailable':
        return this.refuse('submission', spec.id);
    }
  }

  private refuse(kind: 'submission' | 'cancellation', jobId: string): JsonResponse {
    const reason = 'not_recorded_in_time';
    this.dependencies.refusals.record({ kind, reason, fields: { jobId } });
    return storeUnavailable();
  }

  /** The status of a job. */
  async poll(jobId: string): Promise<JsonResponse> {
    return this.statusOrElse(jobId, noSuchJob());
  }

  /** 200 with the state in which the job has ended or will end. Idempotent. */
  async cancel(jobId: string): Promise<JsonResponse> {
    const outcome = await this.cancellation.cancel(jobId);
    switch (outcome.kind) {
      case 'ended':
        return stateResponse(outcome.job);
      case 'not_found':
        return noSuchJob();
      case 'unavailable':
        return this.refuse('cancellation', jobId);
    }
  }

  private rejectMalformed({
    error,
    jobId,
  }: Extract<ParsedSubmission, { kind: 'malformed' }>): Promise<JsonResponse> | JsonResponse {
    const malformed: JsonResponse = { status: 400, body: { error } };
    return jobId === undefined ? malformed : this.statusOrElse(jobId, malformed);
  }

  /** The status of the job if it is known, otherwise `fallback`. */
  private async statusOrElse(jobId: string, fallback: JsonResponse): Promise<JsonResponse> {
    const result = await this.dependencies.lookup.find(jobId);
    switch (result.kind) {
      case 'found':
        return statusResponse(result.status);
      case 'not_found':
        return fallback;
      case 'unavailable':
        return storeUnavailable();
    }
  }
}
