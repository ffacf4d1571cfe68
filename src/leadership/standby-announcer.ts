/** Announces in the store, under the store lease, that this process reads the stream; other versions are sent none of it. */
import { Priority } from '../net/token-bucket.js';
import { decodeStandbyRecord, encodeStandbyRecord } from '../records/record-codecs.js';
import { standbyKey } from '../records/record-keys.js';
import type { Replica } from '../store/replica.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { RoleLeadership } from './role-leadership.js';

/** What the announcement of this node as a standby needs. */
export interface StandbyAnnouncerDependencies {
  node: string;
  /** Tells this process from its former ones, as the gossip says it. */
  incarnation: number;
  leadership: RoleLeadership;
  replica: Replica;
  transactions: TransactionBatcher;
}

/** The record expires with the store lease, so it never outlives the process for long. */
export class StandbyAnnouncer {
  constructor(private readonly dependencies: StandbyAnnouncerDependencies) {}

  /** Writes the record if the present store lease has none yet. */
  async announce(): Promise<void> {
    const { node, incarnation, leadership, transactions } = this.dependencies;
    if (leadership.storeLeaseId === undefined || !leadership.hasRecentStoreContact || this.isAnnounced()) return;
    await transactions.commit('announce standby', Priority.lease, (draft) => {
      const leaseId = leadership.storeLeaseId;
      if (leaseId === undefined || this.isAnnounced()) return false;
      draft.setUnderLease(standbyKey(node), encodeStandbyRecord({ incarnation, leaseId }), leaseId);
      return true;
    });
  }

  private isAnnounced(): boolean {
    const { node, leadership, replica } = this.dependencies;
    return decodeStandbyRecord(replica.get(standbyKey(node)).value)?.leaseId === leadership.storeLeaseId;
  }
}
