import { STOPPING_MS } from '../constants/scheduling.js';
import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import { markForStop } from '../records/placement-mutations.js';
import type { JobSpec } from '../domain/job.js';
import { attemptKeyOf } from '../workers/attempt-key.js';
import { CLUSTER_LEADER_ROLE } from '../domain/role.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { Log } from '../logging/log.js';

/** Marks places for stopping on the leader's behalf, and remembers which until the ledger shows it. */
export class EvictionMarker {
  private readonly stoppedAt = new Map<string, number>();

  constructor(
    private readonly leadership: RoleLeadership,
    private readonly clusterState: ClusterState,
    private readonly transactions: TransactionBatcher,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** Attempts that were lately asked to stop, with the steady ms. */
  *recentEvictions(): Iterable<{ attempt: string; at: number }> {
    for (const [attempt, at] of this.stoppedAt) if (this.clock.now() - at < STOPPING_MS) yield { attempt, at };
  }

  /** A former leader has asked the attempt to stop. */
  restoreEviction(attempt: string, at: number): void {
    if (!this.stoppedAt.has(attempt)) this.stoppedAt.set(attempt, at);
  }

  isStopping(placedTask: PlacedTask): boolean {
    if (placedTask.placement.gracePeriodS !== null) return true;
    if (this.stoppedAt.size === 0) return false;
    const since = this.stoppedAt.get(attemptKeyOf(placedTask));
    return since !== undefined && this.clock.now() - since < STOPPING_MS;
  }

  evict(placedTask: PlacedTask, spec: JobSpec, gracePeriodS: number, why: string): void {
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
    for (const [key, at] of this.stoppedAt) if (now - at > STOPPING_MS) this.stoppedAt.delete(key);
    for (const each of placedTasks) this.stoppedAt.set(attemptKeyOf(each), now);
    this.log.debug(
      { job: jobId, machine: placedTask.placement.machineId, taskCount: placedTasks.length, gracePeriodS, why },
      'stop',
    );
    void this.transactions.commit(
      'stop',
      Priority.start,
      (draft) => {
        if (!this.leadership.requireLeadership(draft, CLUSTER_LEADER_ROLE)) return false;
        let marked = false;
        for (const each of placedTasks) {
          if (markForStop(draft, each, gracePeriodS)) marked = true;
        }
        return marked;
      },
      { batchingHint: this.clusterState.batchingHintFor(jobId, placedTask.taskIndex) },
    );
  }
}
