/**
 * Advances jobs that wait for their dependencies: releases a job when its last dependency is done, and cancels it when any of
 * them is cancelled. Driven by changes of the records, and by a sweep that covers missed events. Each step is one
 * compare-and-swap, so any node could take it; only the node that is responsible for the job's records does.
 */
import { isResponsibleFor } from '../leadership/responsibility.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { ClusterState } from '../records/cluster-state.js';
import { cancelWaitingJob, releaseJob } from '../records/dependency-mutations.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import type { DependencyStates } from './dependency-states.js';

/** What advancing waiting jobs needs from the other parts. */
export interface WaitingJobAdvancerDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  states: DependencyStates;
  clock: Clock;
  log: Log;
}

/** Takes at most one step at a time for each job. */
export class WaitingJobAdvancer {
  /** Jobs with a step in flight. */
  private readonly inFlight = new Set<string>();

  constructor(private readonly dependencies: WaitingJobAdvancerDependencies) {}

  /** Must be called when the record of a job has changed or has been deleted. */
  jobChanged(jobId: string): void {
    const { clusterState } = this.dependencies;
    const { dependencies: dependencyGraph } = clusterState;
    if (dependencyGraph.waitingCount === 0) return;
    if (dependencyGraph.isWaiting(jobId)) this.evaluate(jobId);
    const record = clusterState.jobs.get(jobId)?.record;
    if (record === undefined) {
      for (const dependent of [...dependencyGraph.dependentsOf(jobId)]) this.evaluate(dependent);
    } else if (record.state === 'cancelled') {
      this.cancelDependents(jobId);
    }
  }

  /** Level-triggered: evaluates all waiting jobs, so that a missed event only delays a step. */
  sweep(): void {
    for (const jobId of [...this.dependencies.clusterState.dependencies.waitingJobs]) this.evaluate(jobId);
  }

  /** Cancels all direct and indirect dependents that this node may advance. */
  private cancelDependents(jobId: string): void {
    const { dependencies: dependencyGraph } = this.dependencies.clusterState;
    const dependents = new Set(dependencyGraph.dependentsOf(jobId));
    // Iterating over a Set also visits the elements that are added during the iteration.
    for (const dependent of dependents)
      for (const next of dependencyGraph.dependentsOf(dependent)) dependents.add(next);
    for (const dependent of dependents) if (this.canAdvance(dependent)) this.cancel(dependent);
  }

  /** Whether this node is to take the next step of a waiting job, and no step is in flight yet. */
  private canAdvance(jobId: string): boolean {
    const { leadership } = this.dependencies;
    return !this.inFlight.has(jobId) && leadership.hasRecentStoreContact && isResponsibleFor(leadership, jobId);
  }

  /**
   * Takes the next step of a waiting job if it is due and this node may take it. Evaluates only the direct dependencies, so
   * that the cost of a sweep is linear in the length of a chain; after a missed event, a cancellation thus propagates along the
   * chain job by job.
   */
  private evaluate(jobId: string): void {
    const { clusterState, states } = this.dependencies;
    if (!this.canAdvance(jobId)) return;
    switch (states.stateOfAll(clusterState.dependencies.dependenciesOf(jobId))) {
      case 'done':
        return this.commitStep(jobId, 'release', (draft) => this.release(draft, jobId));
      case 'cancelled':
        return this.cancel(jobId);
      case 'unknown':
        return this.loadStates(jobId);
      case 'open':
        return;
    }
  }

  /** Reads the unknown states of a waiting job's direct dependencies, then evaluates the job again if that is enough. */
  private loadStates(jobId: string): void {
    const { clusterState, states, log } = this.dependencies;
    const dependencies = clusterState.dependencies.dependenciesOf(jobId);
    this.inFlight.add(jobId);
    void states
      .loadFinalStates(dependencies.filter((dependency) => states.stateOf(dependency) === 'unknown'))
      .then(() => {
        this.inFlight.delete(jobId);
        const state = states.stateOfAll(clusterState.dependencies.dependenciesOf(jobId));
        if (state !== 'unknown') this.evaluate(jobId);
        else log.debug({ jobId }, 'dependency state not known yet');
      });
  }

  private cancel(jobId: string): void {
    this.commitStep(jobId, 'cancel', (draft) => cancelWaitingJob(draft, jobId));
  }

  private release(draft: TransactionDraft, jobId: string): boolean {
    return releaseJob(draft, jobId, Math.round(this.dependencies.clock.wall()));
  }

  private commitStep(jobId: string, step: 'release' | 'cancel', decide: (draft: TransactionDraft) => boolean): void {
    const { transactions, log } = this.dependencies;
    this.inFlight.add(jobId);
    void transactions.commit(step, Priority.start, decide).then((outcome) => {
      this.inFlight.delete(jobId);
      if (outcome.kind === 'done') log.info({ jobId, step }, 'waiting job advanced');
    });
  }
}
