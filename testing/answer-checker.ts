/** Rules on answers to users: no job is forgotten or invented, and a final state is never revoked. */
import { decodeJobState, type JobState } from './job-status-wire-codec.js';
import type { ConnectionFailure } from './keep-alive-connection.js';
import type { ObservedCluster, ObservedJob } from './observed-cluster.js';
import type { PipelineChecker } from './pipeline-checker.js';
import type { PlacementRules } from './placement-rules.js';

/** Time without an answer to any poll after which a job counts as forgotten, after all faults have ended. */
const MAX_UNANSWERED_MS = 75_000;

/** The rules that answers can violate. */
export type AnswerRule = 'forgotten' | 'invented' | 'not_done' | 'went_back' | 'wrongly_accepted' | 'orphaned';

/** Why a user's request got no answer; `no_node`: the load balancer had no healthy node. */
export type RequestFailure = ConnectionFailure | 'no_node';

/** An answer to a user's request, or the absence of one. */
export interface UserAnswer {
  kind: 'submit' | 'poll' | 'cancel';
  jobId: string;
  requestedAt: number;
  at: number;
  /** HTTP status; 0: no answer in time, or no connection. */
  status: number;
  body: unknown;
  /** Why there was no answer, if it is known. */
  failure?: RequestFailure | undefined;
}

/** The state and rules that answers are checked against. */
export interface AnswerCheckerDependencies {
  observed: ObservedCluster;
  rules: PlacementRules;
  pipelines: PipelineChecker;
  /** When the last fault ended; Infinity until then. */
  faultsEndedAt(): number;
  addViolation(rule: AnswerRule, at: number, details: string): void;
}

/** The final state that the job's user has been told, if any. */
function finalStateOf(job: ObservedJob): JobState | undefined {
  if (job.cancelledAt !== undefined) return 'cancelled';
  return job.doneAt !== undefined ? 'done' : undefined;
}

/** Checks each answer and records what it tells about the job. */
export class AnswerChecker {
  constructor(private readonly dependencies: AnswerCheckerDependencies) {}

  check(answer: UserAnswer): void {
    const { kind, jobId, at, status } = answer;
    const job = this.dependencies.observed.jobs.get(jobId);
    const state = decodeJobState(answer.body);
    this.checkForgotten(job, answer);
    if (status !== 200 && status !== 201) return;
    if (job === undefined) return this.addViolation('invented', at, `${kind} of ${jobId}: ${state}`);
    if (job.acceptedAt === undefined) this.checkAcceptance(job, answer);
    job.acceptedAt ??= at;
    if (state !== 'done' && state !== 'cancelled') return this.checkUnfinished(job, answer, state);
    this.checkFinal(job, answer, state);
    if (state === 'cancelled') this.recordCancelled(job, answer);
    else this.recordDone(job, answer);
  }

  private addViolation(rule: AnswerRule, at: number, details: string): void {
    this.dependencies.addViolation(rule, at, details);
  }

  private checkForgotten(job: ObservedJob | undefined, answer: UserAnswer): void {
    if (job?.acceptedAt === undefined) return;
    const { kind, jobId, requestedAt, at, status } = answer;
    const wasAccepted = job.acceptedAt < requestedAt;
    if (status === 404 && wasAccepted) this.addViolation('forgotten', at, `${kind} of ${jobId}: 404`);
    if (kind === 'submit' && (status === 400 || status === 422) && wasAccepted) {
      this.addViolation('forgotten', at, `${jobId} submitted again: ${status}`);
    }
    if (kind === 'poll') this.checkUnanswered(job, answer);
  }

  private checkUnanswered(job: ObservedJob, { jobId, requestedAt, at, status }: UserAnswer): void {
    if (status === 200 || status === 404) {
      job.unansweredSince = undefined;
      return;
    }
    job.unansweredSince ??= requestedAt;
    if (at - Math.max(job.unansweredSince, this.dependencies.faultsEndedAt()) < MAX_UNANSWERED_MS) return;
    this.addViolation('forgotten', at, `no poll of ${jobId} was answered`);
  }

  private checkAcceptance(job: ObservedJob, { jobId, at }: UserAnswer): void {
    const reason = this.dependencies.rules.rejectionReason(job.spec) ?? this.unknownDependencyReason(job);
    if (reason !== undefined) this.addViolation('wrongly_accepted', at, `${jobId}: ${reason}`);
  }

  private unknownDependencyReason(job: ObservedJob): string | undefined {
    const unknown = this.dependencies.pipelines.unknownDependency(job);
    return unknown === undefined ? undefined : `depends on ${unknown}, which was never submitted`;
  }

  private checkUnfinished(job: ObservedJob, answer: UserAnswer, state: JobState | undefined): void {
    const { kind, jobId, requestedAt, at } = answer;
    const endedAt = job.cancelledAt ?? job.doneAt;
    if (endedAt !== undefined && endedAt < requestedAt) {
      this.addViolation('went_back', at, `${kind} of ${jobId}: ${state}, was ${finalStateOf(job)}`);
    }
    const orphanedForMs = this.dependencies.pipelines.orphanedForMs(job, at);
    if (orphanedForMs === undefined) return;
    const details = `${kind} of ${jobId}: ${state}, a dependency has been cancelled for ${orphanedForMs} ms`;
    this.addViolation('orphaned', at, details);
  }

  private checkFinal(job: ObservedJob, { kind, jobId, at }: UserAnswer, state: JobState): void {
    const final = finalStateOf(job);
    // A job ends in exactly one final state, so the order of the requests does not matter here.
    if (final !== undefined && final !== state)
      this.addViolation('went_back', at, `${kind} of ${jobId}: ${state}, was ${final}`);
  }

  private recordCancelled(job: ObservedJob, { jobId, at }: UserAnswer): void {
    if (job.cancelRequestedAt === undefined && !this.dependencies.pipelines.mayBeCancelled(job))
      this.addViolation('went_back', at, `${jobId} cancelled, though its user did not request it`);
    job.cancelledAt ??= at;
  }

  private recordDone(job: ObservedJob, { jobId, at }: UserAnswer): void {
    const { spec } = job;
    const isDone = spec !== undefined && spec.kind !== 'service' && job.done.size === spec.taskCount;
    if (!isDone) this.addViolation('not_done', at, `${jobId}: ${job.done.size} of ${spec?.taskCount} tasks are done`);
    job.doneAt ??= at;
  }
}
