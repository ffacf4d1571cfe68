/** Ends jobs whose tasks have all ended, and deletes what is left of the records of ended jobs. */
import { END_WRITES } from '../constants/records.js';
import { CLUSTER_LEADER_ROLE } from '../domain/role.js';
import { isResponsibleFor } from '../leadership/responsibility.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { ClusterState, JobView } from '../records/cluster-state.js';
import { releaseJob } from '../records/dependency-mutations.js';
import { endJob } from '../records/placement-mutations.js';
import { jobKey, placementChunkKey } from '../records/record-keys.js';
import type { Replica } from '../store/replica.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import type { DependencyStates } from './dependency-states.js';

/** What ending jobs needs of the other parts. */
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

/** Has nothing of the job left to run, so that its end can be recorded? */
export const hasJobEnded = (view: JobView): boolean =>
  view.placed === 0 && (view.record.state === 'cancelled' || view.isComplete);

/** Records the end of each job once. */
export class JobCompletion {
  /** Jobs whose end is being recorded. */
  private readonly inFlight = new Set<string>();

  constructor(private readonly dependencies: JobCompletionDependencies) {}

  /** Records the end of a job whose tasks have all ended. Any node may: the record decides. */
  async complete(jobId: string): Promise<void> {
    if (this.inFlight.has(jobId)) return;
    this.inFlight.add(jobId);
    const { clusterState, transactions, log } = this.dependencies;
    // Dependents wait for the end of the job, and its user for the end of the last of them.
    const priority = clusterState.dependencies.hasDependents(jobId) ? Priority.start : Priority.record;
    const outcome = await transactions.commit('end', priority, (draft) => this.recordEnd(draft, jobId));
    this.inFlight.delete(jobId);
    if (outcome.kind === 'done') log.info({ jobId }, 'job ended');
  }

  private recordEnd(draft: TransactionDraft, jobId: string): boolean {
    const { clusterState, replica, clock, maxTransactionWrites } = this.dependencies;
    const row = replica.get(jobKey(jobId));
    const isCancelled = clusterState.jobs.get(jobId)?.record.state === 'cancelled';
    // What happened before the cancellation must have been seen: a start that it didn't prevent may be among the placements.
    if (isCancelled && replica.revision < row.modRevision) return false;
    const released = isCancelled ? [] : this.dependentsToRelease(jobId);
    if (!endJob(draft, jobId, maxTransactionWrites - released.length)) return false;
    for (const dependent of released) releaseJob(draft, dependent, Math.round(clock.wall()));
    return true;
  }

  /** Jobs that wait for this one alone, as many as fit into its transaction; others are released by themselves. */
  private dependentsToRelease(jobId: string): string[] {
    const { clusterState, states, maxTransactionWrites } = this.dependencies;
    const { dependencies } = clusterState;
    const waitsForNoOther = (dependent: string): boolean => {
      const others = dependencies.dependenciesOf(dependent).filter((each) => each !== jobId);
      return states.stateOfAll(others) === 'done';
    };
    const released: string[] = [];
    for (const dependent of dependencies.dependentsOf(jobId)) {
      if (released.length === maxTransactionWrites - END_WRITES) break;
      if (waitsForNoOther(dependent)) released.push(dependent);
    }
    return released;
  }

  /** Level-triggered: whatever events were missed, the leader of a job's partition ends the job. */
  completeAll(): void {
    const { clusterState, leadership } = this.dependencies;
    for (const [jobId, view] of clusterState.jobs)
      if (hasJobEnded(view) && isResponsibleFor(leadership, jobId)) void this.complete(jobId);
    if (leadership.isLeader) this.deleteLeftoverChunks();
  }

  /** A job's record is deleted at its end, and its placements can't change after: their remaining chunks are deleted. */
  private deleteLeftoverChunks(): void {
    const { clusterState, leadership, transactions, maxTransactionWrites } = this.dependencies;
    for (const { jobId, chunks } of clusterState.leftoverChunks()) {
      void transactions.commit('sweep', Priority.background, (draft) => {
        if (!leadership.requireLeadership(draft, CLUSTER_LEADER_ROLE) || draft.get(jobKey(jobId)) !== undefined)
          return false;
        // The sweep before this one may have deleted some, or all, in the meantime.
        const remaining = chunks
          .map((chunk) => placementChunkKey(jobId, chunk))
          .filter((key) => draft.peek(key) !== undefined);
        for (const key of remaining.slice(0, maxTransactionWrites)) draft.delete(key);
        return remaining.length > 0;
      });
    }
  }
}
