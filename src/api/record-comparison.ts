/** Compares this node's records of jobs with the store's, by a transaction that consists of conditions. */
import type { Count } from '../domain/count.js';
import { Priority } from '../net/token-bucket.js';
import { FINAL_JOB_PREFIX, finalJobKey, jobKey } from '../records/record-keys.js';
import type { Replica } from '../store/replica.js';
import type { StoreClient } from '../store/store-client.js';
import type { Condition } from '../store/store-wire-codec.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionLimits } from '../store/transaction-draft.js';

/** Each job is compared by its live and its final record. */
const CONDITIONS_PER_JOB = 2;

/** The result of a comparison. */
export type ComparisonOutcome =
  /** As of this revision of the store, all compared records were the same. */
  | { kind: 'equal'; revision: Count }
  /** Some of the records have changed, and were read again. */
  | { kind: 'changed' }
  /** The store refused the comparison, or did not answer it. */
  | { kind: 'unavailable' };

/** The records to compare, and the store's limits on one transaction. */
export interface RecordComparisonDependencies {
  client: StoreClient;
  replica: Replica;
  transactions: TransactionBatcher;
  limits: TransactionLimits;
}

/** Costs one request if the records are the same in the store. */
export class RecordComparison {
  constructor(private readonly dependencies: RecordComparisonDependencies) {}

  /** Maximum number of jobs in one comparison. */
  get maxJobs(): number {
    return Math.floor(this.dependencies.limits.conditions / CONDITIONS_PER_JOB);
  }

  /** Compares the records of up to `maxJobs` jobs. */
  async compare(jobIds: readonly string[]): Promise<ComparisonOutcome> {
    const result = await this.dependencies.client.transact(this.conditionsFor(jobIds), [], Priority.record);
    if (result.kind === 'done') return { kind: 'equal', revision: result.revision };
    if (result.kind !== 'conflict') return { kind: 'unavailable' };
    await Promise.all(result.failed.map((key) => this.readAgain(key)));
    return { kind: 'changed' };
  }

  private conditionsFor(jobIds: readonly string[]): Condition[] {
    const { transactions } = this.dependencies;
    const keys = new Set(jobIds.flatMap((jobId) => [jobKey(jobId), finalJobKey(jobId)]));
    return [...keys].map((key) => ({ key, modRevision: transactions.read(key).modRevision }));
  }

  private async readAgain(key: string): Promise<void> {
    const { client, transactions, replica } = this.dependencies;
    try {
      const row = await client.get(key, Priority.record);
      if (key.startsWith(FINAL_JOB_PREFIX)) transactions.cacheFinalRecord(key, row);
      else if (row.value !== undefined) replica.apply({ key, ...row });
      else if (row.revision !== undefined) replica.apply({ key, value: undefined, modRevision: row.revision });
    } catch {
      // The next comparison fails again, and the response tells the user to retry.
    }
  }
}
