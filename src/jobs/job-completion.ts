/** Records the end of jobs whose tasks have all ended, and deletes leftover placement chunks of ended jobs. */
import { MIN_JOB_END_WRITES } from '../constants/records.js';
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

/** What recording the end of jobs needs from the other parts. */
export interface JobCompletionDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  replica: Replica;
  transactions: TransactionBatcher;
  states: DependencyStates;
  clock: Clock;
  log: Log;
  /** Maximum number of writes in one transaction. */
  maxTransactionWrites: number;
}

/** Whether no task of the job is running or still has to run, so that the job's end can be recorded. */
export const hasJobEnded = (view: JobView): boolean =>
  view.placedCount === 0 && (view.record.state === 'cancelled' || view.isComplete);

/** Records the end of each job once. */
export class JobCompletion {
  /** Jobs whose end is being recorded. */
  private readonly inFlight = new Set<string>();

  constructor(private readonly dependencies: JobCompletionDependencies) {}

  /** Records the end of a job whose tasks have all ended. Any node may, since the transaction checks the job's record. */
  async complete(jobId: string): Promise<void> {
    if (this.inFlight.has(jobId)) return;
    this.inFlight.add(jobId);
    const { clusterState, transactions, log } = this.dependencies;
    // The end of a job with dependents is urgent: they wait for it, and their user waits for the last of them.
    const priority = clusterState.dependencies.hasDependents(jobId) ? Priority.start : Priority.record;
    const outcome = await transactions.commit('end', priority, (draft) => this.recordEnd(draft, jobId));
    this.inFlight.delete(jobId);
    if (outcome.kind === 'done') log.info({ jobId }, 'job ended');
  }

  private recordEnd(draft: TransactionDraft, jobId: string): boolean {
    const { clusterState, replica, clock, maxTransactionWrites } = this.dependencies;
    const row = replica.get(jobKey(jobId));
    const isCancelled = clusterState.jobs.get(jobId)?.record.state === 'cancelled';
    // The replica must hold all changes before the cancellation: they may include a start that it did not prevent.
    if (isCancelled && replica.revision < row.modRevision) return false;
    const released = isCancelled ? [] : this.dependentsToRelease(jobId);
    if (!endJob(draft, jobId, maxTransactionWrites - released.length)) return false;
    for (const dependent of released) releaseJob(draft, dependent, Math.round(clock.wall()));
    return true;
  }

  /** Dependents that wait for this job only, as many as fit into its transaction; the others are released separately. */
  private dependentsToRelease(jobId: string): string[] {
    const { clusterState, states, maxTransactionWrites } = this.dependencies;
    const { dependencies: dependencyGraph } = clusterState;
    const waitsForThisJobOnly = (dependent: string): boolean => {
      const others = dependencyGraph.dependenciesOf(dependent).filter((dependency) => dependency !== jobId);
      return states.stateOfAll(others) === 'done';
    };
    const released: string[] = [];
    for (const dependent of dependencyGraph.dependentsOf(jobId)) {
      if (released.length === maxTransactionWrites - MIN_JOB_END_WRITES) break;
      if (waitsForThisJobOnly(dependent)) released.push(dependent);
    }
    return released;
  }

  /** Level-triggered: the responsible node ends each job even if events were missed. */
  completeAll(): void {
    const { clusterState, leadership } = this.dependencies;
    for (const [jobId, view] of clusterState.jobs)
      if (hasJobEnded(view) && isResponsibleFor(leadership, jobId)) void this.complete(jobId);
    if (leadership.isClusterLeader) this.deleteLeftoverChunks();
  }

  /** Deletes the remaining placement chunks of ended jobs; they can't change any more, since the job's record is deleted. */
  private deleteLeftoverChunks(): void {
    const { clusterState, leadership, transactions, maxTransactionWrites } = this.dependencies;
    for (const { jobId, chunks } of clusterState.leftoverChunks()) {
      void transactions.commit('sweep', Priority.background, (draft) => {
        if (!leadership.requireLeadership(draft, CLUSTER_LEADER_ROLE) || draft.get(jobKey(jobId)) !== undefined)
          return false;
        // The previous sweep may have deleted some or all of them in the meantime.
        const remaining = chunks
          .map((chunk) => placementChunkKey(jobId, chunk))
          .filter((key) => draft.getWithoutCondition(key) !== undefined);
        for (const key of remaining.slice(0, maxTransactionWrites)) draft.delete(key);
        return remaining.length > 0;
      });
    }
  }
}
