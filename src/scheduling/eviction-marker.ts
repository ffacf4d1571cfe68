/** Marks tasks for eviction as cluster leader, and keeps track of them until their placement records show it. */
import { EVICTION_PENDING_MS } from '../constants/scheduling.js';
import type { JobSpec } from '../domain/job.js';
import { CLUSTER_LEADER_ROLE } from '../domain/role.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import { markForStop } from '../records/placement-mutations.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import { attemptKeyOf } from '../workers/attempt-key.js';

/** The state that tasks are read from, and the transactions in which they are marked. */
export interface EvictionMarkerDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  clock: Clock;
  log: Log;
}

/** The evictions of one cluster leader; its successor can restore them. All times are monotonic ms of this node. */
export class EvictionMarker {
  /** When each attempt was evicted, by attempt key. */
  private readonly evictedAtMs = new Map<string, number>();

  constructor(private readonly dependencies: EvictionMarkerDependencies) {}

  /** Attempts with a recent stop request, as attempt keys with the time of the request. */
  *recentEvictions(): Iterable<{ attempt: string; at: number }> {
    for (const [attempt, at] of this.evictedAtMs) if (this.isRecent(at)) yield { attempt, at };
  }

  /** Restores an eviction that a former leader requested, unless this node has recorded one for the attempt. */
  restoreEviction(attempt: string, at: number): void {
    if (!this.evictedAtMs.has(attempt)) this.evictedAtMs.set(attempt, at);
  }

  /** Whether the task is about to exit: its placement record says so, or its eviction has been requested recently. */
  isBeingEvicted(placedTask: PlacedTask): boolean {
    if (placedTask.placement.gracePeriodS !== null) return true;
    // Usually nothing is being evicted, and building the key can be skipped.
    if (this.evictedAtMs.size === 0) return false;
    const atMs = this.evictedAtMs.get(attemptKeyOf(placedTask));
    return atMs !== undefined && this.isRecent(atMs);
  }

  /** Requests that the task, or its whole gang, stop within `gracePeriodS`. `reason` is only logged. */
  evict(placedTask: PlacedTask, spec: JobSpec, gracePeriodS: number, reason: string): void {
    const { clusterState, transactions, log } = this.dependencies;
    const { jobId, taskIndex, placement } = placedTask;
    const placedTasks = spec.kind === 'gang' ? this.gangMembersOf(placedTask) : [placedTask];
    this.recordEvictions(placedTasks);
    log.debug(
      { jobId, machineId: placement.machineId, taskCount: placedTasks.length, gracePeriodS, reason },
      'task eviction requested',
    );
    void transactions.commit('stop', Priority.start, (draft) => this.markAll(draft, placedTasks, gracePeriodS), {
      batchingHint: clusterState.batchingHintFor(jobId, taskIndex),
    });
  }

  /** All placed members of the task's gang. A gang stops as a whole: each must be told within the peer timeout of the first. */
  private gangMembersOf({ jobId, placement: { attempt } }: PlacedTask): PlacedTask[] {
    const members: PlacedTask[] = [];
    for (const [taskIndex, placement] of this.dependencies.clusterState.jobs.get(jobId)?.storedPlacements() ?? []) {
      if (placement.kind === 'placed' && placement.attempt === attempt) members.push({ jobId, taskIndex, placement });
    }
    return members;
  }

  private recordEvictions(placedTasks: readonly PlacedTask[]): void {
    const nowMs = this.dependencies.clock.now();
    for (const [attempt, atMs] of this.evictedAtMs) {
      if (nowMs - atMs > EVICTION_PENDING_MS) this.evictedAtMs.delete(attempt);
    }
    for (const placedTask of placedTasks) this.evictedAtMs.set(attemptKeyOf(placedTask), nowMs);
  }

  /** Runs within the transaction; returns false if there is nothing to commit. */
  private markAll(draft: TransactionDraft, placedTasks: readonly PlacedTask[], gracePeriodS: number): boolean {
    if (!this.dependencies.leadership.requireLeadership(draft, CLUSTER_LEADER_ROLE)) return false;
    let isAnyMarked = false;
    for (const placedTask of placedTasks) if (markForStop(draft, placedTask, gracePeriodS)) isAnyMarked = true;
    return isAnyMarked;
  }

  private isRecent(atMs: number): boolean {
    return this.dependencies.clock.now() - atMs < EVICTION_PENDING_MS;
  }
}
