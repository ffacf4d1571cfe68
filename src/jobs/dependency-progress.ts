/**
 * Moves on jobs that wait for others: lets them start when the last job before them is done, and cancels them with any job
 * before them. Driven by changes of the records, and by a sweep that finds what an event has missed. Any node may take a
 * step, since each is one conditional write; the node responsible for a job's records does.
 */
import type { ClusterState } from '../records/cluster-state.js';
import { cancelWaitingJob, releaseJob } from '../records/dependency-mutations.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { DependencyStates } from './dependency-states.js';
import { isResponsibleFor } from '../leadership/responsibility.js';

export interface DependencyProgressDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  states: DependencyStates;
  clock: Clock;
  log: Log;
}

export class DependencyProgress {
  /** Jobs of which a step is being recorded. */
  private readonly moving = new Set<string>();

  constructor(private readonly dependencies: DependencyProgressDependencies) {}

  /** The record of a job has changed, or is gone. */
  jobChanged(jobId: string): void {
    const { clusterState } = this.dependencies;
    const { dependencies } = clusterState;
    if (dependencies.waitingCount === 0) return;
    if (dependencies.isWaiting(jobId)) this.consider(jobId);
    const record = clusterState.jobs.get(jobId)?.record;
    if (record === undefined) for (const each of [...dependencies.dependentsOf(jobId)]) this.consider(each);
    else if (record.state === 'cancelled') this.considerAllAfter(jobId);
  }

  /** Level-triggered: whatever was missed. */
  sweep(): void {
    for (const jobId of [...this.dependencies.clusterState.dependencies.waitingJobs]) this.consider(jobId);
  }

  private considerAllAfter(jobId: string): void {
    const { dependencies } = this.dependencies.clusterState;
    const found = new Set(dependencies.dependentsOf(jobId));
    for (const each of found) for (const next of dependencies.dependentsOf(each)) found.add(next);
    for (const each of found) if (this.isOurs(each)) this.cancel(each);
  }

  /** Is the next step of a waiting job to be taken by this node, and not being taken yet? */
  private isOurs(jobId: string): boolean {
    const { leadership } = this.dependencies;
    return !this.moving.has(jobId) && leadership.isInTouchWithStore && isResponsibleFor(leadership, jobId);
  }

  /**
   * Takes the step that a waiting job is ready for, if this node is to. Only the jobs that it names are looked at, so that a sweep
   * over a long chain costs its length; a cancellation that no event has told of goes from one job to the next.
   */
  private consider(jobId: string): void {
    const { clusterState, states } = this.dependencies;
    if (!this.isOurs(jobId)) return;
    switch (states.stateOfAll(clusterState.dependencies.dependenciesOf(jobId))) {
      case 'done':
        return this.move(jobId, 'release', (draft) => this.release(draft, jobId));
      case 'cancelled':
        return this.cancel(jobId);
      case 'unknown':
        return this.learn(jobId);
      case 'open':
        return;
    }
  }

  /** Reads how the jobs that a waiting one names have ended, and takes the step that follows. */
  private learn(jobId: string): void {
    const { clusterState, states, log } = this.dependencies;
    const predecessors = clusterState.dependencies.dependenciesOf(jobId);
    this.moving.add(jobId);
    void states.learn(predecessors.filter((each) => states.stateOf(each) === 'unknown')).then(() => {
      this.moving.delete(jobId);
      const known = states.stateOfAll(clusterState.dependencies.dependenciesOf(jobId));
      if (known !== 'unknown') this.consider(jobId);
      else log.debug({ job: jobId }, 'how a job before it has ended is not known yet');
    });
  }

  private cancel(jobId: string): void {
    this.move(jobId, 'cancel', (draft) => cancelWaitingJob(draft, jobId));
  }

  private release(draft: TransactionDraft, jobId: string): boolean {
    return releaseJob(draft, jobId, Math.round(this.dependencies.clock.wall()));
  }

  private move(jobId: string, name: string, decide: (draft: TransactionDraft) => boolean): void {
    const { transactions, log } = this.dependencies;
    this.moving.add(jobId);
    void transactions.commit(name, Priority.start, decide).then((outcome) => {
      this.moving.delete(jobId);
      if (outcome.kind === 'done') log.info({ job: jobId, step: name }, 'waiting job moved on');
    });
  }
}
