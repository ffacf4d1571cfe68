/** Ends jobs whose tasks are all over, and removes what is left of the records of ended jobs. */
import { END_WRITES } from '../constants/records.js';
import type { ClusterState } from '../records/cluster-state.js';
import { endJob } from '../records/placement-mutations.js';
import { releaseJob } from '../records/dependency-mutations.js';
import { jobKey, placementChunkKey } from '../records/record-keys.js';
import { CLUSTER_LEADER_ROLE } from '../domain/role.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import { isResponsibleFor } from '../leadership/responsibility.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import type { Replica } from '../store/replica.js';
import type { Log } from '../logging/log.js';
import type { DependencyStates } from './dependency-states.js';

export interface JobCompletionDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  replica: Replica;
  transactions: TransactionBatcher;
  states: DependencyStates;
  clock: Clock;
  log: Log;
  /** Changes that one transaction may hold. */
  maxTransactionWrites: number;
}

export class JobCompletion {
  /** Jobs whose end is being recorded. */
  private readonly ending = new Set<string>();

  constructor(private readonly dependencies: JobCompletionDependencies) {}

  /** Records the end of a job whose tasks are all over. Any node may: the record decides. */
  async complete(jobId: string): Promise<void> {
    if (this.ending.has(jobId)) return;
    this.ending.add(jobId);
    const { clusterState, transactions, log } = this.dependencies;
    // Others wait for the end of a job in a pipeline, and its user for the end of the pipeline.
    const priority = clusterState.dependencies.hasDependents(jobId) ? Priority.start : Priority.record;
    const outcome = await transactions.commit('end', priority, (draft) => this.recordEnd(draft, jobId));
    this.ending.delete(jobId);
    if (outcome.kind === 'done') log.info({ job: jobId }, 'job over');
  }

  private recordEnd(draft: TransactionDraft, jobId: string): boolean {
    const { clusterState, replica, clock, maxTransactionWrites } = this.dependencies;
    const row = replica.get(jobKey(jobId));
    const isCancelled = clusterState.jobs.get(jobId)?.record.state === 'cancelled';
    // What happened before a withdrawal must have been seen: a start that it didn't prevent may be in the ledger.
    if (isCancelled && replica.revision < row.modRevision) return false;
    const next = isCancelled ? [] : this.successorsToRelease(jobId);
    if (!endJob(draft, jobId, maxTransactionWrites - next.length)) return false;
    for (const successor of next) releaseJob(draft, successor, Math.round(clock.wall()));
    return true;
  }

  /** Jobs that wait for this one alone, as many as fit into its transaction; others are let start by themselves. */
  private successorsToRelease(jobId: string): string[] {
    const { clusterState, states, maxTransactionWrites } = this.dependencies;
    const { dependencies } = clusterState;
    const waitsForNoOther = (successor: string): boolean => {
      const others = dependencies.dependenciesOf(successor).filter((each) => each !== jobId);
      return states.stateOfAll(others) === 'done';
    };
    const next: string[] = [];
    for (const successor of dependencies.dependentsOf(jobId)) {
      if (next.length === maxTransactionWrites - END_WRITES) break;
      if (waitsForNoOther(successor)) next.push(successor);
    }
    return next;
  }

  /** Level-triggered: whatever was missed, the owner of a job's partition ends the job. */
  completeAll(): void {
    const { clusterState, leadership } = this.dependencies;
    for (const [jobId, view] of clusterState.jobs) {
      const isOver = view.placed === 0 && (view.record.state === 'cancelled' || view.isComplete);
      if (isOver && isResponsibleFor(leadership, jobId)) void this.complete(jobId);
    }
    if (leadership.isLeader) this.sweepLedgers();
  }

  /** A job's record goes with its end, and its ledger can't change after: what is left of it is dropped. */
  private sweepLedgers(): void {
    const { clusterState, leadership, transactions, maxTransactionWrites } = this.dependencies;
    for (const { jobId, chunks } of clusterState.leftoverChunks()) {
      void transactions.commit('sweep', Priority.background, (draft) => {
        if (!leadership.requireLeadership(draft, CLUSTER_LEADER_ROLE) || draft.get(jobKey(jobId)) !== undefined)
          return false;
        // The sweep before this one may have dropped some, or all, in the meantime.
        const left = chunks
          .map((chunk) => placementChunkKey(jobId, chunk))
          .filter((key) => draft.peek(key) !== undefined);
        for (const key of left.slice(0, maxTransactionWrites)) draft.delete(key);
        return left.length > 0;
      });
    }
  }
}
