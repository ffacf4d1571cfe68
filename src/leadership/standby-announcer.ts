/**
 * Announces in the store, under the store lease, that this process reads the advisory stream. Nodes that announce nothing, such as
 * those of earlier versions, are sent no stream messages.
 */
import { Priority } from '../net/token-bucket.js';
import { decodeStandbyRecord, encodeStandbyRecord } from '../records/record-codecs.js';
import { standbyKey } from '../records/record-keys.js';
import type { Replica } from '../store/replica.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { RoleLeadership } from './role-leadership.js';

/** Identity of this process, and the collaborators that announce it. */
export interface StandbyAnnouncerDependencies {
  node: string;
  /** Distinguishes this process from its former incarnations; the same number as in gossip. */
  incarnation: number;
  leadership: RoleLeadership;
  replica: Replica;
  transactions: TransactionBatcher;
}

/** The record expires with the store lease, so it outlives the process by at most the TTL of the lease. */
export class StandbyAnnouncer {
  constructor(private readonly dependencies: StandbyAnnouncerDependencies) {}

  /** Writes the record unless it already exists under the current store lease. */
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
