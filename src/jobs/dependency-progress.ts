/**
 * Advances jobs that wait for their dependencies: releases them when the last dependency is done, and cancels them with any.
 * Driven by changes of the records, and by a sweep that finds what an event has missed. Any node may take a step, since each
 * is one compare-and-swap; the node responsible for a job's records does.
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

/** What advancing jobs needs of the other parts. */
export interface DependencyProgressDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  states: DependencyStates;
  clock: Clock;
  log: Log;
}

/** Takes at most one step of a job at a time. */
export class DependencyProgress {
  /** Jobs with a step in flight. */
  private readonly inFlight = new Set<string>();

  constructor(private readonly dependencies: DependencyProgressDependencies) {}

  /** To be called when the record of a job has changed or was deleted. */
  jobChanged(jobId: string): void {
    const { clusterState } = this.dependencies;
    const { dependencies } = clusterState;
    if (dependencies.waitingCount === 0) return;
    if (dependencies.isWaiting(jobId)) this.evaluate(jobId);
    const record = clusterState.jobs.get(jobId)?.record;
    if (record === undefined) {
      for (const dependent of [...dependencies.dependentsOf(jobId)]) this.evaluate(dependent);
    } else if (record.state === 'cancelled') {
      this.cancelDependents(jobId);
    }
  }

  /** Level-triggered: evaluates all waiting jobs, whatever events were missed. */
  sweep(): void {
    for (const jobId of [...this.dependencies.clusterState.dependencies.waitingJobs]) this.evaluate(jobId);
  }

  /** Cancels all direct and indirect dependents that are this node's to advance. */
  private cancelDependents(jobId: string): void {
    const { dependencies } = this.dependencies.clusterState;
    const dependents = new Set(dependencies.dependentsOf(jobId));
    // Iteration over a set reaches what is added to it meanwhile.
    for (const each of dependents) for (const next of dependencies.dependentsOf(each)) dependents.add(next);
    for (const each of dependents) if (this.mayAdvance(each)) this.cancel(each);
  }

  /** Is the next step of a waiting job to be taken by this node, and not being taken yet? */
  private mayAdvance(jobId: string): boolean {
    const { leadership } = this.dependencies;
    return !this.inFlight.has(jobId) && leadership.hasRecentStoreContact && isResponsibleFor(leadership, jobId);
  }

  /**
   * Takes the step that a waiting job is ready for, if this node is to. Only its direct dependencies are evaluated, so that a
   * sweep over a long chain costs its length; a cancellation that no event has told of passes from one job to the next.
   */
  private evaluate(jobId: string): void {
    const { clusterState, states } = this.dependencies;
    if (!this.mayAdvance(jobId)) return;
    switch (states.stateOfAll(clusterState.dependencies.dependenciesOf(jobId))) {
      case 'done':
        return this.commitStep(jobId, 'release', (draft) => this.release(draft, jobId));
      case 'cancelled':
        return this.cancel(jobId);
      case 'unknown':
        return this.learn(jobId);
      case 'open':
        return;
    }
  }

  /** Reads how the direct dependencies of a waiting job have ended, and takes the step that follows. */
  private learn(jobId: string): void {
    const { clusterState, states, log } = this.dependencies;
    const dependencies = clusterState.dependencies.dependenciesOf(jobId);
    this.inFlight.add(jobId);
    void states.learn(dependencies.filter((each) => states.stateOf(each) === 'unknown')).then(() => {
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
