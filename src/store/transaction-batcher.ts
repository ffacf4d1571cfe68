/**
 * Batches mutations of records into few compare-and-swap transactions, and retries them after conflicts, refusals and missing
 * responses of the store.
 */
import {
  BUSY_PAUSE_MS,
  DEFAULT_COMMIT_TIMEOUT_MS,
  MAX_IN_FLIGHT_TRANSACTIONS,
  MAX_PENDING_MUTATIONS,
  OUTAGE_PAUSE_MS,
  RETRY_JITTER_SHARE,
  URGENT_RETRY_SHARE,
} from '../constants/store.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import { isBatch, Priority } from '../net/token-bucket.js';
import { packBatch, type PackedBatch } from './batch-packer.js';
import { FinalRecordCache } from './final-record-cache.js';
import {
  type BatchingHint,
  type CommitOutcome,
  type Mutation,
  type PendingMutation,
  resolveAll,
} from './pending-mutation.js';
import type { Replica, StoredValue } from './replica.js';
import type { StoreClient } from './store-client.js';
import type { Change, Condition, TransactionResult, Write } from './store-wire-codec.js';
import type { Resize, TransactionLimits } from './transaction-draft.js';

export type { BatchingHint, CommitOutcome, Mutation } from './pending-mutation.js';

/** Dependencies, limits and callbacks of a `TransactionBatcher`. */
export interface TransactionBatcherOptions {
  client: StoreClient;
  replica: Replica;
  limits: TransactionLimits;
  /** Keys with this prefix are read from the replica; records under other keys never change once they exist. */
  prefix: string;
  clock: Clock;
  random: Random;
  /** ms for which mutations of the priority `record` are collected before they are sent; 0 by default. */
  batchingMs?: number;
  /** Called with the changes of each transaction that this node has committed. */
  onCommitted?: (changes: Change[]) => void;
  /** Called when the store rejects a mutation that was sent in a transaction of its own. */
  onRejected?: (name: string, reason: string) => void;
  /** Converts a record to a form that fits the store's limits; unchanged by default. */
  resize?: Resize;
}

/** Options of one commit. */
export interface CommitOptions {
  /** ms after which the mutation is given up; `DEFAULT_COMMIT_TIMEOUT_MS` by default. */
  timeoutMs?: number | undefined;
  batchingHint?: BatchingHint | undefined;
}

/** The pending mutations and in-flight transactions of one priority. */
interface MutationQueue {
  readonly priority: Priority;
  readonly pending: PendingMutation[];
  inFlightCount: number;
  /** Monotonic ms before which nothing is sent. */
  pausedUntilMs: number;
}

const isUserRequest = (priority: Priority): boolean => priority === Priority.cancel || priority === Priority.accept;

/**
 * Less urgent priorities have only one transaction in flight, so that more mutations share it: each transaction costs a write of
 * the team's record, and the write rate is low.
 */
const maxInFlight = (priority: Priority): number => (priority <= Priority.accept ? MAX_IN_FLIGHT_TRANSACTIONS : 1);

/** Combines mutations into transactions, and retries those whose conditions failed. */
export class TransactionBatcher {
  private readonly queues: ReadonlyMap<Priority, MutationQueue> = new Map(
    Object.values(Priority).map((priority) => [
      priority,
      { priority, pending: [], inFlightCount: 0, pausedUntilMs: -Infinity },
    ]),
  );
  private readonly keysInFlight = new Set<string>();
  private readonly finalRecords = new FinalRecordCache();
  private isSendingScheduled = false;
  private limits: TransactionLimits;
  private readonly batchingMs: number;
  private readonly resize: Resize;

  constructor(private readonly options: TransactionBatcherOptions) {
    this.limits = options.limits;
    this.batchingMs = options.batchingMs ?? 0;
    this.resize = options.resize ?? ((_, value) => value);
  }

  /** The number of pending mutations with this priority or a more urgent one. */
  backlog(upTo: Priority): number {
    let count = 0;
    for (const { priority, pending } of this.queues.values()) if (priority <= upTo) count += pending.length;
    return count;
  }

  /** Caches a record outside the replica: a final state, which never changes once it exists. */
  cacheFinalRecord(key: string, row: StoredValue): void {
    this.finalRecords.set(key, row);
  }

  /** The record as this node knows it; transactions based on a stale record are safe, since they name the revisions they read. */
  readonly read = (key: string): StoredValue =>
    this.isInReplica(key) ? this.options.replica.get(key) : this.finalRecords.get(key);

  /** Queues a mutation; `name` identifies it in log messages. Never rejects: failures are reported as outcomes. */
  commit(
    name: string,
    priority: Priority,
    apply: Mutation,
    { timeoutMs = DEFAULT_COMMIT_TIMEOUT_MS, batchingHint }: CommitOptions = {},
  ): Promise<CommitOutcome> {
    const queue = this.queueOf(priority);
    if (queue.pending.length >= MAX_PENDING_MUTATIONS) return Promise.resolve({ kind: 'expired' });
    const deadlineMs = this.options.clock.now() + timeoutMs;
    return new Promise((resolve) => {
      queue.pending.push({ name, priority, apply, deadlineMs, resolve, batchingHint, mustBeSentAlone: false });
      // Starts are sent at once: other nodes can't see the resources that they take until they are recorded.
      if (priority !== Priority.record) this.scheduleSending();
      else if (queue.pending.length === 1) this.scheduleBatching(queue);
    });
  }

  /** Moves pending mutations to a more urgent priority if `matchesKey` accepts the key in their batching hint. */
  promote(matchesKey: (key: string) => boolean, from: Priority, to: Priority): void {
    const { pending } = this.queueOf(from);
    const promoted = pending.filter(({ batchingHint }) => batchingHint !== undefined && matchesKey(batchingHint.key));
    if (promoted.length === 0) return;
    pending.splice(0, pending.length, ...pending.filter((mutation) => !promoted.includes(mutation)));
    for (const mutation of promoted) mutation.priority = to;
    this.queueOf(to).pending.push(...promoted);
    this.scheduleSending();
  }

  private isInReplica(key: string): boolean {
    return key.startsWith(this.options.prefix);
  }

  private queueOf(priority: Priority): MutationQueue {
    return this.queues.get(priority)!;
  }

  /** Delays sending for `batchingMs`, so that exits of batch tasks share transactions. */
  private scheduleBatching(queue: MutationQueue): void {
    const { clock } = this.options;
    const now = clock.now();
    if (now < queue.pausedUntilMs) return;
    queue.pausedUntilMs = now + this.batchingMs;
    void clock.sleep(this.batchingMs + 1).then(() => this.scheduleSending());
  }

  private scheduleSending(): void {
    if (this.isSendingScheduled) return;
    this.isSendingScheduled = true;
    queueMicrotask(() => {
      this.isSendingScheduled = false;
      this.sendReady();
    });
  }

  /**
   * Each priority has its own limit of transactions in flight, so that batch starts that wait for the write rate do not delay
   * submissions.
   */
  private sendReady(): void {
    for (const queue of this.queues.values()) {
      if (this.options.clock.now() >= queue.pausedUntilMs) this.sendQueue(queue);
    }
  }

  private sendQueue(queue: MutationQueue): void {
    while (queue.pending.length > 0 && queue.inFlightCount < maxInFlight(queue.priority)) {
      const batch = this.pack(queue);
      if (batch === undefined) return;
      void this.send(queue, batch);
    }
  }

  private pack(queue: MutationQueue): PackedBatch | undefined {
    const { read, resize, limits, keysInFlight } = this;
    return packBatch(queue.pending, { read, resize, limits, keysInFlight, nowMs: this.options.clock.now() });
  }

  private async send(queue: MutationQueue, { mutations, draft }: PackedBatch): Promise<void> {
    queue.inFlightCount++;
    const keys = [...draft.writes.keys()];
    for (const key of keys) this.keysInFlight.add(key);
    const conditions: Condition[] = [...draft.conditions].map(([key, modRevision]) => ({ key, modRevision }));
    const writes: Write[] = [...draft.writes].map(([key, value]) => ({ key, value, leaseId: draft.leases.get(key) }));
    const result = await this.options.client.transact(conditions, writes, queue.priority);
    // After a success nothing is awaited: the keys are released in the same event loop turn in which the callers are notified.
    const refresh = this.refreshBeforeRetry(result);
    if (refresh !== undefined) await refresh;
    this.settle(queue, mutations, writes, result);
    for (const key of keys) this.keysInFlight.delete(key);
    queue.inFlightCount--;
    this.scheduleNext(queue);
  }

  private scheduleNext(queue: MutationQueue): void {
    const { clock } = this.options;
    const remainingPauseMs = queue.pausedUntilMs - clock.now();
    if (remainingPauseMs > 0) void clock.sleep(remainingPauseMs + 1).then(() => this.scheduleSending());
    this.scheduleSending();
  }

  /** Refreshes the records that the next attempt depends on; undefined: there is nothing to refresh. */
  private refreshBeforeRetry(result: TransactionResult): Promise<unknown> | undefined {
    if (result.kind === 'conflict') return this.readChangedRecords(result.failed ?? []);
    return result.kind === 'unknown' ? this.options.replica.refresh() : undefined;
  }

  private settle(
    queue: MutationQueue,
    mutations: PendingMutation[],
    writes: readonly Write[],
    result: TransactionResult,
  ): void {
    switch (result.kind) {
      case 'done':
        this.applyCommitted(writes.map(({ key, value }) => ({ key, value, modRevision: result.revision })));
        resolveAll(mutations, { kind: 'done', revision: result.revision });
        break;
      // The outcome 'unknown' means that the transaction may have been applied or may be applied later. The next attempt names
      // the same revisions, so only one of the two can take effect.
      case 'conflict':
      case 'unknown':
        queue.pending.unshift(...mutations);
        break;
      case 'refused':
        this.handleRefusal(queue, mutations, result.status);
        break;
      case 'lease_expired':
        resolveAll(mutations, { kind: 'void' });
        break;
      case 'malformed':
        this.handleRejection(queue, mutations, result.reason);
    }
  }

  private handleRefusal(queue: MutationQueue, mutations: PendingMutation[], status: number): void {
    const isBusy = status === 429;
    this.pause(queue, isBusy);
    // Users get a refusal other than 429 at once, instead of waiting for the deadline of the mutation.
    if (!isBusy && isUserRequest(queue.priority)) resolveAll(mutations, { kind: 'expired' });
    else queue.pending.unshift(...mutations);
  }

  /**
   * Handles a transaction rejected because the store's limits have changed or because a mutation is never acceptable. Each
   * mutation is retried in a transaction of its own, within the announced limits; one that is rejected again is given up.
   */
  private handleRejection(queue: MutationQueue, mutations: PendingMutation[], reason: string): void {
    this.limits = { ...this.limits, valueBytes: this.limits.strictestValueBytes };
    if (mutations.length > 1) {
      for (const mutation of mutations) mutation.mustBeSentAlone = true;
      queue.pending.unshift(...mutations);
      return;
    }
    for (const { name } of mutations) this.options.onRejected?.(name, reason);
    resolveAll(mutations, { kind: 'rejected', reason });
  }

  private pause(queue: MutationQueue, isBusy: boolean): void {
    const busyPauseMs = isBatch(queue.priority) ? BUSY_PAUSE_MS : BUSY_PAUSE_MS * URGENT_RETRY_SHARE;
    const { clock, random } = this.options;
    const now = clock.now();
    queue.pausedUntilMs = now + random.jitter(isBusy ? busyPauseMs : OUTAGE_PAUSE_MS, RETRY_JITTER_SHARE);
  }

  private applyCommitted(changes: Change[]): void {
    for (const change of changes) {
      if (this.isInReplica(change.key)) this.options.replica.apply(change);
      else this.cacheFinalRecord(change.key, change);
    }
    this.options.onCommitted?.(changes);
  }

  /** Refreshes the replica, and the records outside it whose conditions failed. */
  private async readChangedRecords(failedKeys: readonly string[]): Promise<void> {
    const keysOutsideReplica = failedKeys.filter((key) => !this.isInReplica(key));
    await Promise.all([this.options.replica.refresh(), ...keysOutsideReplica.map((key) => this.readFinalRecord(key))]);
  }

  private async readFinalRecord(key: string): Promise<void> {
    try {
      this.cacheFinalRecord(key, await this.options.client.get(key, Priority.lease));
    } catch {
      // The next attempt fails with the same conflict and reads the record again.
    }
  }
}
