/** The rules about what users are told: no job is forgotten or invented, and no end of a job is taken back. */
import { decodeJobState, type JobState } from './job-status-wire-codec.js';
import type { ObservedCluster, ObservedJob } from './observed-cluster.js';
import type { PipelineChecker } from './pipeline-checker.js';
import type { PlacementRules } from './placement-rules.js';

/** ms without an answer to any question about a job after which it counts as forgotten, once all faults are over. */
const FORGOTTEN_MS = 75_000;

/** The rules that answers can break. */
export type AnswerRule = 'forgotten' | 'invented' | 'not_done' | 'went_back' | 'wrongly_accepted' | 'orphaned';

/** An answer to a user, or that there was none. */
export interface UserAnswer {
  kind: 'submit' | 'poll' | 'cancel';
  jobId: string;
  askedAt: number;
  at: number;
  /** 0: none in time, or no connection. */
  status: number;
  body: unknown;
}

/** What answers are checked against. */
export interface AnswerCheckerDependencies {
  observed: ObservedCluster;
  rules: PlacementRules;
  pipelines: PipelineChecker;
  /** When the last fault ended; Infinity before. */
  faultsEndedAt(): number;
  addViolation(rule: AnswerRule, at: number, what: string): void;
}

/** The end of which its user has been told. */
function finalStateOf(job: ObservedJob): JobState | undefined {
  if (job.cancelledAt !== undefined) return 'cancelled';
  return job.doneAt !== undefined ? 'done' : undefined;
}

/** Checks each answer as it comes. */
export class AnswerChecker {
  constructor(private readonly dependencies: AnswerCheckerDependencies) {}

  answered(answer: UserAnswer): void {
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
    if (state === 'cancelled') this.noteCancelled(job, answer);
    else this.noteDone(job, answer);
  }

  private addViolation(rule: AnswerRule, at: number, what: string): void {
    this.dependencies.addViolation(rule, at, what);
  }

  private checkForgotten(job: ObservedJob | undefined, answer: UserAnswer): void {
    if (job?.acceptedAt === undefined) return;
    const { kind, jobId, askedAt, at, status } = answer;
    const wasAccepted = job.acceptedAt < askedAt;
    if (status === 404 && wasAccepted) this.addViolation('forgotten', at, `${kind} of ${jobId}: 404`);
    if (kind === 'submit' && (status === 400 || status === 422) && wasAccepted) {
      this.addViolation('forgotten', at, `${jobId} submitted again: ${status}`);
    }
    if (kind === 'poll') this.checkSilence(job, answer);
  }

  private checkSilence(job: ObservedJob, { jobId, askedAt, at, status }: UserAnswer): void {
    if (status === 200 || status === 404) {
      job.unansweredSince = undefined;
      return;
    }
    job.unansweredSince ??= askedAt;
    if (at - Math.max(job.unansweredSince, this.dependencies.faultsEndedAt()) < FORGOTTEN_MS) return;
    this.addViolation('forgotten', at, `no question about ${jobId} was answered`);
  }

  private checkAcceptance(job: ObservedJob, { jobId, at }: UserAnswer): void {
    const why = this.dependencies.rules.whyNever(job.spec) ?? this.whyNeverReleased(job);
    if (why !== undefined) this.addViolation('wrongly_accepted', at, `${jobId}: ${why}`);
  }

  private whyNeverReleased(job: ObservedJob): string | undefined {
    const unknown = this.dependencies.pipelines.unknownPredecessor(job);
    return unknown === undefined ? undefined : `needs ${unknown}, which nobody has submitted`;
  }

  private checkUnfinished(job: ObservedJob, answer: UserAnswer, state: JobState | undefined): void {
    const { kind, jobId, askedAt, at } = answer;
    const endedAt = job.cancelledAt ?? job.doneAt;
    if (endedAt !== undefined && endedAt < askedAt) {
      this.addViolation('went_back', at, `${kind} of ${jobId}: ${state}, was ${finalStateOf(job)}`);
    }
    const orphanedForMs = this.dependencies.pipelines.orphanedForMs(job, at);
    if (orphanedForMs === undefined) return;
    const what = `${kind} of ${jobId}: ${state}, a job before it is cancelled for ${orphanedForMs} ms`;
    this.addViolation('orphaned', at, what);
  }

  private checkFinal(job: ObservedJob, { kind, jobId, at }: UserAnswer, state: JobState): void {
    const final = finalStateOf(job);
    // Only one of the two is ever true, so it doesn't matter here who asked first.
    if (final !== undefined && final !== state)
      this.addViolation('went_back', at, `${kind} of ${jobId}: ${state}, was ${final}`);
  }

  private noteCancelled(job: ObservedJob, { jobId, at }: UserAnswer): void {
    if (job.cancelAskedAt === undefined && !this.dependencies.pipelines.mayBeCancelled(job))
      this.addViolation('went_back', at, `${jobId} cancelled, though not by its user`);
    job.cancelledAt ??= at;
  }

  private noteDone(job: ObservedJob, { jobId, at }: UserAnswer): void {
    const { spec } = job;
    const isDone = spec !== undefined && spec.kind !== 'service' && job.done.size === spec.taskCount;
    if (!isDone) this.addViolation('not_done', at, `${jobId}: ${job.done.size} of ${spec?.taskCount} tasks are done`);
    job.doneAt ??= at;
  }
}
