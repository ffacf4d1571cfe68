/**
 * Finds out when every controller reads the present record format. Each process announces it in a record attached to its own
 * store lease, so that the announcement ends with the process; once the announcements of all controllers are seen in one
 * transaction, a lasting record notes it. Until then nothing is written that an earlier version would misread, and after it no
 * earlier version comes back.
 */
import type { Log } from '../logging/log.js';
import { Priority } from '../net/token-bucket.js';
import type { Replica } from '../store/replica.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import { decodeFormatRecord, encodeFormatCompleteRecord, encodeFormatRecord } from './record-codecs.js';
import { FORMAT_COMPLETE_KEY, formatKey } from './record-keys.js';
import { type FormatRecord, RECORD_FORMAT } from './records.js';

/** What the upgrade of the record format needs. */
export interface FormatUpgradeDependencies {
  node: string;
  /** All controllers, this one included. */
  nodes: readonly string[];
  /** How many controllers there should be. */
  clusterSize: number;
  /** The store lease that this process's records are attached to, and whether it may act on its replica. */
  leadership: { readonly storeLeaseId: number | undefined; readonly hasRecentStoreContact: boolean };
  replica: Replica;
  transactions: TransactionBatcher;
  log: Log;
}

/** Notes, once, that every controller reads the present record format. */
export class FormatUpgrade {
  constructor(private readonly dependencies: FormatUpgradeDependencies) {}

  /** Does every controller read the present format? */
  get isComplete(): boolean {
    return this.dependencies.replica.get(FORMAT_COMPLETE_KEY).value !== undefined;
  }

  /** Announces this process, and notes when all controllers are announced. Called periodically, one call after the other. */
  async check(): Promise<void> {
    const { leadership, transactions, log } = this.dependencies;
    if (this.isComplete || leadership.storeLeaseId === undefined || !leadership.hasRecentStoreContact) return;
    if (!this.isAnnounced) await transactions.commit('format', Priority.lease, (draft) => this.announce(draft));
    else if (this.areAllAnnounced) {
      const outcome = await transactions.commit('format complete', Priority.lease, (draft) => this.complete(draft));
      if (outcome.kind === 'done') log.info({ recordFormat: RECORD_FORMAT }, 'record format upgrade completed');
    }
  }

  private recordOf(node: string): FormatRecord | undefined {
    return decodeFormatRecord(this.dependencies.replica.get(formatKey(node)).value);
  }

  private get isAnnounced(): boolean {
    const { node, leadership } = this.dependencies;
    return this.recordOf(node)?.leaseId === leadership.storeLeaseId;
  }

  private get areAllAnnounced(): boolean {
    const { nodes, clusterSize } = this.dependencies;
    return nodes.length === clusterSize && nodes.every((node) => this.recordOf(node)?.format === RECORD_FORMAT);
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

  /** Under the condition that all processes that have announced themselves still run. */
  private complete(draft: TransactionDraft): boolean {
    if (!this.areAllAnnounced || draft.get(FORMAT_COMPLETE_KEY) !== undefined) return false;
    for (const node of this.dependencies.nodes) draft.get(formatKey(node));
    draft.set(FORMAT_COMPLETE_KEY, encodeFormatCompleteRecord(RECORD_FORMAT));
    return true;
  }
}
