/** Writes the records of rentals to the store, conditional on the leader's fencing token. */
import { CLUSTER_LEADER_ROLE } from '../domain/role.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import { Priority } from '../net/token-bucket.js';
import { encodeRentalRecord } from '../records/record-codecs.js';
import { rentalKey } from '../records/record-keys.js';
import type { RentalRecord } from '../records/records.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';

/** Dependencies of RentalRecords. */
export interface RentalRecordsDependencies {
  leadership: RoleLeadership;
  transactions: TransactionBatcher;
}

/** Keeps one record per rental, so that no record exceeds the store's size limit for a value. */
export class RentalRecords {
  constructor(private readonly dependencies: RentalRecordsDependencies) {}

  /** Writes all records in one transaction. Resolves to false if none was written or the outcome is unknown. */
  put(rentals: readonly RentalRecord[]): Promise<boolean> {
    return this.commit((draft) => {
      for (const rental of rentals) draft.set(rentalKey(rental.rentalId), encodeRentalRecord(rental));
    });
  }

  /** Deletes all records in one transaction. Resolves to false if none was deleted or the outcome is unknown. */
  delete(rentals: readonly RentalRecord[]): Promise<boolean> {
    return this.commit((draft) => {
      for (const rental of rentals) draft.delete(rentalKey(rental.rentalId));
    });
  }

  private async commit(change: (draft: TransactionDraft) => void): Promise<boolean> {
    const { leadership, transactions } = this.dependencies;
    const outcome = await transactions.commit('rentals', Priority.start, (draft) => {
      if (!leadership.requireLeadership(draft, CLUSTER_LEADER_ROLE)) return false;
      change(draft);
      return true;
    });
    return outcome.kind === 'done';
  }
}
