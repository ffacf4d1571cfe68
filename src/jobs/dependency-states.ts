/**
 * The states of the jobs that a waiting job depends on. `done` and `cancelled` are final, whatever their source. The final state
 * of a job whose live record is gone from the replica has to be read from the store, unless a peer has sent it.
 */
import { Priority } from '../net/token-bucket.js';
import type { ClusterState } from '../records/cluster-state.js';
import { decodeFinalJobRecord } from '../records/record-codecs.js';
import { finalJobKey, jobKey } from '../records/record-keys.js';
import type { Replica } from '../store/replica.js';
import type { StoreClient } from '../store/store-client.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';

/** `unknown`: this node has neither a live nor a final record of the job. */
export type DependencyState = 'open' | 'done' | 'cancelled' | 'unknown';

/** The combined state of all direct and indirect dependencies of a job. */
export interface TransitiveDependencies {
  isAnyCancelled: boolean;
  /** Dependencies in state `unknown`, found before any cancelled one. */
  unknown: string[];
}

/** Where job states are read from. */
export interface DependencyStatesDependencies {
  clusterState: ClusterState;
  replica: Replica;
  transactions: TransactionBatcher;
  client: StoreClient;
}

/** Answers from memory; `loadFinalStates` reads missing final records from the store. */
export class DependencyStates {
  /** Reads of final records that are in flight, by job id. */
  private readonly readsInFlight = new Map<string, Promise<void>>();

  constructor(private readonly dependencies: DependencyStatesDependencies) {}

  /** The state of one job according to this node's records. */
  stateOf(jobId: string): DependencyState {
    const { clusterState, replica, transactions } = this.dependencies;
    const record = clusterState.jobs.get(jobId)?.record;
    if (record !== undefined) return record.state === 'cancelled' ? 'cancelled' : 'open';
    const finalRecord = transactions.read(finalJobKey(jobId)).value;
    if (finalRecord !== undefined) return decodeFinalJobRecord(finalRecord).state === 'done' ? 'done' : 'cancelled';
    // A live record that can't be decoded counts as open.
    return replica.get(jobKey(jobId)).value === undefined ? 'unknown' : 'open';
  }

  /** The combined state. `done`: a job with these dependencies may start; `cancelled`: it can never start. */
  stateOfAll(jobIds: readonly string[]): DependencyState {
    const states = jobIds.map((jobId) => this.stateOf(jobId));
    if (states.includes('cancelled')) return 'cancelled';
    if (states.includes('unknown')) return 'unknown';
    return states.includes('open') ? 'open' : 'done';
  }

  /** Searches the dependency graph, starting from a job's direct dependencies, until it finds a cancelled job. */
  transitiveDependenciesOf(jobIds: readonly string[]): TransitiveDependencies {
    const { dependencies: dependencyGraph } = this.dependencies.clusterState;
    const seen = new Set(jobIds);
    const unknown: string[] = [];
    for (const jobId of seen) {
      const state = this.stateOf(jobId);
      if (state === 'cancelled') return { isAnyCancelled: true, unknown };
      if (state === 'unknown') unknown.push(jobId);
      // Iterating over a Set also visits the elements that are added during the iteration.
      for (const dependency of dependencyGraph.dependenciesOf(jobId)) seen.add(dependency);
    }
    return { isAnyCancelled: false, unknown };
  }

  /** Reads the final records of jobs from the store; the state of a job whose record can't be read stays `unknown`. */
  async loadFinalStates(jobIds: readonly string[]): Promise<void> {
    await Promise.all(jobIds.map((jobId) => this.loadFinalState(jobId)));
  }

  private loadFinalState(jobId: string): Promise<void> {
    const inFlight = this.readsInFlight.get(jobId);
    if (inFlight !== undefined) return inFlight;
    const { client, transactions } = this.dependencies;
    const read = client
      .get(finalJobKey(jobId), Priority.start)
      .then((row) => transactions.cacheFinalRecord(finalJobKey(jobId), row))
      .catch(() => undefined)
      .finally(() => this.readsInFlight.delete(jobId));
    this.readsInFlight.set(jobId, read);
    return read;
  }
}
