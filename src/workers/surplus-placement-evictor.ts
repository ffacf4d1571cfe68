import { MAX_REPORTED_TASKS_BYTES } from '../constants/worker-report.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import { Priority } from '../net/token-bucket.js';
import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import { markForStop } from '../records/placement-mutations.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import { attemptKeyOf, attemptOf } from './attempt-key.js';
import type { Worker } from './worker.js';

/** The records of jobs and placements, and the transactions that record evictions. */
export interface SurplusPlacementEvictorDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  log: Log;
}

/**
 * Evicts tasks that wait for space in the report of a machine with more placed tasks than one report can name. Two controllers
 * that place tasks there at the same time can exceed the limit, and so can a controller of a version without it. Only tasks
 * whose launch was never sent are evicted: no running task is stopped, and the planner places the others elsewhere. The members
 * of a gang are left to the gang's own timeout, which ends all of them.
 */
export class SurplusPlacementEvictor {
  /** Attempt keys of the evictions that are being recorded. */
  private readonly pendingEvictions = new Set<string>();

  constructor(private readonly dependencies: SurplusPlacementEvictorDependencies) {}

  /** Evicts from all these machines; `roleOf` gives the role whose leader serves a machine. */
  evict(workers: Iterable<Worker>, roleOf: (machineId: string) => string): void {
    const { leadership, clusterState } = this.dependencies;
    if (!leadership.hasRecentStoreContact) return;
    for (const worker of workers) {
      const placedBytes = clusterState.usedResourcesOn(worker.machineId)?.reportBytes ?? 0;
      if (placedBytes > MAX_REPORTED_TASKS_BYTES) this.evictFrom(worker, placedBytes, roleOf(worker.machineId));
    }
  }

  private evictFrom(worker: Worker, placedBytes: number, role: string): void {
    const placed = [...this.dependencies.clusterState.tasksOn(worker.machineId)];
    const leavingBytes = this.bytesOf(placed.filter((each) => this.isLeaving(each)));
    const evictable = placed.filter((each) => this.isEvictable(worker, each));
    const evicted = this.lastTasks(evictable, placedBytes - leavingBytes - MAX_REPORTED_TASKS_BYTES);
    if (evicted.length === 0) return;
    const fields = { machineId: worker.machineId, taskCount: evicted.length };
    this.dependencies.log.info(fields, 'tasks evicted for lack of space in reports');
    for (const placedTask of evicted) void this.recordEviction(placedTask, role);
  }

  /** As many of the last tasks as take up the bytes, or all. */
  private lastTasks(placedTasks: readonly PlacedTask[], bytes: number): PlacedTask[] {
    const last: PlacedTask[] = [];
    let remainingBytes = bytes;
    for (const placedTask of [...placedTasks].reverse()) {
      if (remainingBytes <= 0) break;
      remainingBytes -= this.bytesOf([placedTask]);
      last.push(placedTask);
    }
    return last;
  }

  private bytesOf(placedTasks: readonly PlacedTask[]): number {
    const { jobs } = this.dependencies.clusterState;
    return placedTasks.reduce((sum, { jobId }) => sum + (jobs.get(jobId)?.record.spec.reportBytes ?? 0), 0);
  }

  private isLeaving(placedTask: PlacedTask): boolean {
    return placedTask.placement.gracePeriodS !== null || this.pendingEvictions.has(attemptKeyOf(placedTask));
  }

  /** Whether the worker neither has the task nor can get it by a launch that was sent before. */
  private isEvictable(worker: Worker, placedTask: PlacedTask): boolean {
    const spec = this.dependencies.clusterState.jobs.get(placedTask.jobId)?.record.spec;
    const attempt = attemptOf(placedTask);
    const { agentEpoch } = placedTask.placement;
    if (this.isLeaving(placedTask) || spec === undefined || spec.kind === 'gang') return false;
    if (agentEpoch !== worker.agentEpoch) return false;
    if (worker.tasks.get(attempt.taskId)?.attempt === attempt.attempt) return false;
    return worker.launches.isRuledOut(attempt, worker.fencingToken);
  }

  private async recordEviction(placedTask: PlacedTask, role: string): Promise<void> {
    const { leadership, transactions } = this.dependencies;
    const attemptKey = attemptKeyOf(placedTask);
    this.pendingEvictions.add(attemptKey);
    await transactions.commit('evict surplus task', Priority.background, (draft) => {
      if (!leadership.requireLeadership(draft, role)) return false;
      return markForStop(draft, placedTask, 0);
    });
    this.pendingEvictions.delete(attemptKey);
  }
}
