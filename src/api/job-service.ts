/** Users' requests about jobs, each answered in the wire form: submission, status, cancellation. */
import type { JobSpec } from '../domain/job.js';
import type { HttpAnswer } from '../net/http-answer.js';
import { JobAcceptance, type JobAcceptanceDependencies } from './job-acceptance.js';
import { JobAdmission, type JobAdmissionDependencies } from './job-admission.js';
import { noSuchJob, stateAnswer, statusAnswer, storeUnavailable } from './job-answers.js';
import { JobCancellation, type JobCancellationDependencies } from './job-cancellation.js';
import { encodeJobState, type ParsedSubmission, parseSubmission } from './job-wire-codec.js';

/** What the parts of the service need together. */
export type JobServiceDependencies = JobAdmissionDependencies & JobAcceptanceDependencies & JobCancellationDependencies;

/** A job that was once accepted is known for ever: whatever else is wrong with a repeated submission, it gets the status. */
export class JobService {
  private readonly admission: JobAdmission;
  private readonly acceptance: JobAcceptance;
  private readonly cancellation: JobCancellation;

  constructor(private readonly dependencies: JobServiceDependencies) {
    this.admission = new JobAdmission(dependencies);
    this.acceptance = new JobAcceptance(dependencies);
    this.cancellation = new JobCancellation(dependencies);
  }

  /** 201 for a new job, 200 for one that is known, else why not; idempotent. */
  async submit(body: unknown): Promise<HttpAnswer> {
    const parsed = parseSubmission(body);
    if (!parsed.ok) return this.answerMalformed(parsed);
    const { spec, dependencies } = parsed;
    const known = this.dependencies.lookup.finalStatus(spec.id);
    if (known !== undefined) return statusAnswer(known);
    const rejection = await this.admission.check(spec, dependencies);
    if (rejection?.kind === 'node_unavailable') return rejection.answer;
    if (rejection?.kind === 'rejected') return this.statusOr(spec.id, rejection.answer);
    return this.accept(spec, dependencies);
  }

  private async accept(spec: JobSpec, dependencies: readonly string[]): Promise<HttpAnswer> {
    const outcome = await this.acceptance.accept(spec, dependencies);
    switch (outcome.kind) {
      case 'accepted': {
        const state = outcome.state === 'cancelled' ? 'cancelled' : 'queued';
        return { status: 201, body: encodeJobState({ jobId: spec.id, state }) };
      }
      case 'known':
        return this.statusOr(spec.id, storeUnavailable());
      case 'unavailable':
        return storeUnavailable();
    }
  }

  /** The status of a job. */
  async poll(jobId: string): Promise<HttpAnswer> {
    return this.statusOr(jobId, noSuchJob());
  }

  /** 200 with the state that the job has ended in, or will; idempotent. */
  async cancel(jobId: string): Promise<HttpAnswer> {
    const outcome = await this.cancellation.cancel(jobId);
    switch (outcome.kind) {
      case 'ended':
        return stateAnswer(outcome.job);
      case 'not_found':
        return noSuchJob();
      case 'unavailable':
        return storeUnavailable();
    }
  }

  private answerMalformed({
    error,
    jobId,
  }: Extract<ParsedSubmission, { ok: false }>): Promise<HttpAnswer> | HttpAnswer {
    const malformed: HttpAnswer = { status: 400, body: { error } };
    return jobId === undefined ? malformed : this.statusOr(jobId, malformed);
  }

  /** The status of a job that is known, else the other answer. */
  private async statusOr(jobId: string, otherwise: HttpAnswer): Promise<HttpAnswer> {
    const result = await this.dependencies.lookup.find(jobId);
    switch (result.kind) {
      case 'found':
        return statusAnswer(result.status);
      case 'not_found':
        return otherwise;
      case 'unavailable':
        return storeUnavailable();
    }
  }
}
