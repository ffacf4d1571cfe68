/** The order of queued jobs and the criteria that it depends on: guarantees, completion targets and latest start times. */
import { JOB_PRIORITIES, type JobSpec } from '../../domain/job.js';
import type { ServiceLevelObjective } from '../../domain/settings.js';
import type { Team, TeamUsage } from '../../domain/team.js';
import { type JobRecord, runnableSinceMs } from '../../records/records.js';

/** A job with pending tasks, and the criteria of its position in the queue. */
export interface QueuedJob {
  record: JobRecord;
  /** Whether one more task of the job fits into the team's guarantee, given the team's usage. */
  isGuaranteed: boolean;
  /** Whether the job can still complete in time if its tasks start now. */
  isFeasible: boolean;
  /** CPU seconds that its pending tasks will take, by their expected run time. */
  remainingCpuS: number;
  /** Whether it is an array of which no task has started and that has waited for longer than any job should. */
  isOverdue: boolean;
  /**
   * Latest start time, ms of wall-clock time, for the deadline of its pipeline; Infinity if it is not part of a pipeline with a
   * deadline.
   */
  startByMs: number;
}

/** The resource by which a job counts against its team's guarantee; undefined if the team has no guarantee for such jobs. */
export function guaranteedResourceOf(team: Team, spec: JobSpec): 'cpus' | 'gpus' | undefined {
  if (spec.gpus > 0 && team.guaranteed.gpus > 0) return 'gpus';
  return spec.gpus === 0 && team.guaranteed.cpus > 0 ? 'cpus' : undefined;
}

/** Whether one more task of the job fits into the team's guarantee. */
export function isWithinGuarantee(team: Team, usage: TeamUsage, spec: JobSpec): boolean {
  const resource = guaranteedResourceOf(team, spec);
  return resource !== undefined && usage[resource] + spec[resource] <= team.guaranteed[resource];
}

/** Whether all unfinished jobs of the team, `demand`, fit into its guarantee, so that it need not wait for other teams. */
export function isDemandWithinGuarantee(team: Team, demand: TeamUsage, spec: JobSpec): boolean {
  const resource = guaranteedResourceOf(team, spec);
  return resource !== undefined && demand[resource] <= team.guaranteed[resource];
}

/** Whether a task of the job may be evicted for another team's guarantee: its own team keeps its guarantee without the task. */
export const isBorrowed = (team: Team, usage: TeamUsage, spec: JobSpec, resource: 'cpus' | 'gpus'): boolean =>
  spec[resource] > 0 && usage[resource] - spec[resource] >= team.guaranteed[resource];

/**
 * Times, ms of wall-clock time, by which the operators want a job to be complete. Deadlines count from its submission, including
 * the time that it waits for other jobs; other targets count from when it may run.
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

/** Whether a job whose last task starts at wall-clock time `nowMs` and runs for `runS` meets a target; true without targets. */
export const isFeasible = (targets: readonly number[], runS: number, nowMs: number): boolean =>
  targets.length === 0 || targets.some((target) => target >= nowMs + runS * 1000);

/**
 * Latest start time of a job in a pipeline, ms of wall-clock time; Infinity for all other jobs. `finishByMs` is the time by which
 * it must be complete for the jobs that depend on it.
 */
export function startByOf({ spec, submittedAtMs, releasedAtMs }: JobRecord, finishByMs: number, runS: number): number {
  const isLast = finishByMs === Infinity && releasedAtMs !== undefined && spec.deadlineS !== null;
  return (isLast ? submittedAtMs + spec.deadlineS! * 1000 : finishByMs) - runS * 1000;
}

/** Priority index of a job; an overdue array has at least priority normal. */
const effectivePriorityIndex = ({ isOverdue, record }: QueuedJob): number => {
  const priority = JOB_PRIORITIES.indexOf(record.spec.priority);
  return isOverdue ? Math.min(priority, JOB_PRIORITIES.indexOf('normal')) : priority;
};

/**
 * Order of the queue: by priority; gangs and services before arrays; jobs within a guarantee first; jobs that can still be in
 * time before those that can't; in pipelines with a deadline, the job that must start earliest; then the array with the least
 * remaining work, since that completes the most jobs in time under overload; then the older job.
 * Overdue arrays have at least priority normal and come before the other arrays of their priority, with a few tasks each:
 * otherwise the largest arrays and those of the lowest priority might never start under load.
 */
export function compareQueuedJobs(a: QueuedJob, b: QueuedJob): number {
  return (
    effectivePriorityIndex(a) - effectivePriorityIndex(b) ||
    Number(isArray(a)) - Number(isArray(b)) ||
    compareUrgency(a, b) ||
    (isArray(a) ? a.remainingCpuS - b.remainingCpuS : 0) ||
    runnableSinceMs(a.record) - runnableSinceMs(b.record) ||
    // Every node computes the whole plan. If their orders differed, each could leave a team's quota to a job that another places.
    (a.record.spec.id < b.record.spec.id ? -1 : 1)
  );
}

const isArray = ({ record }: QueuedJob): boolean => record.spec.kind === 'array';

/** Overdue jobs first, then those within a guarantee, then those that can still be in time, then by latest start time. */
function compareUrgency(a: QueuedJob, b: QueuedJob): number {
  if (a.isOverdue !== b.isOverdue) return a.isOverdue ? -1 : 1;
  if (a.isGuaranteed !== b.isGuaranteed) return a.isGuaranteed ? -1 : 1;
  if (a.isFeasible !== b.isFeasible) return a.isFeasible ? -1 : 1;
  // Equal values are compared first, since the difference of two infinite start times is NaN.
  return a.startByMs === b.startByMs ? 0 : a.startByMs - b.startByMs;
}
