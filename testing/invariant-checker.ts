/**
 * Checks a scenario by the protocol's rules alone: by what ran on the machines and by what users were told. It knows nothing
 * of the product's records.
 */
import type { MachineType } from '../src/domain/machine-type.js';
import { AnswerChecker, type AnswerRule, type UserAnswer } from './answer-checker.js';
import { ObservedCluster, type ObservedJob, type ObservedRun } from './observed-cluster.js';
import { PipelineChecker } from './pipeline-checker.js';
import { PlacementHistory } from './placement-history.js';
import { PlacementRules, type TeamLimits } from './placement-rules.js';
import { decodeSubmission, decodeSubmittedId } from './submission-wire-codec.js';
import { invalidField } from './submission-wire-schema.js';
import { jobIdOf, taskIndexOf } from './task-id.js';

/** The rules that a scenario can break. */
export type Rule =
  | AnswerRule
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'started_cancelled'
  | 'left_waiting'
  | 'too_early'
  | 'placed_twice'
  | 'older_token';

/** ms for which a job may wait while there is room for it, once all faults are over. */
const WAITING_MS = 90_000;

/** What the rules depend on. */
export interface InvariantCheckerOptions {
  teams: readonly TeamLimits[];
  machineTypes: readonly MachineType[];
  /** s within which a cancelled job must have left all machines. */
  cancelS: number;
}

/** Is told all that happens in a scenario, and collects the violations. */
export class InvariantChecker {
  /** Every rule that was broken, in the order of finding. */
  readonly violations: { rule: Rule; at: number; what: string }[] = [];
  /**
   * Starts after a confirmed cancellation whose command was on its way by then: allowed, as long as they end in time.
   */
  readonly lateStarts: string[] = [];
  private readonly seen = new Set<string>();
  private readonly observed = new ObservedCluster();
  private faultsEndedAt = Infinity;
  private readonly rules: PlacementRules;
  private readonly pipelines: PipelineChecker;
  private readonly answers: AnswerChecker;
  /** Which launches workers executed, over takeovers. */
  readonly placements = new PlacementHistory(
    (taskId) => this.observed.jobs.get(jobIdOf(taskId))?.spec?.kind === 'gang',
    (rule, at, what) => this.addViolation(rule, at, what),
  );

  constructor(private readonly options: InvariantCheckerOptions) {
    const { observed } = this;
    this.rules = new PlacementRules(observed, options.teams, options.machineTypes);
    this.pipelines = new PipelineChecker((jobId) => observed.jobs.get(jobId), options.cancelS * 1000);
    this.answers = new AnswerChecker({
      observed,
      rules: this.rules,
      pipelines: this.pipelines,
      faultsEndedAt: () => this.faultsEndedAt,
      addViolation: (rule, at, what) => this.addViolation(rule, at, what),
    });
  }

  /** What was broken, in words; empty if all is well. */
  verdict(at: number): string[] {
    this.checkNow(at);
    return this.violations.map((each) => `${each.rule} at ${each.at}: ${each.what}`);
  }

  private addViolation(rule: Rule, at: number, what: string): void {
    const key = `${rule} ${what}`;
    if (this.seen.has(key)) return;
    this.seen.add(key);
    this.violations.push({ rule, at, what });
  }

  // What happens on machines.

  machineUp(machineId: string, machine: { machineType: string; zone: string; isSpot: boolean }): void {
    this.observed.machines.set(machineId, { ...machine, isUsable: true, isFaulty: false });
  }

  /** Whether commands and answers reach it now. */
  machineUsable(machineId: string, isUsable: boolean): void {
    const machine = this.observed.machines.get(machineId);
    if (machine !== undefined) machine.isUsable = isUsable;
  }

  /** The machine is gone, with all that was on it. */
  machineGone(at: number, machineId: string): void {
    for (const run of [...this.observed.runs])
      if (run.machineId === machineId) this.taskEnded(at, machineId, run.taskId, 'gone');
    this.observed.machines.delete(machineId);
  }

  /** A task is on a machine: it has its image. `commandedAt`: when the command that led to it was sent. */
  taskStarted(at: number, machineId: string, taskId: string, commandedAt = at): void {
    const jobId = jobIdOf(taskId);
    const run: ObservedRun = { machineId, taskId, jobId };
    const job = this.observed.job(jobId);
    this.checkSingleRun(at, run);
    this.checkNotCancelled(at, run, job, commandedAt);
    const open = this.pipelines.openPredecessor(job);
    if (open !== undefined) this.addViolation('too_early', at, `${taskId} on ${machineId}, before ${open} is done`);
    this.checkPlace(at, run, job);
    this.observed.runs.add(run);
    job.waitingSince = undefined;
    if (job.spec === undefined) return;
    const why = this.rules.whyOverLimit(job.spec, 0);
    if (why !== undefined) this.addViolation('quota', at, `${taskId}: ${why}`);
  }

  private checkSingleRun(at: number, { machineId, taskId }: ObservedRun): void {
    for (const other of this.observed.runs) {
      if (other.taskId === taskId)
        this.addViolation('ran_twice', at, `${taskId} starts on ${machineId} while on ${other.machineId}`);
    }
  }

  private checkNotCancelled(at: number, run: ObservedRun, { cancelledAt }: ObservedJob, commandedAt: number): void {
    if (cancelledAt === undefined || at <= cancelledAt) return;
    const what = `${run.taskId} on ${run.machineId}, ${at - cancelledAt} ms after its cancellation`;
    if (commandedAt > cancelledAt) this.addViolation('started_cancelled', at, what);
    else this.lateStarts.push(what);
  }

  private checkPlace(at: number, { machineId, taskId }: ObservedRun, { spec }: ObservedJob): void {
    const machine = this.observed.machines.get(machineId);
    if (spec === undefined || machine === undefined) return;
    const why = this.rules.whyWrongPlace(spec, machine);
    if (why !== undefined) this.addViolation('wrong_place', at, `${taskId} on ${machineId}: ${why}`);
  }

  taskEnded(at: number, machineId: string, taskId: string, exitReason: string): void {
    const job = this.observed.job(jobIdOf(taskId));
    for (const run of this.observed.runs) {
      if (run.machineId !== machineId || run.taskId !== taskId) continue;
      this.checkGone(at, run);
      this.observed.runs.delete(run);
    }
    const machine = this.observed.machines.get(machineId);
    if (machine !== undefined && exitReason === 'error') machine.isFaulty = true;
    if (exitReason !== 'done') return;
    job.done.add(taskIndexOf(taskId));
    // A gang completes together.
    if (job.spec?.kind === 'gang') for (let index = 0; index < job.spec.taskCount; index++) job.done.add(index);
  }

  /** Is a task of a cancelled job still on its machine when it should be gone? */
  private checkGone(at: number, run: ObservedRun): void {
    const { cancelledAt } = this.observed.job(run.jobId);
    if (cancelledAt === undefined || at - cancelledAt <= this.options.cancelS * 1000) return;
    this.addViolation('ran_cancelled', at, `${run.taskId} on ${run.machineId}, cancelled at ${cancelledAt}`);
  }

  // What users ask and are told.

  /** A user sends a job, for the first time or again. */
  submitted(body: unknown): void {
    const jobId = decodeSubmittedId(body);
    if (jobId === undefined) return;
    const job = this.observed.job(jobId);
    if (invalidField(body) === undefined) job.spec ??= decodeSubmission(body);
  }

  cancelAsked(at: number, jobId: string): void {
    // A job that nobody has submitted stays unknown.
    const job = this.observed.jobs.get(jobId);
    if (job !== undefined) job.cancelAskedAt ??= at;
  }

  /** A user has got an answer, or has waited for it in vain. */
  answered(answer: UserAnswer): void {
    this.answers.answered(answer);
  }

  // What is broken by nothing happening.

  /** From now on no fault excuses silence or waiting. */
  faultsEnded(at: number): void {
    this.faultsEndedAt = at;
  }

  /** To be called every second or so, and at the end. */
  checkNow(at: number): void {
    for (const run of this.observed.runs) this.checkGone(at, run);
    if (at < this.faultsEndedAt) return;
    for (const [jobId, job] of this.observed.jobs) {
      if (!this.couldStart(job)) {
        job.waitingSince = undefined;
        continue;
      }
      job.waitingSince ??= at;
      if (at - Math.max(job.waitingSince, this.faultsEndedAt) < WAITING_MS) continue;
      this.addViolation('left_waiting', at, `${jobId}, though there is room`);
    }
  }

  /** Does a task of the job (of a gang: all that are missing) wait that could start at once? */
  private couldStart(job: ObservedJob): boolean {
    const { spec, acceptedAt, cancelAskedAt, done } = job;
    if (spec === undefined || acceptedAt === undefined || cancelAskedAt !== undefined) return false;
    if (this.pipelines.openPredecessor(job) !== undefined || this.pipelines.isCancelled(job)) return false;
    const started = new Set(this.observed.runsOf(spec.id).map((run) => run.taskId)).size;
    const missing = spec.taskCount - done.size - started;
    return missing > 0 && this.rules.hasRoom(spec, spec.kind === 'gang' ? missing : 1);
  }
}
