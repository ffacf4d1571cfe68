/** Sends the records that this node's transactions have changed to the peers, and applies the changes received from peers. */
import { DELTA_BATCHING_MS } from '../constants/gossip.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import { isStoredCancellation } from '../records/record-codecs.js';
import { LIVE_PREFIX } from '../records/record-keys.js';
import { deserializeChanges, type Replica, serializeChange, type SerializedChange } from '../store/replica.js';
import type { Change } from '../store/store-wire-codec.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { Message, RecordDelta } from './messages.js';

/** Dependencies of RecordBroadcast. */
export interface RecordBroadcastDependencies {
  peers: readonly string[];
  replica: Replica;
  transactions: TransactionBatcher;
  clock: Clock;
  log: Log;
  send: (node: string, message: Message) => void;
}

/** Distributes committed changes between the controllers sooner than their store watches would. */
export class RecordBroadcast {
  /** Changes that have not been sent yet. */
  private readonly pendingChanges: Change[] = [];

  constructor(private readonly dependencies: RecordBroadcastDependencies) {}

  /**
   * Sends committed changes, collected for DELTA_BATCHING_MS. A cancellation is sent immediately, before its user gets an answer:
   * until the partition's leader has received it, the leader may still launch a task that was placed just before.
   */
  announce(changes: readonly Change[]): void {
    const { peers, clock } = this.dependencies;
    if (peers.length === 0 || changes.length === 0) return;
    const isScheduled = this.pendingChanges.length > 0;
    this.pendingChanges.push(...changes);
    if (changes.some(({ key, value }) => isStoredCancellation(key, value))) this.flush();
    else if (!isScheduled) void clock.sleep(DELTA_BATCHING_MS).then(() => this.flush());
  }

  private flush(): void {
    const { peers, send } = this.dependencies;
    // Empty in a scheduled flush if a cancellation has flushed the collected changes already.
    if (this.pendingChanges.length === 0) return;
    const changes = this.pendingChanges.splice(0).map(serializeChange);
    const message: Message = { kind: 'record_delta', payload: { changes } };
    for (const peer of peers) send(peer, message);
  }

  /** Applies the changes of a peer's transactions. If any of them can't be decoded, none is applied and the replica reads the store. */
  receive({ changes: serialized }: RecordDelta): void {
    const { replica, transactions } = this.dependencies;
    const changes = this.decode(serialized);
    if (changes === undefined) {
      void replica.refresh();
      return;
    }
    for (const change of changes) {
      if (change.key.startsWith(LIVE_PREFIX)) replica.applyFromPeer(change);
      else transactions.cacheFinalRecord(change.key, change);
    }
  }

  private decode(serialized: SerializedChange[]): Change[] | undefined {
    try {
      return deserializeChanges(serialized);
    } catch (error) {
      this.dependencies.log.warn({ error: String(error) }, 'record delta rejected');
      return undefined;
    }
  }
}
