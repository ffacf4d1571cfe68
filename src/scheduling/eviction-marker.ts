import { STOPPING_MS } from '../constants/scheduling.js';
import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import { markForStop } from '../records/placement-mutations.js';
import type { JobSpec } from '../domain/job.js';
import { attemptKeyOf } from '../workers/reconciliation.js';
import { CLUSTER_LEADER_ROLE } from '../domain/role.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { Log } from '../logging/log.js';

/** Marks tasks for eviction on the cluster leader's behalf, and remembers which until their records show it. */
export class EvictionMarker {
  private readonly evictedAt = new Map<string, number>();

  constructor(
    private readonly leadership: RoleLeadership,
    private readonly clusterState: ClusterState,
    private readonly transactions: TransactionBatcher,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Attempts that were lately asked to stop, with the steady ms. */
  *recentEvictions(): Iterable<{ attempt: string; at: number }> {
    for (const [attempt, at] of this.evictedAt) if (this.clock.now() - at < STOPPING_MS) yield { attempt, at };
  }

  /** A former leader has asked the attempt to stop. */
  restoreEviction(attempt: string, at: number): void {
    if (!this.evictedAt.has(attempt)) this.evictedAt.set(attempt, at);
  }

  isStopping(placedTask: PlacedTask): boolean {
    if (placedTask.placement.gracePeriodS !== null) return true;
    if (this.evictedAt.size === 0) return false;
    const since = this.evictedAt.get(attemptKeyOf(placedTask));
    return since !== undefined && this.clock.now() - since < STOPPING_MS;
  }

  evict(placedTask: PlacedTask, spec: JobSpec, gracePeriodS: number, reason: string): void {
    const { jobId } = placedTask;
    // A gang stops whole: every member must be told within `gang_peer_s` of the first.
    const placedTasks: PlacedTask[] = [];
    if (spec.kind === 'gang') {
      for (const [taskIndex, placement] of this.clusterState.jobs.get(jobId)?.knownPlacements() ?? []) {
        if (placement.kind === 'placed' && placement.attempt === placedTask.placement.attempt)
          placedTasks.push({ jobId, taskIndex, placement });
      }
    } else placedTasks.push(placedTask);
    const now = this.clock.now();
    for (const [key, at] of this.evictedAt) if (now - at > STOPPING_MS) this.evictedAt.delete(key);
    for (const each of placedTasks) this.evictedAt.set(attemptKeyOf(each), now);
    this.log.debug(
      { jobId, machineId: placedTask.placement.machineId, taskCount: placedTasks.length, gracePeriodS, reason },
      'task eviction requested',
    );
    void this.transactions.commit(
      'stop',
      Priority.start,
      (draft) => {
        if (!this.leadership.requireLeadership(draft, CLUSTER_LEADER_ROLE)) return false;
        let marked = false;
        for (const each of placedTasks) {
          if (markForStop(draft, jobId, each.taskIndex, each.placement.machineId, each.placement.attempt, gracePeriodS))
            marked = true;
        }
        return marked;
      },
      undefined,
      this.clusterState.batchingHintFor(jobId, placedTask.taskIndex),
    );
  }
}
