/** Transactions that acquire a role, advance its fencing token, and release it. */
import { STORE_LEASE_TTL_MS } from '../constants/leadership.js';
import type { Count } from '../domain/count.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { ClusterState } from '../records/cluster-state.js';
import { decodeLeadershipRecord, encodeLeadershipRecord } from '../records/record-codecs.js';
import { leadershipKey } from '../records/record-keys.js';
import type { RenewedRevisions } from '../store/renewed-revisions.js';
import type { Replica } from '../store/replica.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { HeldRoles } from './held-roles.js';
import type { HeldLeadership } from './leadership-term.js';
import type { SuccessionPolicy } from './succession-policy.js';

/** Collaborators of the transactions on leadership records. */
export interface RoleTransactionsDependencies {
  node: string;
  heldRoles: HeldRoles;
  clusterState: ClusterState;
  replica: Replica;
  transactions: TransactionBatcher;
  renewedRevisions: RenewedRevisions;
  succession: () => SuccessionPolicy;
  clock: Clock;
  log: Log;
}

/** At most one acquisition or token advance per role is in flight. Transactions are tried for at most the TTL of a store lease. */
export class RoleTransactions {
  private readonly acquiring = new Set<string>();

  constructor(private readonly dependencies: RoleTransactionsDependencies) {}

  isAcquiring(role: string): boolean {
    return this.acquiring.has(role);
  }

  /** Acquires a role that is vacant, or whose stored record already names this node. */
  acquire(role: string): Promise<void> {
    const { heldRoles, clusterState, clock, log, replica, succession } = this.dependencies;
    const isRecordOwn = clusterState.leadershipRecords.get(role)?.record.leaseId === heldRoles.storeLeaseId;
    return this.writeRecord(role, isRecordOwn, (revision) => {
      heldRoles.add(role, { fencingToken: revision, term: { startRevision: revision, acquiredAt: clock.now() } });
      log.info({ role, fencingToken: revision }, 'leadership acquired');
      succession().roleAcquired(role);
      // Tasks are started only once the replica is complete up to the acquisition.
      void replica.refresh();
    });
  }

  /** Rewrites the record of a role within the same term, so that workers reject late commands under the former token. */
  async advanceFencingToken(role: string, { term, fencingToken }: HeldLeadership): Promise<void> {
    const { heldRoles, renewedRevisions, log } = this.dependencies;
    heldRoles.startAdvance(role);
    await this.writeRecord(role, true, (revision) => {
      heldRoles.add(role, { fencingToken: revision, term });
      renewedRevisions.record(leadershipKey(role), fencingToken, revision);
      log.info({ role, fencingToken: revision }, 'fencing token advanced');
    });
    heldRoles.endAdvance(role);
  }

  /**
   * `isRecordOwn`: the record must be under this process's lease; if false, there must be no record, or one of a former incarnation.
   * `onWritten` runs synchronously after the end of the acquisition, so that the role is always seen as either held or in flight.
   */
  private async writeRecord(role: string, isRecordOwn: boolean, onWritten: (revision: Count) => void): Promise<void> {
    const { node, heldRoles, transactions } = this.dependencies;
    const leaseId = heldRoles.storeLeaseId;
    if (leaseId === undefined || this.acquiring.has(role)) return;
    this.acquiring.add(role);
    const outcome = await transactions.commit(
      'acquire role',
      Priority.lease,
      (draft) => {
        const current = decodeLeadershipRecord(draft.get(leadershipKey(role)));
        // The record of a former incarnation of this node may be replaced immediately, since that process has ended.
        if (leaseId !== heldRoles.storeLeaseId || (current !== undefined && current.node !== node)) return false;
        if ((current?.leaseId === leaseId) !== isRecordOwn) return false;
        draft.setUnderLease(leadershipKey(role), encodeLeadershipRecord({ node, leaseId }), leaseId);
        return true;
      },
      { timeoutMs: STORE_LEASE_TTL_MS },
    );
    this.acquiring.delete(role);
    if (outcome.kind === 'done') onWritten(outcome.revision);
  }

  /** Deletes the leadership record. Workers are not answered while the deletion is in flight. */
  async release(role: string, reason: string): Promise<void> {
    const { heldRoles, transactions, log } = this.dependencies;
    heldRoles.startRelease(role);
    log.info({ role, reason }, 'releasing leadership');
    const outcome = await transactions.commit(
      'release role',
      Priority.lease,
      (draft) => {
        const current = decodeLeadershipRecord(draft.get(leadershipKey(role)));
        if (current === undefined || current.leaseId !== heldRoles.storeLeaseId) return false;
        draft.delete(leadershipKey(role));
        return true;
      },
      { timeoutMs: STORE_LEASE_TTL_MS },
    );
    heldRoles.endRelease(role);
    // A release that timed out may have left the record, which keeps other nodes from answering: in an outage the tasks' leases
    // would expire if this node did not resume serving.
    if (outcome.kind !== 'expired') heldRoles.remove(role);
  }
}
