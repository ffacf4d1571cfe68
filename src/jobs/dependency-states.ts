/**
 * What is known of the jobs before a waiting one. That a job was cancelled or is done is final, however it was learnt; how a
 * job ended that is gone from the copy of the live records has to be read, unless a peer has told.
 */
import type { ClusterState } from '../records/cluster-state.js';
import { decodeFinalJobRecord } from '../records/record-codecs.js';
import { finalJobKey, jobKey } from '../records/record-keys.js';
import { Priority } from '../net/token-bucket.js';
import type { StoreClient } from '../store/store-client.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { Replica } from '../store/replica.js';

/** `unknown`: not among the live jobs, and nothing says whether or how it has ended. */
export type DependencyState = 'open' | 'done' | 'cancelled' | 'unknown';

/** What is known of all jobs before one, directly or through others. */
export interface Ancestry {
  isCancelled: boolean;
  /** Those of which it is not known how they have ended. */
  unknown: string[];
}

export interface DependencyStatesDependencies {
  clusterState: ClusterState;
  replica: Replica;
  transactions: TransactionBatcher;
  client: StoreClient;
}

export class DependencyStates {
  /** Final records that are being read. */
  private readonly reading = new Map<string, Promise<void>>();

  constructor(private readonly dependencies: DependencyStatesDependencies) {}

  stateOf(jobId: string): DependencyState {
    const { clusterState, replica, transactions } = this.dependencies;
    const record = clusterState.jobs.get(jobId)?.record;
    if (record !== undefined) return record.state === 'cancelled' ? 'cancelled' : 'open';
    const ended = transactions.read(finalJobKey(jobId)).value;
    if (ended !== undefined) return decodeFinalJobRecord(ended).state === 'done' ? 'done' : 'cancelled';
    // A record that can't be read is open for all that is known.
    return replica.get(jobKey(jobId)).value === undefined ? 'unknown' : 'open';
  }

  /** May a job with these predecessors start, or never? */
  stateOfAll(predecessors: readonly string[]): DependencyState {
    const standings = predecessors.map((each) => this.stateOf(each));
    if (standings.includes('cancelled')) return 'cancelled';
    if (standings.includes('unknown')) return 'unknown';
    return standings.includes('open') ? 'open' : 'done';
  }

  /** Looks through all jobs before one that names these. */
  ancestryOf(predecessors: readonly string[]): Ancestry {
    const { dependencies } = this.dependencies.clusterState;
    const seen = new Set(predecessors);
    const unknown: string[] = [];
    for (const jobId of seen) {
      const standing = this.stateOf(jobId);
      if (standing === 'cancelled') return { isCancelled: true, unknown };
      if (standing === 'unknown') unknown.push(jobId);
      // A set hands out what is added to it while it is looked through.
      for (const each of dependencies.dependenciesOf(jobId)) seen.add(each);
    }
    return { isCancelled: false, unknown };
  }

  /** Reads how jobs have ended; what can't be read stays unknown. */
  async learn(jobIds: readonly string[]): Promise<void> {
    await Promise.all(jobIds.map((jobId) => this.read(jobId)));
  }

  private read(jobId: string): Promise<void> {
    const running = this.reading.get(jobId);
    if (running !== undefined) return running;
    const { client, transactions } = this.dependencies;
    const reading = client
      .get(finalJobKey(jobId), Priority.start)
      .then((row) => transactions.remember(finalJobKey(jobId), row))
      .catch(() => undefined)
      .finally(() => this.reading.delete(jobId));
    this.reading.set(jobId, reading);
    return reading;
  }
}
