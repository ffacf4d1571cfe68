/**
 * Detects when every controller reads the current record format. Each process announces the format in a record attached to its
 * own store lease, so that the announcement ends with the process. Once one transaction sees the announcements of all
 * controllers, it writes a permanent record of that. Before then, nothing is written that an earlier version would misread;
 * afterwards, no earlier version is started again.
 */
import type { Count } from '../domain/count.js';
import type { Log } from '../logging/log.js';
import { Priority } from '../net/token-bucket.js';
import type { Replica } from '../store/replica.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import { decodeFormatRecord, encodeFormatCompleteRecord, encodeFormatRecord } from './record-codecs.js';
import { FORMAT_COMPLETE_KEY, formatKey } from './record-keys.js';
import { type FormatRecord, RECORD_FORMAT } from './records.js';

/** The controllers, their records in the store, and this process's store lease. */
export interface FormatUpgradeDependencies {
  node: string;
  /** All known controllers, including this one. */
  nodes: readonly string[];
  /** Configured number of controllers. */
  clusterSize: number;
  /** The store lease that this process's records are attached to, and whether the process may act on its replica. */
  leadership: { readonly storeLeaseId: Count | undefined; readonly hasRecentStoreContact: boolean };
  replica: Replica;
  transactions: TransactionBatcher;
  log: Log;
}

/** Records, once, that every controller reads the current record format. */
export class FormatUpgrade {
  constructor(private readonly dependencies: FormatUpgradeDependencies) {}

  /** Whether every controller is known to read the current format. */
  get isComplete(): boolean {
    return this.dependencies.replica.get(FORMAT_COMPLETE_KEY).value !== undefined;
  }

  /** Announces this process, or records that all controllers are announced. Called periodically; calls must not overlap. */
  async check(): Promise<void> {
    const { leadership, transactions, log } = this.dependencies;
    if (this.isComplete || leadership.storeLeaseId === undefined || !leadership.hasRecentStoreContact) return;
    if (!this.isAnnounced) await transactions.commit('format', Priority.lease, (draft) => this.announce(draft));
    else if (this.areAllAnnounced) {
      const outcome = await transactions.commit('format complete', Priority.lease, (draft) =>
        this.recordCompletion(draft),
      );
      if (outcome.kind === 'done') log.info({ recordFormat: RECORD_FORMAT }, 'record format upgrade completed');
    }
  }

  private formatRecordOf(node: string): FormatRecord | undefined {
    return decodeFormatRecord(this.dependencies.replica.get(formatKey(node)).value);
  }

  private get isAnnounced(): boolean {
    const { node, leadership } = this.dependencies;
    return this.formatRecordOf(node)?.leaseId === leadership.storeLeaseId;
  }

  private get areAllAnnounced(): boolean {
    const { nodes, clusterSize } = this.dependencies;
    return nodes.length === clusterSize && nodes.every((node) => this.formatRecordOf(node)?.format === RECORD_FORMAT);
  }

  private announce(draft: TransactionDraft): boolean {
    const { node, leadership } = this.dependencies;
    if (leadership.storeLeaseId === undefined || this.isAnnounced) return false;
    draft.setUnderLease(
      formatKey(node),
      encodeFormatRecord({ format: RECORD_FORMAT, leaseId: leadership.storeLeaseId }),
      leadership.storeLeaseId,
    );
    return true;
  }

  /** Conditional on the announcements of all controllers, so that all these processes still run. */
  private recordCompletion(draft: TransactionDraft): boolean {
    if (!this.areAllAnnounced || draft.get(FORMAT_COMPLETE_KEY) !== undefined) return false;
    for (const node of this.dependencies.nodes) draft.get(formatKey(node));
    draft.set(FORMAT_COMPLETE_KEY, encodeFormatCompleteRecord(RECORD_FORMAT));
    return true;
  }
}
