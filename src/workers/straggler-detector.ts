import { EVICT_STRAGGLER_FACTOR, MIN_FINISHED_SIBLINGS, STRAGGLER_FACTOR } from '../constants/workers.js';
import type { JobSpec } from '../domain/job.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import { markForStop } from '../records/placement-mutations.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import { attemptKeyFrom, attemptKeyOf, taskIdOfPlaced } from './attempt-key.js';
import type { Worker } from './worker.js';

/** The records of jobs and placements, and the transactions that record evictions. */
export interface StragglerDetectorDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  clock: Clock;
  log: Log;
}

/** Run times of a job's finished tasks. */
interface FinishedRunTimes {
  count: number;
  meanMs: number;
}

/** Detects slow machines by tasks that run far longer than their siblings, and evicts batch tasks from them. */
export class StragglerDetector {
  /** Run times of finished tasks on this node's machines, by job id. */
  private readonly finishedRunTimes = new Map<string, FinishedRunTimes>();

  constructor(private readonly dependencies: StragglerDetectorDependencies) {}

  /** Compares a finished task with its siblings, and includes its run time in the mean of its job. */
  compareWithSiblings(worker: Worker, placedTask: PlacedTask, runTimeMs: number): void {
    // A task that resumes from a checkpoint has less left to run, and its run time can't be compared with others.
    if (placedTask.placement.attempt > 1) return;
    const { jobId } = placedTask;
    const siblings = this.finishedRunTimes.get(jobId) ?? { count: 0, meanMs: 0 };
    if (this.isComparable(jobId, siblings)) {
      const now = this.dependencies.clock.now();
      worker.slowness.recordRunTimeRatio(attemptKeyOf(placedTask), runTimeMs / siblings.meanMs, now);
    }
    const count = siblings.count + 1;
    this.finishedRunTimes.set(jobId, { count, meanMs: siblings.meanMs + (runTimeMs - siblings.meanMs) / count });
  }

  /**
   * Compares running tasks with their finished siblings: one that runs far longer indicates a slow machine before it
   * ends.
   */
  checkRunning(worker: Worker): void {
    const now = this.dependencies.clock.now();
    for (const [taskId, { attempt, state }] of worker.tasks) {
      if (state !== 'running' || attempt > 1) continue;
      const attemptKey = attemptKeyFrom(taskId, attempt);
      const startedAt = worker.runTimes.runningSince.get(attemptKey);
      const jobId = taskId.slice(0, taskId.lastIndexOf('/'));
      const siblings = this.finishedRunTimes.get(jobId);
      if (startedAt === undefined || siblings === undefined || !this.isComparable(jobId, siblings)) continue;
      const runTimeMs = now - startedAt;
      if (runTimeMs <= STRAGGLER_FACTOR * siblings.meanMs) continue;
      worker.slowness.recordRunTimeRatio(attemptKey, runTimeMs / siblings.meanMs, now);
    }
  }

  /** Evicts batch tasks that would end sooner if restarted elsewhere; services move only if their health checks fail. */
  evictFromSlowMachines(workers: Iterable<Worker>, roleOf: (machineId: string) => string): void {
    const { leadership, clusterState, clock } = this.dependencies;
    for (const jobId of this.finishedRunTimes.keys()) {
      if (!clusterState.jobs.has(jobId)) this.finishedRunTimes.delete(jobId);
    }
    if (!leadership.hasRecentStoreContact) return;
    const now = clock.now();
    for (const worker of workers) {
      if (worker.isSlow(now)) this.evictSlowTasks(worker, roleOf(worker.machineId), now);
    }
  }

  /**
   * Whether enough siblings have finished. The first to finish are the short ones: compared with them alone, all tasks
   * of the other half would seem slow.
   */
  private isComparable(jobId: string, { count }: FinishedRunTimes): boolean {
    if (count < MIN_FINISHED_SIBLINGS) return false;
    const view = this.dependencies.clusterState.jobs.get(jobId);
    return view !== undefined && view.doneCount * 2 >= view.record.spec.taskCount;
  }

  private evictSlowTasks(worker: Worker, role: string, now: number): void {
    const { clusterState } = this.dependencies;
    for (const placedTask of [...clusterState.tasksOn(worker.machineId)]) {
      const spec = clusterState.jobs.get(placedTask.jobId)?.record.spec;
      if (spec?.kind !== 'array' || placedTask.placement.gracePeriodS !== null) continue;
      if (this.isWorthEvicting(worker, placedTask, spec, now)) this.evict(worker, placedTask, spec, role);
    }
  }

  /** Whether the task was seen to start, and would end sooner elsewhere than here. */
  private isWorthEvicting(worker: Worker, placedTask: PlacedTask, spec: JobSpec, now: number): boolean {
    const attemptKey = attemptKeyOf(placedTask);
    const startedAt = worker.runTimes.runningSince.get(attemptKey);
    if (startedAt === undefined || worker.slowness.isEvicted(attemptKey)) return false;
    const expectedMs = this.finishedRunTimes.get(placedTask.jobId)?.meanMs ?? spec.estimatedRunS * 1000;
    return now - startedAt <= EVICT_STRAGGLER_FACTOR * expectedMs;
  }

  private evict(worker: Worker, placedTask: PlacedTask, spec: JobSpec, role: string): void {
    const { leadership, transactions, log } = this.dependencies;
    const { machineId } = worker;
    worker.slowness.markEvicted(attemptKeyOf(placedTask));
    log.info({ taskId: taskIdOfPlaced(placedTask), machineId }, 'task evicted from slow machine');
    const gracePeriodS = spec.checkpointIntervalS > 0 ? spec.checkpointS : 0;
    void transactions.commit('evict straggler', Priority.background, (draft) => {
      if (!leadership.requireLeadership(draft, role)) return false;
      return markForStop(draft, placedTask, gracePeriodS);
    });
  }
}
