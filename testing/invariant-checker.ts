/**
 * Checks a scenario against the protocol's rules: only by what ran on the machines and what users were told, never by
 * the scheduler's own records.
 */
import type { MachineType } from '../src/domain/machine-type.js';
import { AnswerChecker, type AnswerRule, type UserAnswer } from './answer-checker.js';
import { ObservedCluster, type ObservedJob, type ObservedRun } from './observed-cluster.js';
import { PipelineChecker } from './pipeline-checker.js';
import { PlacementHistory, type PlacementHistoryRule } from './placement-history.js';
import { PlacementRules, type TeamLimits } from './placement-rules.js';
import { decodeSubmission, decodeSubmittedId } from './submission-wire-codec.js';
import { invalidField } from './submission-wire-schema.js';
import { jobIdOf, taskIndexOf } from './task-id.js';

/** The rules that a scenario can violate. */
export type Rule =
  | AnswerRule
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'started_cancelled'
  | 'left_waiting'
  | 'too_early'
  | 'message_too_large'
  | PlacementHistoryRule;

/** Longest time for which a job may wait while there is room for it, after all faults have ended. */
const MAX_WAIT_MS = 90_000;

/** Limits and machine types that the rules refer to. */
export interface InvariantCheckerOptions {
  teams: readonly TeamLimits[];
  machineTypes: readonly MachineType[];
  /** Seconds after a cancellation by which no task of the job may run any more. */
  cancelS: number;
}

/** Observes all events of a scenario and collects the rule violations. */
export class InvariantChecker {
  /** All violations, in the order in which they were found. */
  readonly violations: { rule: Rule; at: number; details: string }[] = [];
  /**
   * Tasks that started after a confirmed cancellation because their launch command was already in flight: allowed, as
   * long as they end in time.
   */
  readonly lateStarts: string[] = [];
  private readonly reported = new Set<string>();
  private readonly observed = new ObservedCluster();
  private faultsEndedAt = Infinity;
  private readonly rules: PlacementRules;
  private readonly pipelines: PipelineChecker;
  private readonly answers: AnswerChecker;
  /** The launches that workers executed, across takeovers. */
  readonly placements = new PlacementHistory(
    (taskId) => this.observed.jobs.get(jobIdOf(taskId))?.spec?.kind === 'gang',
    (rule, at, details) => this.addViolation(rule, at, details),
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
      addViolation: (rule, at, details) => this.addViolation(rule, at, details),
    });
  }

  /** Runs the periodic checks once more and describes all violations; empty if there are none. */
  verdict(at: number): string[] {
    this.checkNow(at);
    return this.violations.map((each) => `${each.rule} at ${each.at}: ${each.details}`);
  }

  private addViolation(rule: Rule, at: number, details: string): void {
    const key = `${rule} ${details}`;
    if (this.reported.has(key)) return;
    this.reported.add(key);
    this.violations.push({ rule, at, details });
  }

  // Events on machines.

  machineUp(machineId: string, machine: { machineType: string; zone: string; isSpot: boolean }): void {
    this.observed.machines.set(machineId, { ...machine, isUsable: true, isFaulty: false });
  }

  /** Records whether the machine can be reached and used for new tasks now. */
  machineUsable(machineId: string, isUsable: boolean): void {
    const machine = this.observed.machines.get(machineId);
    if (machine !== undefined) machine.isUsable = isUsable;
  }

  /** A worker can't send its report, or refuses commands, because they exceed the protocol's limit. */
  messageTooLarge(at: number, machineId: string, message: string): void {
    this.addViolation('message_too_large', at, `${machineId}: ${message}`);
  }

  /** The machine no longer exists, nor do the tasks that ran on it. */
  machineGone(at: number, machineId: string): void {
    for (const run of [...this.observed.runs])
      if (run.machineId === machineId) this.taskEnded(at, machineId, run.taskId, 'gone');
    this.observed.machines.delete(machineId);
  }

  /** A task has its image and starts on a machine. `commandedAt`: when its launch command was sent. */
  taskStarted(at: number, machineId: string, taskId: string, commandedAt = at): void {
    const jobId = jobIdOf(taskId);
    const run: ObservedRun = { machineId, taskId, jobId };
    const job = this.observed.job(jobId);
    this.checkSingleRun(at, run);
    this.checkNotCancelled(at, run, job, commandedAt);
    const unfinished = this.pipelines.unfinishedDependency(job);
    if (unfinished !== undefined)
      this.addViolation('too_early', at, `${taskId} on ${machineId}, before ${unfinished} is done`);
    this.checkPlacement(at, run, job);
    this.observed.runs.add(run);
    job.waitingSince = undefined;
    if (job.spec === undefined) return;
    const reason = this.rules.quotaViolation(job.spec, 0);
    if (reason !== undefined) this.addViolation('quota', at, `${taskId}: ${reason}`);
  }

  private checkSingleRun(at: number, { machineId, taskId }: ObservedRun): void {
    for (const other of this.observed.runs) {
      if (other.taskId === taskId)
        this.addViolation('ran_twice', at, `${taskId} starts on ${machineId} while on ${other.machineId}`);
    }
  }

  private checkNotCancelled(at: number, run: ObservedRun, { cancelledAt }: ObservedJob, commandedAt: number): void {
    if (cancelledAt === undefined || at <= cancelledAt) return;
    const details = `${run.taskId} on ${run.machineId}, ${at - cancelledAt} ms after its cancellation`;
    if (commandedAt > cancelledAt) this.addViolation('started_cancelled', at, details);
    else this.lateStarts.push(details);
  }

  private checkPlacement(at: number, { machineId, taskId }: ObservedRun, { spec }: ObservedJob): void {
    const machine = this.observed.machines.get(machineId);
    if (spec === undefined || machine === undefined) return;
    const reason = this.rules.placementViolation(spec, machine);
    if (reason !== undefined) this.addViolation('wrong_place', at, `${taskId} on ${machineId}: ${reason}`);
  }

  taskEnded(at: number, machineId: string, taskId: string, exitReason: string): void {
    const job = this.observed.job(jobIdOf(taskId));
    for (const run of this.observed.runs) {
      if (run.machineId !== machineId || run.taskId !== taskId) continue;
      this.checkStoppedInTime(at, run);
      this.observed.runs.delete(run);
    }
    const machine = this.observed.machines.get(machineId);
    if (machine !== undefined && exitReason === 'error') machine.isFaulty = true;
    if (exitReason !== 'done') return;
    job.done.add(taskIndexOf(taskId));
    // All tasks of a gang finish together.
    if (job.spec?.kind === 'gang') for (let index = 0; index < job.spec.taskCount; index++) job.done.add(index);
  }

  /** Adds a violation if a task of a cancelled job is still on its machine after the time allowed. */
  private checkStoppedInTime(at: number, run: ObservedRun): void {
    const { cancelledAt } = this.observed.job(run.jobId);
    if (cancelledAt === undefined || at - cancelledAt <= this.options.cancelS * 1000) return;
    this.addViolation('ran_cancelled', at, `${run.taskId} on ${run.machineId}, cancelled at ${cancelledAt}`);
  }

  // Requests of users, and the answers to them.

  /** A user submits a job, for the first time or as a retry. */
  submitted(body: unknown): void {
    const jobId = decodeSubmittedId(body);
    if (jobId === undefined) return;
    const job = this.observed.job(jobId);
    if (invalidField(body) === undefined) job.spec ??= decodeSubmission(body);
  }

  cancelRequested(at: number, jobId: string): void {
    // A request for a job that was never submitted is not recorded.
    const job = this.observed.jobs.get(jobId);
    if (job !== undefined) job.cancelRequestedAt ??= at;
  }

  /** A user has received an answer or given up waiting for it. */
  answerReceived(answer: UserAnswer): void {
    this.answers.check(answer);
  }

  // Violations by inaction: something that should happen does not.

  /** The last fault has ended: from now on, requests must be answered and jobs must start in time. */
  faultsEnded(at: number): void {
    this.faultsEndedAt = at;
  }

  /** Whether no task of a cancelled job is on a machine. */
  get areCancelledTasksGone(): boolean {
    return [...this.observed.runs].every((run) => this.observed.job(run.jobId).cancelledAt === undefined);
  }

  /** Checks for overdue events; to be called about every second, and at the end. */
  checkNow(at: number): void {
    for (const run of this.observed.runs) this.checkStoppedInTime(at, run);
    if (at < this.faultsEndedAt) return;
    for (const [jobId, job] of this.observed.jobs) {
      if (!this.couldStart(job)) {
        job.waitingSince = undefined;
        continue;
      }
      job.waitingSince ??= at;
      if (at - Math.max(job.waitingSince, this.faultsEndedAt) < MAX_WAIT_MS) continue;
      this.addViolation('left_waiting', at, `${jobId}, though there is room`);
    }
  }

  /** Could one more task of the job (of a gang: all missing tasks) start right now? */
  private couldStart(job: ObservedJob): boolean {
    const { spec, acceptedAt, cancelRequestedAt, done } = job;
    if (spec === undefined || acceptedAt === undefined || cancelRequestedAt !== undefined) return false;
    if (this.pipelines.unfinishedDependency(job) !== undefined || this.pipelines.isCancelled(job)) return false;
    const started = new Set(this.observed.runsOf(spec.id).map((run) => run.taskId)).size;
    const missing = spec.taskCount - done.size - started;
    return missing > 0 && this.rules.hasRoom(spec, spec.kind === 'gang' ? missing : 1);
  }
}
