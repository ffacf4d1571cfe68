/**
 * What is known of the jobs that a waiting job depends on. That a job was cancelled or is done is final, however it was
 * learnt; how a job ended that is no longer in the replica of the live records has to be read, unless a peer has told.
 */
import { Priority } from '../net/token-bucket.js';
import type { ClusterState } from '../records/cluster-state.js';
import { decodeFinalJobRecord } from '../records/record-codecs.js';
import { finalJobKey, jobKey } from '../records/record-keys.js';
import type { Replica } from '../store/replica.js';
import type { StoreClient } from '../store/store-client.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';

/** `unknown`: not among the live jobs, and nothing says whether or how it has ended. */
export type DependencyState = 'open' | 'done' | 'cancelled' | 'unknown';

/** What is known of all direct and indirect dependencies of a job. */
export interface Ancestry {
  isCancelled: boolean;
  /** Jobs of which it is not known how they have ended. */
  unknown: string[];
}

/** Where states are read from. */
export interface DependencyStatesDependencies {
  clusterState: ClusterState;
  replica: Replica;
  transactions: TransactionBatcher;
  client: StoreClient;
}

/** Answers from memory; `learn` reads what is missing. */
export class DependencyStates {
  /** Reads of final records in flight, by job. */
  private readonly readsInFlight = new Map<string, Promise<void>>();

  constructor(private readonly dependencies: DependencyStatesDependencies) {}

  /** The state of one job, as far as it is known here. */
  stateOf(jobId: string): DependencyState {
    const { clusterState, replica, transactions } = this.dependencies;
    const record = clusterState.jobs.get(jobId)?.record;
    if (record !== undefined) return record.state === 'cancelled' ? 'cancelled' : 'open';
    const finalRecord = transactions.read(finalJobKey(jobId)).value;
    if (finalRecord !== undefined) return decodeFinalJobRecord(finalRecord).state === 'done' ? 'done' : 'cancelled';
    // A record that can't be read is open for all that is known.
    return replica.get(jobKey(jobId)).value === undefined ? 'unknown' : 'open';
  }

  /** `done`: a job with these dependencies may start; `cancelled`: it never may. */
  stateOfAll(jobIds: readonly string[]): DependencyState {
    const states = jobIds.map((jobId) => this.stateOf(jobId));
    if (states.includes('cancelled')) return 'cancelled';
    if (states.includes('unknown')) return 'unknown';
    return states.includes('open') ? 'open' : 'done';
  }

  /** Searches all direct and indirect dependencies of a job that names these. */
  ancestryOf(jobIds: readonly string[]): Ancestry {
    const { dependencies } = this.dependencies.clusterState;
    const seen = new Set(jobIds);
    const unknown: string[] = [];
    for (const jobId of seen) {
      const state = this.stateOf(jobId);
      if (state === 'cancelled') return { isCancelled: true, unknown };
      if (state === 'unknown') unknown.push(jobId);
      // Iteration over a set reaches what is added to it meanwhile.
      for (const each of dependencies.dependenciesOf(jobId)) seen.add(each);
    }
    return { isCancelled: false, unknown };
  }

  /** Reads how jobs have ended; what can't be read stays unknown. */
  async learn(jobIds: readonly string[]): Promise<void> {
    await Promise.all(jobIds.map((jobId) => this.read(jobId)));
  }

  private read(jobId: string): Promise<void> {
    const inFlight = this.readsInFlight.get(jobId);
    if (inFlight !== undefined) return inFlight;
    const { client, transactions } = this.dependencies;
    const reading = client
      .get(finalJobKey(jobId), Priority.start)
      .then((row) => transactions.cacheFinalRecord(finalJobKey(jobId), row))
      .catch(() => undefined)
      .finally(() => this.readsInFlight.delete(jobId));
    this.readsInFlight.set(jobId, reading);
    return reading;
  }
}
