/** Tells the peers which records this node's transactions have changed, and takes in what theirs have changed. */
import { DELTA_GATHER_MS } from '../constants/gossip.js';
import { isStoredCancellation } from '../records/record-codecs.js';
import { LIVE } from '../records/record-keys.js';
import type { Change } from '../store/store-wire-codec.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import { deserializeChanges, type Replica, serializeChange } from '../store/replica.js';
import type { Message, RecordDelta } from './messages.js';
import type { Clock } from '../net/clock.js';
import type { Log } from '../logging/log.js';

export interface RecordBroadcastDependencies {
  peers: readonly string[];
  replica: Replica;
  transactions: TransactionBatcher;
  clock: Clock;
  log: Log;
  send: (node: string, message: Message) => void;
}

export class RecordBroadcast {
  /** Changes that the peers have not been told yet. */
  private readonly pending: Change[] = [];

  constructor(private readonly dependencies: RecordBroadcastDependencies) {}

  /**
   * Collects changes for a moment, and tells the peers of them together. A withdrawal goes out at once, before its user is
   * answered: until its owner hears of it, a task that was placed just before may still be launched.
   */
  announce(changes: readonly Change[]): void {
    const { peers, clock } = this.dependencies;
    if (peers.length === 0 || changes.length === 0) return;
    const isScheduled = this.pending.length > 0;
    this.pending.push(...changes);
    if (changes.some(({ key, value }) => isStoredCancellation(key, value))) this.flush();
    else if (!isScheduled) void clock.sleep(DELTA_GATHER_MS).then(() => this.flush());
  }

  private flush(): void {
    const { peers, send } = this.dependencies;
    // What was collected has gone along with a withdrawal.
    if (this.pending.length === 0) return;
    const changes = this.pending.splice(0).map(serializeChange);
    const message: Message = { kind: 'record_delta', payload: { changes } };
    for (const peer of peers) send(peer, message);
  }

  /** Takes in what a peer's transactions have changed. */
  receive({ changes }: RecordDelta): void {
    const { replica, transactions, log } = this.dependencies;
    let read: Change[];
    try {
      // All or nothing: a transaction's changes belong together.
      read = deserializeChanges(changes);
    } catch (error) {
      log.warn({ error: String(error) }, 'news of a peer can not be read');
      void replica.refresh();
      return;
    }
    for (const change of read) {
      if (change.key.startsWith(LIVE)) replica.applyFromPeer(change);
      else transactions.remember(change.key, change);
    }
  }
}
