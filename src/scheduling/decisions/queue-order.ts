/** The order of queued jobs, and what a job's turn depends on: guarantees, targets and the time by which it must start. */
import { JOB_PRIORITIES, type JobSpec } from '../../domain/job.js';
import type { ServiceLevelObjective } from '../../domain/settings.js';
import type { Team, TeamUsage } from '../../domain/team.js';
import { type JobRecord, runnableSinceMs } from '../../records/records.js';

/** A job with pending tasks, and all that decides about its turn. */
export interface QueuedJob {
  record: JobRecord;
  /** Does the job fit into its team's guarantee beside what the team uses? */
  isGuaranteed: boolean;
  /** Can it still be complete in time, if its tasks start now? */
  isFeasible: boolean;
  /** CPU seconds that its pending tasks will take, by its expected run time. */
  remainingCpuS: number;
  /** None of its tasks has begun, and it has waited for longer than any job should. */
  isOverdue: boolean;
  /**
   * Time of day, ms, by which it must start for the sake of the pipeline that it is part of; Infinity: it is part of none, or
   * nothing depends on it.
   */
  startByMs: number;
}

/** The resource by which a job counts against its team's guarantee; undefined: the team has none for such jobs. */
export function guaranteedResourceOf(team: Team, spec: JobSpec): 'cpus' | 'gpus' | undefined {
  if (spec.gpus > 0 && team.guaranteed.gpus > 0) return 'gpus';
  return spec.gpus === 0 && team.guaranteed.cpus > 0 ? 'cpus' : undefined;
}

/** Does one more task of the job fit into the team's guarantee? */
export function isWithinGuarantee(team: Team, usage: TeamUsage, spec: JobSpec): boolean {
  const resource = guaranteedResourceOf(team, spec);
  return resource !== undefined && usage[resource] + spec[resource] <= team.guaranteed[resource];
}

/** A team whose unfinished jobs all fit into its guarantee together need not wait for others; `demand` counts them all. */
export function isOwedGuarantee(team: Team, demand: TeamUsage, spec: JobSpec): boolean {
  const resource = guaranteedResourceOf(team, spec);
  return resource !== undefined && demand[resource] <= team.guaranteed[resource];
}

/** May a task of the job be evicted for another team's guarantee: does its own team keep its guarantee without it? */
export const isBorrowed = (team: Team, usage: TeamUsage, spec: JobSpec, resource: 'cpus' | 'gpus'): boolean =>
  spec[resource] > 0 && usage[resource] - spec[resource] >= team.guaranteed[resource];

/**
 * Times of day, ms, by which the operators want a job to be complete. Deadlines count from its submission, however long it
 * waits for other jobs; all else counts from when it may run.
 */
export function targetsOf(record: JobRecord, objectives: readonly ServiceLevelObjective[]): number[] {
  const { spec, submittedAtMs } = record;
  const targets: number[] = [];
  for (const objective of objectives) {
    if (objective.jobClass !== spec.jobClass) continue;
    if (objective.kind === 'finished' && objective.withinMs !== undefined) {
      targets.push(runnableSinceMs(record) + objective.withinMs);
    }
    if (objective.kind === 'deadline' && spec.deadlineS !== null) {
      targets.push(submittedAtMs + spec.deadlineS * (objective.deadlineFactor ?? 1) * 1000);
    }
  }
  if (targets.length === 0 && spec.deadlineS !== null) targets.push(submittedAtMs + spec.deadlineS * 1000);
  return targets;
}

/** Can one of the targets still be met at time of day `nowMs` by a job whose last task runs `runS`? Without a target: yes. */
export const isFeasible = (targets: readonly number[], runS: number, nowMs: number): boolean =>
  targets.length === 0 || targets.some((target) => target >= nowMs + runS * 1000);

/**
 * Time of day, ms, by which a job of a pipeline must start; Infinity for all others. `finishByMs`: when it must be complete for
 * the sake of the jobs that need it.
 */
export function startByOf({ spec, submittedAtMs, releasedAtMs }: JobRecord, finishByMs: number, runS: number): number {
  const isLast = finishByMs === Infinity && releasedAtMs !== undefined && spec.deadlineS !== null;
  return (isLast ? submittedAtMs + spec.deadlineS! * 1000 : finishByMs) - runS * 1000;
}

/** An overdue array has at least priority normal. */
const effectivePriorityIndex = ({ isOverdue, record }: QueuedJob): number => {
  const priority = JOB_PRIORITIES.indexOf(record.spec.priority);
  return isOverdue ? Math.min(priority, JOB_PRIORITIES.indexOf('normal')) : priority;
};

/**
 * Order of the queue: priority; gangs and services before arrays; guarantees; then jobs that can still be in time before those
 * that can't; of arrays in a pipeline with a deadline, the one that must start first; then the array with the least work left,
 * since that gets the most jobs done in time when more is asked than can be done; then the older.
 * But arrays that should have begun long ago come before other arrays, up to those of priority normal, with a few tasks each:
 * by the rest of the order the largest and the lowest might never begin under load.
 */
export function compareQueuedJobs(a: QueuedJob, b: QueuedJob): number {
  return (
    effectivePriorityIndex(a) - effectivePriorityIndex(b) ||
    Number(isArray(a)) - Number(isArray(b)) ||
    compareUrgency(a, b) ||
    (isArray(a) ? a.remainingCpuS - b.remainingCpuS : 0) ||
    runnableSinceMs(a.record) - runnableSinceMs(b.record) ||
    // Every node makes the whole plan: where orders differ, each leaves a team's quota to a job that another is to place.
    (a.record.spec.id < b.record.spec.id ? -1 : 1)
  );
}

const isArray = ({ record }: QueuedJob): boolean => record.spec.kind === 'array';

/** Overdue jobs first, then those within a guarantee, then those that can still be in time, then the earliest to start. */
function compareUrgency(a: QueuedJob, b: QueuedJob): number {
  if (a.isOverdue !== b.isOverdue) return a.isOverdue ? -1 : 1;
  if (a.isGuaranteed !== b.isGuaranteed) return a.isGuaranteed ? -1 : 1;
  if (a.isFeasible !== b.isFeasible) return a.isFeasible ? -1 : 1;
  // Without a time to start by both are infinite, and their difference is no number.
  return a.startByMs === b.startByMs ? 0 : a.startByMs - b.startByMs;
}
