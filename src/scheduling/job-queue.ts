/** The queue of jobs with pending tasks in scheduling order, and the tasks of each job that may start now. */
import { OVERDUE_START_MS } from '../constants/scheduling.js';
import type { ServiceLevelObjective } from '../domain/settings.js';
import { taskIdOf } from '../domain/task.js';
import type { Team, TeamUsage } from '../domain/team.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState, JobView } from '../records/cluster-state.js';
import { runnableSinceMs } from '../records/records.js';
import {
  compareQueuedJobs,
  isFeasible,
  isWithinGuarantee,
  type QueuedJob,
  startByOf,
  targetsOf,
} from './decisions/queue-order.js';
import type { GangAttempts } from './gang-attempts.js';
import type { InFlightStarts } from './in-flight-starts.js';
import type { ResourceUsage } from './resource-usage.js';
import type { RetryBackoff } from './retry-backoff.js';
import type { RunTimeRatios } from './run-time-ratios.js';
import type { PendingTask } from './task-placer.js';

/** The state and settings that determine a job's position in the queue and which of its tasks may start. */
export interface JobQueueDependencies {
  objectives: readonly ServiceLevelObjective[];
  teams: ReadonlyMap<string, Team>;
  clusterState: ClusterState;
  usage: ResourceUsage;
  inFlight: InFlightStarts;
  runTimeRatios: RunTimeRatios;
  retryBackoff: RetryBackoff;
  gangs: GangAttempts;
  clock: Clock;
}

const isFullyPlaced = (view: JobView): boolean => view.doneCount + view.placedCount === view.record.spec.taskCount;

const hasTasksToPlace = (view: JobView): boolean => view.record.state === 'active' && !isFullyPlaced(view);

/** Computes the queue from the cluster state at each call; it keeps no copy. */
export class JobQueue {
  constructor(private readonly dependencies: JobQueueDependencies) {}

  /** All active jobs with tasks to place, in scheduling order. */
  queuedJobs(): QueuedJob[] {
    const { teams, clusterState, usage, gangs, clock } = this.dependencies;
    const usages = usage.teamUsages();
    const queuedJobs: QueuedJob[] = [];
    const nowMs = clock.wall();
    for (const view of clusterState.jobs.values()) {
      const isPlaced = isFullyPlaced(view);
      // The gang is complete again, so the wait for a replacement is timed anew at its next loss of a member.
      if (isPlaced) gangs.forget(view.jobId);
      const { spec, state } = view.record;
      if (state !== 'active' || isPlaced) continue;
      const team = teams.get(spec.team);
      if (team === undefined) continue;
      const teamUsage = usages.get(spec.team) ?? { cpus: 0, gpus: 0 };
      queuedJobs.push(this.queuedJobOf(view, team, teamUsage, nowMs));
    }
    return queuedJobs.sort(compareQueuedJobs);
  }

  /** The pending tasks of a job that may start now, by index, at most `maxTasks`; of a gang all queued tasks or none. */
  pendingTasksOf(view: JobView, maxTasks: number): PendingTask[] {
    if (!hasTasksToPlace(view)) return [];
    const nowMs = this.dependencies.clock.now();
    const inFlightIndexes = this.dependencies.inFlight.taskIndexesOf(view.jobId);
    const isGang = view.record.spec.kind === 'gang';
    const pendingTasks: PendingTask[] = [];
    for (const taskIndex of view.queuedTaskIndexes) {
      if (pendingTasks.length >= maxTasks && !isGang) break;
      const placement = view.placementOf(taskIndex);
      const isPending = placement.kind === 'queued' && inFlightIndexes?.has(taskIndex) !== true;
      if (isPending && !this.isBackingOff(view.jobId, taskIndex, placement.failures, nowMs)) {
        pendingTasks.push({ view, taskIndex, placement });
      } else if (isGang) return [];
    }
    return pendingTasks;
  }

  private queuedJobOf(view: JobView, team: Team, teamUsage: TeamUsage, nowMs: number): QueuedJob {
    const { record } = view;
    const { spec } = record;
    const remainingTasks = spec.taskCount - view.doneCount - view.placedCount;
    const expectedRunS = this.dependencies.runTimeRatios.expectedRunS(spec);
    const hasNotBegun = remainingTasks === spec.taskCount;
    return {
      record,
      isGuaranteed: isWithinGuarantee(team, teamUsage, spec),
      isFeasible: isFeasible(targetsOf(record, this.dependencies.objectives), expectedRunS, nowMs),
      remainingCpuS: remainingTasks * spec.cpus * expectedRunS,
      isOverdue: spec.kind === 'array' && hasNotBegun && nowMs - runnableSinceMs(record) > OVERDUE_START_MS,
      startByMs: startByOf(record, view.finishByMs, expectedRunS),
    };
  }

  private isBackingOff(jobId: string, taskIndex: number, failures: number, nowMs: number): boolean {
    return failures > 0 && this.dependencies.retryBackoff.isBackingOff(taskIdOf(jobId, taskIndex), failures, nowMs);
  }
}
