/** Reads the status of jobs from the records that this node holds, which may lag behind the store. */
import type { DependencyStates } from '../jobs/dependency-states.js';
import type { ClusterState, JobView } from '../records/cluster-state.js';
import { decodeFinalJobRecord } from '../records/record-codecs.js';
import { finalJobKey } from '../records/record-keys.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { JobStatus } from './job-wire-codec.js';

/** What this node's records say about a job. */
export type JobReading =
  /**
   * The state can't change any more: the job has ended, or it or a job that it depends on has been cancelled. Records that this
   * node lacks can't contradict that.
   */
  | { kind: 'settled'; status: JobStatus }
  /** The state may have changed in the store. */
  | { kind: 'live'; status: JobStatus }
  /** The same for a job that waits for others; its state also depends on their records, some of which may be unknown here. */
  | { kind: 'waiting'; status: JobStatus; unknownDependencies: readonly string[] }
  /** This node has no record of the job, or can't decode it. */
  | { kind: 'missing' };

/** Where the records come from. */
export interface JobStatusReaderDependencies {
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  states: DependencyStates;
}

/** Answers from memory. */
export class JobStatusReader {
  constructor(private readonly dependencies: JobStatusReaderDependencies) {}

  /** Reads all records that the job's state depends on. */
  read(jobId: string): JobReading {
    const final = this.finalStatus(jobId);
    if (final !== undefined) return { kind: 'settled', status: final };
    const view = this.dependencies.clusterState.jobs.get(jobId);
    return view === undefined ? { kind: 'missing' } : this.readLive(view);
  }

  private finalStatus(jobId: string): JobStatus | undefined {
    const row = this.dependencies.transactions.read(finalJobKey(jobId));
    if (row.value === undefined) return undefined;
    const { state, taskCount } = decodeFinalJobRecord(row.value);
    return { jobId, state, done: state === 'done' ? taskCount : 0, running: 0 };
  }

  private readLive(view: JobView): JobReading {
    const { jobId, record, doneCount: done, placedCount: running } = view;
    switch (record.state) {
      case 'cancelled':
        return { kind: 'settled', status: { jobId, state: 'cancelled', done, running: 0 } };
      case 'active':
        return { kind: 'live', status: { jobId, state: running > 0 ? 'running' : 'queued', done, running } };
      case 'waiting':
        return this.readWaiting(jobId);
    }
  }

  /** A waiting job counts as cancelled as soon as any job that it depends on is. */
  private readWaiting(jobId: string): JobReading {
    const { clusterState, states } = this.dependencies;
    const { isAnyCancelled, unknown: unknownDependencies } = states.transitiveDependenciesOf(
      clusterState.dependencies.dependenciesOf(jobId),
    );
    if (isAnyCancelled) return { kind: 'settled', status: { jobId, state: 'cancelled', done: 0, running: 0 } };
    return { kind: 'waiting', status: { jobId, state: 'queued', done: 0, running: 0 }, unknownDependencies };
  }
}
