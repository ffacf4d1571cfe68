/**
 * Checks a scenario by the protocol's rules alone: by what ran on the machines and by what users were told. It knows nothing
 * of the product's records.
 */
import type { MachineType } from '../src/domain/machine-type.js';
import { resourcesOf } from '../src/domain/resources.js';
import { PipelineChecker } from './pipeline-checker.js';
import { PlacementHistory } from './placement-history.js';
import { decodeJobState, type JobState } from './job-status-wire-codec.js';
import { decodeSubmission, decodeSubmittedId, type Submission } from './submission-wire-codec.js';
import { invalidField } from './submission-wire-schema.js';
import { jobIdOf, taskIndexOf } from './task-id.js';

export type Rule =
  | 'ran_twice'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'started_cancelled'
  | 'forgotten'
  | 'invented'
  | 'not_done'
  | 'went_back'
  | 'wrongly_accepted'
  | 'left_waiting'
  | 'too_early'
  | 'orphaned'
  | 'placed_twice'
  | 'older_token';

/** ms without an answer to any question about a job after which it counts as forgotten, once all faults are over. */
const FORGOTTEN_MS = 75_000;
/** ms for which a job may wait while there is room for it, once all faults are over. */
const WAITING_MS = 90_000;
/** Amounts are decimal numbers, so sums may be off by their last digits. */
const EPS = 1e-6;

export interface InvariantCheckerOptions {
  teams: readonly { name: string; cpus_max?: number; gpus_max?: number }[];
  machineTypes: readonly MachineType[];
  cancelS: number;
}

interface Machine {
  machineType: string;
  zone: string;
  isSpot: boolean;
  /** Can be reached and does not hang. */
  usable: boolean;
  /** A task failed there. */
  faulty: boolean;
}

interface Job {
  /** Undefined as long as every submission of it was malformed. */
  spec?: Submission;
  /** Times of the first such answer that its user got. */
  acceptedAt?: number;
  doneAt?: number;
  cancelledAt?: number;
  /** When its user first asked to cancel it. */
  cancelAskedAt?: number;
  done: Set<number>;
  unansweredSince?: number;
  waitingSince?: number;
}

interface Run {
  machineId: string;
  taskId: string;
  jobId: string;
}

export interface UserAnswer {
  kind: 'submit' | 'poll' | 'cancel';
  jobId: string;
  askedAt: number;
  at: number;
  /** 0: none in time, or no connection. */
  status: number;
  body: unknown;
}

export class InvariantChecker {
  /** Every rule that was broken, in the order of finding. */
  readonly violations: { rule: Rule; at: number; what: string }[] = [];
  /**
   * Starts after a confirmed cancellation whose command was on its way by then: allowed, as long as they end in time.
   */
  readonly lateStarts: string[] = [];
  private readonly seen = new Set<string>();
  private readonly machines = new Map<string, Machine>();
  private readonly jobs = new Map<string, Job>();
  private readonly runs = new Set<Run>();
  private faultsEndedAt = Infinity;
  private readonly pipelines: PipelineChecker;
  /** Which launches workers carried out, over takeovers. */
  readonly placements = new PlacementHistory(
    (taskId) => this.jobs.get(jobIdOf(taskId))?.spec?.kind === 'gang',
    (rule, at, what) => this.addViolation(rule, at, what),
  );

  constructor(private readonly options: InvariantCheckerOptions) {
    this.pipelines = new PipelineChecker((jobId) => this.jobs.get(jobId), options.cancelS * 1000);
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

  private job(jobId: string): Job {
    const known = this.jobs.get(jobId);
    if (known !== undefined) return known;
    const job: Job = { done: new Set() };
    this.jobs.set(jobId, job);
    return job;
  }

  private machineType(name: string): MachineType | undefined {
    return this.options.machineTypes.find((each) => each.name === name);
  }

  // What happens on machines.

  machineUp(machineId: string, machine: { machineType: string; zone: string; isSpot: boolean }): void {
    this.machines.set(machineId, { ...machine, usable: true, faulty: false });
  }

  /** Whether commands and answers reach it now. */
  machineUsable(machineId: string, usable: boolean): void {
    const machine = this.machines.get(machineId);
    if (machine !== undefined) machine.usable = usable;
  }

  /** The machine is gone, with all that was on it. */
  machineGone(at: number, machineId: string): void {
    for (const run of [...this.runs])
      if (run.machineId === machineId) this.taskEnded(at, machineId, run.taskId, 'gone');
    this.machines.delete(machineId);
  }

  /** A task is on a machine: it has its image. `orderedAt`: when the command that led to it was sent. */
  taskStarted(at: number, machineId: string, taskId: string, orderedAt = at): void {
    const jobId = jobIdOf(taskId);
    const job = this.job(jobId);
    const { spec, cancelledAt } = job;
    for (const other of this.runs) {
      if (other.taskId === taskId)
        this.addViolation('ran_twice', at, `${taskId} starts on ${machineId} while on ${other.machineId}`);
    }
    if (cancelledAt !== undefined && at > cancelledAt) {
      const what = `${taskId} on ${machineId}, ${at - cancelledAt} ms after its cancellation`;
      if (orderedAt > cancelledAt) this.addViolation('started_cancelled', at, what);
      else this.lateStarts.push(what);
    }
    const open = this.pipelines.openPredecessor(job);
    if (open !== undefined) this.addViolation('too_early', at, `${taskId} on ${machineId}, before ${open} is done`);
    const machine = this.machines.get(machineId);
    if (spec !== undefined && machine !== undefined) {
      const why = this.whyWrongPlace(spec, machine);
      if (why !== undefined) this.addViolation('wrong_place', at, `${taskId} on ${machineId}: ${why}`);
    }
    this.runs.add({ machineId, taskId, jobId });
    job.waitingSince = undefined;
    if (spec === undefined) return;
    const why = this.whyOverLimit(spec, 0);
    if (why !== undefined) this.addViolation('quota', at, `${taskId}: ${why}`);
  }

  taskEnded(at: number, machineId: string, taskId: string, cause: string): void {
    const job = this.job(jobIdOf(taskId));
    for (const run of this.runs) {
      if (run.machineId !== machineId || run.taskId !== taskId) continue;
      this.checkGone(at, run);
      this.runs.delete(run);
    }
    const machine = this.machines.get(machineId);
    if (machine !== undefined && cause === 'error') machine.faulty = true;
    if (cause !== 'done') return;
    job.done.add(taskIndexOf(taskId));
    // A gang completes together.
    if (job.spec?.kind === 'gang') for (let index = 0; index < job.spec.taskCount; index++) job.done.add(index);
  }

  /** Is a task of a cancelled job still on its machine when it should be gone? */
  private checkGone(at: number, run: Run): void {
    const { cancelledAt } = this.job(run.jobId);
    if (cancelledAt === undefined || at - cancelledAt <= this.options.cancelS * 1000) return;
    this.addViolation('ran_cancelled', at, `${run.taskId} on ${run.machineId}, cancelled at ${cancelledAt}`);
  }

  private tasksOf(jobId: string): Run[] {
    return [...this.runs].filter((run) => run.jobId === jobId);
  }

  private whyWrongPlace(spec: Submission, machine: Machine): string | undefined {
    if (spec.machineTypes?.includes(machine.machineType) === false) return `type ${machine.machineType}`;
    if ((spec.zone ?? machine.zone) !== machine.zone) return `zone ${machine.zone}`;
    if (machine.isSpot && !spec.allowsSpot) return 'a spot machine';
    const zones = this.tasksOf(spec.id).map((run) => this.machines.get(run.machineId)?.zone);
    const other = zones.find((zone) => zone !== machine.zone);
    if (spec.singleZone && other !== undefined) return `zone ${machine.zone} beside tasks in ${other}`;
    const here = zones.filter((zone) => zone === machine.zone).length;
    if (spec.spreadAcrossZones && here + 1 > Math.ceil(spec.taskCount / 2))
      return `${here + 1} tasks in zone ${machine.zone}`;
    return undefined;
  }

  /** Would the job's team be over its limit with `more` of its tasks? */
  private whyOverLimit(spec: Submission, more: number): string | undefined {
    const team = this.options.teams.find((each) => each.name === spec.team);
    let cpus = more * spec.cpus;
    let gpus = more * spec.gpus;
    for (const run of this.runs) {
      const other = this.jobs.get(run.jobId)?.spec;
      if (other?.team !== spec.team) continue;
      cpus += other.cpus;
      gpus += other.gpus;
    }
    // 0 means no limit.
    const { cpus_max = 0, gpus_max = 0 } = team ?? {};
    if (cpus_max > 0 && spec.cpus > 0 && cpus > cpus_max + EPS) return `${spec.team} uses ${cpus} CPUs`;
    if (gpus_max > 0 && spec.gpus > 0 && gpus > gpus_max + EPS) return `${spec.team} uses ${gpus} cards`;
    return undefined;
  }

  // What users ask and are told.

  /** A user sends a job, for the first time or again. */
  submitted(body: unknown): void {
    const jobId = decodeSubmittedId(body);
    if (jobId === undefined) return;
    const job = this.job(jobId);
    if (invalidField(body) === undefined) job.spec ??= decodeSubmission(body);
  }

  cancelAsked(at: number, jobId: string): void {
    // A job that nobody has submitted stays unknown.
    const job = this.jobs.get(jobId);
    if (job !== undefined) job.cancelAskedAt ??= at;
  }

  answered(answer: UserAnswer): void {
    const { kind, jobId, askedAt, at, status } = answer;
    const job = this.jobs.get(jobId);
    const state = decodeJobState(answer.body);
    const accepted = job?.acceptedAt !== undefined && job.acceptedAt < askedAt;
    if (status === 404 && accepted) this.addViolation('forgotten', at, `${kind} of ${jobId}: 404`);
    if (kind === 'submit' && (status === 400 || status === 422) && accepted) {
      this.addViolation('forgotten', at, `${jobId} submitted again: ${status}`);
    }
    if (kind === 'poll' && job?.acceptedAt !== undefined) this.noteSilence(job, answer);
    if (status !== 200 && status !== 201) return;
    if (job === undefined) return this.addViolation('invented', at, `${kind} of ${jobId}: ${state}`);
    if (job.acceptedAt === undefined) {
      const why = this.whyNever(job.spec) ?? this.whyNeverReleased(job);
      if (why !== undefined) this.addViolation('wrongly_accepted', at, `${jobId}: ${why}`);
    }
    job.acceptedAt ??= at;
    this.takeState(job, answer, state);
  }

  private takeState(job: Job, { kind, jobId, askedAt, at }: UserAnswer, state: JobState | undefined): void {
    const final = job.cancelledAt !== undefined ? 'cancelled' : job.doneAt !== undefined ? 'done' : undefined;
    if (state === 'done' || state === 'cancelled') {
      // Only one of the two is ever true, so it doesn't matter here who asked first.
      if (final !== undefined && final !== state)
        this.addViolation('went_back', at, `${kind} of ${jobId}: ${state}, was ${final}`);
    } else {
      const toldAt = job.cancelledAt ?? job.doneAt;
      if (toldAt !== undefined && toldAt < askedAt) {
        this.addViolation('went_back', at, `${kind} of ${jobId}: ${state}, was ${final}`);
      }
      const orphanedForMs = this.pipelines.orphanedForMs(job, at);
      if (orphanedForMs !== undefined) {
        this.addViolation(
          'orphaned',
          at,
          `${kind} of ${jobId}: ${state}, a job before it is cancelled for ${orphanedForMs} ms`,
        );
      }
    }
    if (state === 'cancelled') {
      if (job.cancelAskedAt === undefined && !this.pipelines.mayBeCancelled(job))
        this.addViolation('went_back', at, `${jobId} cancelled, though not by its user`);
      job.cancelledAt ??= at;
    }
    if (state === 'done') {
      const { spec } = job;
      const isDone = spec !== undefined && spec.kind !== 'service' && job.done.size === spec.taskCount;
      if (!isDone) this.addViolation('not_done', at, `${jobId}: ${job.done.size} of ${spec?.taskCount} tasks are done`);
      job.doneAt ??= at;
    }
  }

  private noteSilence(job: Job, { jobId, askedAt, at, status }: UserAnswer): void {
    if (status === 200 || status === 404) {
      job.unansweredSince = undefined;
      return;
    }
    job.unansweredSince ??= askedAt;
    if (at - Math.max(job.unansweredSince, this.faultsEndedAt) < FORGOTTEN_MS) return;
    this.addViolation('forgotten', at, `no question about ${jobId} was answered`);
  }

  private whyNeverReleased(job: Job): string | undefined {
    const unknown = this.pipelines.unknownPredecessor(job);
    return unknown === undefined ? undefined : `needs ${unknown}, which nobody has submitted`;
  }

  /** Why a job can never run, or is malformed. */
  private whyNever(spec: Submission | undefined): string | undefined {
    if (spec === undefined) return 'a field is missing or invalid';
    const { team: teamName, kind, taskCount, cpus, gpus, memoryGb, zone } = spec;
    const team = this.options.teams.find((each) => each.name === teamName);
    if (team === undefined) return 'unknown team';
    const fits = this.options.machineTypes.some(
      (each) =>
        spec.machineTypes?.includes(each.name) !== false &&
        each.zones.includes(zone ?? each.zones[0]!) &&
        cpus <= each.cpus &&
        gpus <= each.gpus &&
        memoryGb <= each.memoryGb,
    );
    if (!fits) return 'fits no allowed machine type';
    const tasks = kind === 'array' ? 1 : taskCount;
    const { cpus_max = 0, gpus_max = 0 } = team;
    if (cpus_max > 0 && cpus * tasks > cpus_max + EPS) return "more CPUs than its team's limit";
    if (gpus_max > 0 && gpus * tasks > gpus_max + EPS) return "more cards than its team's limit";
    return undefined;
  }

  // What is broken by nothing happening.

  /** From now on no fault excuses silence or waiting. */
  faultsEnded(at: number): void {
    this.faultsEndedAt = at;
  }

  /** To be called every second or so, and at the end. */
  checkNow(at: number): void {
    for (const run of this.runs) this.checkGone(at, run);
    if (at < this.faultsEndedAt) return;
    for (const [jobId, job] of this.jobs) {
      if (!this.hasRoom(job)) {
        job.waitingSince = undefined;
        continue;
      }
      job.waitingSince ??= at;
      if (at - Math.max(job.waitingSince, this.faultsEndedAt) < WAITING_MS) continue;
      this.addViolation('left_waiting', at, `${jobId}, though there is room`);
    }
  }

  /** Does a task of the job (of a gang: all that are missing) wait that could start at once? */
  private hasRoom(job: Job): boolean {
    const { spec, acceptedAt, cancelAskedAt, done } = job;
    if (spec === undefined || acceptedAt === undefined || cancelAskedAt !== undefined) return false;
    if (this.pipelines.openPredecessor(job) !== undefined || this.pipelines.isCancelled(job)) return false;
    const on = this.tasksOf(spec.id);
    const missing = spec.taskCount - done.size - new Set(on.map((run) => run.taskId)).size;
    if (missing <= 0) return false;
    const needed = spec.kind === 'gang' ? missing : 1;
    if (this.whyOverLimit(spec, needed) !== undefined) return false;
    const slots = new Map<string, number>();
    for (const [machineId, machine] of this.machines) {
      if (!machine.usable || machine.faulty || this.whyWrongPlace(spec, machine) !== undefined) continue;
      slots.set(machine.zone, (slots.get(machine.zone) ?? 0) + this.slotsOn(machineId, machine, spec));
    }
    const half = Math.ceil(spec.taskCount / 2);
    const counts = [...slots].map(([zone, count]) => {
      const here = on.filter((run) => this.machines.get(run.machineId)?.zone === zone).length;
      return spec.spreadAcrossZones ? Math.min(count, half - here) : count;
    });
    const room = spec.singleZone ? Math.max(0, ...counts) : counts.reduce((a, b) => a + b, 0);
    return room >= needed;
  }

  /** How many more tasks of that size the machine holds. */
  private slotsOn(machineId: string, machine: Machine, spec: Submission): number {
    const machineType = this.machineType(machine.machineType);
    if (machineType === undefined) return 0;
    const free = resourcesOf(machineType);
    const amounts = ['cpus', 'gpus', 'memoryGb'] as const;
    for (const run of this.runs) {
      const other = run.machineId === machineId ? this.jobs.get(run.jobId)?.spec : undefined;
      if (other !== undefined) for (const amount of amounts) free[amount] -= other[amount];
    }
    const counts = amounts.filter((amount) => spec[amount] > 0).map((amount) => (free[amount] + EPS) / spec[amount]);
    return Math.max(0, Math.floor(Math.min(...counts)));
  }
}
