/**
 * Turns mutations of records into few, batched compare-and-swap transactions, and tries again after conflicts, refusals and
 * silence of the store.
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

/** What the batcher commits through. */
export interface TransactionBatcherOptions {
  client: StoreClient;
  replica: Replica;
  limits: TransactionLimits;
  /** Keys below it are read from the replica; others never change once they exist. */
  prefix: string;
  clock: Clock;
  random: Random;
  /** ms that batch work waits for more of its kind; 0 by default. */
  gatherMs?: number;
  /** A transaction of this node has changed these keys. */
  onCommitted?: (changes: Change[]) => void;
  /** The store takes no transaction with this mutation in it. */
  onRejected?: (name: string, reason: string) => void;
  /** The form in which a record is written; as it is by default. */
  resize?: Resize;
}

/** Limits of one commit. */
export interface CommitOptions {
  /** ms after which the mutation is given up; `DEFAULT_COMMIT_TIMEOUT_MS` by default. */
  timeoutMs?: number | undefined;
  batchingHint?: BatchingHint | undefined;
}

/** The mutations of one priority, and its transactions. */
interface PriorityQueue {
  readonly priority: Priority;
  readonly pending: PendingMutation[];
  inFlightCount: number;
  /** Steady ms before which nothing is sent. */
  pausedUntilMs: number;
}

const isUserRequest = (priority: Priority): boolean => priority === Priority.cancel || priority === Priority.accept;

/** Mutations that may wait share transactions: each costs a write of the team's record, and the rate of writes is small. */
const maxInFlight = (priority: Priority): number => (priority <= Priority.accept ? MAX_IN_FLIGHT_TRANSACTIONS : 1);

/** Combines mutations into transactions and retries those that lost a race. */
export class TransactionBatcher {
  private readonly queues: ReadonlyMap<Priority, PriorityQueue> = new Map(
    Object.values(Priority).map((priority) => [
      priority,
      { priority, pending: [], inFlightCount: 0, pausedUntilMs: -Infinity },
    ]),
  );
  private readonly keysInFlight = new Set<string>();
  private readonly finalRecords = new FinalRecordCache();
  private isSendingScheduled = false;
  private limits: TransactionLimits;
  private readonly gatherMs: number;
  private readonly resize: Resize;

  constructor(private readonly options: TransactionBatcherOptions) {
    this.limits = options.limits;
    this.gatherMs = options.gatherMs ?? 0;
    this.resize = options.resize ?? ((_, value) => value);
  }

  /** The number of pending mutations that go before whatever has a higher number. */
  backlog(upTo: Priority): number {
    let count = 0;
    for (const { priority, pending } of this.queues.values()) if (priority <= upTo) count += pending.length;
    return count;
  }

  /** Keeps a record outside the replica, which never changes once it exists (a final state). */
  cacheFinalRecord(key: string, row: StoredValue): void {
    this.finalRecords.set(key, row);
  }

  /** The record as this node knows it; a transaction decided on it is safe, since it names the revisions that it read. */
  readonly read = (key: string): StoredValue =>
    this.isInReplica(key) ? this.options.replica.get(key) : this.finalRecords.get(key);

  /** Queues a mutation; `name` stands for it in log messages. Never rejects: failures are outcomes. */
  commit(
    name: string,
    priority: Priority,
    decide: Mutation,
    { timeoutMs = DEFAULT_COMMIT_TIMEOUT_MS, batchingHint }: CommitOptions = {},
  ): Promise<CommitOutcome> {
    const queue = this.queueOf(priority);
    if (queue.pending.length >= MAX_PENDING_MUTATIONS) return Promise.resolve({ kind: 'expired' });
    const deadlineMs = this.options.clock.now() + timeoutMs;
    return new Promise((resolve) => {
      queue.pending.push({ name, priority, decide, deadlineMs, resolve, batchingHint, mustBeSentAlone: false });
      // Starts take resources that the other nodes can't see until they are recorded, so they do not wait.
      if (priority !== Priority.record) this.scheduleSending();
      else if (queue.pending.length === 1) this.scheduleGathering(queue);
    });
  }

  /** Moves pending mutations whose hint names a concerned key to a more urgent priority than they were handed in with. */
  promote(isConcerned: (key: string) => boolean, from: Priority, to: Priority): void {
    const { pending } = this.queueOf(from);
    const promoted = pending.filter(({ batchingHint }) => batchingHint !== undefined && isConcerned(batchingHint.key));
    if (promoted.length === 0) return;
    pending.splice(0, pending.length, ...pending.filter((mutation) => !promoted.includes(mutation)));
    for (const mutation of promoted) mutation.priority = to;
    this.queueOf(to).pending.push(...promoted);
    this.scheduleSending();
  }

  private isInReplica(key: string): boolean {
    return key.startsWith(this.options.prefix);
  }

  private queueOf(priority: Priority): PriorityQueue {
    return this.queues.get(priority)!;
  }

  /** Exits of batch work wait for more of their kind. */
  private scheduleGathering(queue: PriorityQueue): void {
    const { clock } = this.options;
    const now = clock.now();
    if (now < queue.pausedUntilMs) return;
    queue.pausedUntilMs = now + this.gatherMs;
    void clock.sleep(this.gatherMs + 1).then(() => this.scheduleSending());
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
   * Each priority has transactions of its own in flight: batch starts that wait for the write rate must not keep submissions
   * waiting.
   */
  private sendReady(): void {
    for (const queue of this.queues.values()) {
      if (this.options.clock.now() >= queue.pausedUntilMs) this.sendQueue(queue);
    }
  }

  private sendQueue(queue: PriorityQueue): void {
    while (queue.pending.length > 0 && queue.inFlightCount < maxInFlight(queue.priority)) {
      const batch = this.pack(queue);
      if (batch === undefined) return;
      void this.send(queue, batch);
    }
  }

  private pack(queue: PriorityQueue): PackedBatch | undefined {
    const { read, resize, limits, keysInFlight } = this;
    return packBatch(queue.pending, { read, resize, limits, keysInFlight, nowMs: this.options.clock.now() });
  }

  private async send(queue: PriorityQueue, { mutations, draft }: PackedBatch): Promise<void> {
    queue.inFlightCount++;
    const keys = [...draft.writes.keys()];
    for (const key of keys) this.keysInFlight.add(key);
    const conditions: Condition[] = [...draft.conditions].map(([key, modRevision]) => ({ key, modRevision }));
    const writes: Write[] = [...draft.writes].map(([key, value]) => ({ key, value, leaseId: draft.leases.get(key) }));
    const result = await this.options.client.transact(conditions, writes, queue.priority);
    // Nothing is awaited after a success: keys are released in the same turn in which the callers are told of it.
    const reading = this.readBeforeRetry(result);
    if (reading !== undefined) await reading;
    this.settle(queue, mutations, writes, result);
    for (const key of keys) this.keysInFlight.delete(key);
    queue.inFlightCount--;
    this.scheduleNext(queue);
  }

  private scheduleNext(queue: PriorityQueue): void {
    const { clock } = this.options;
    const remainingPauseMs = queue.pausedUntilMs - clock.now();
    if (remainingPauseMs > 0) void clock.sleep(remainingPauseMs + 1).then(() => this.scheduleSending());
    this.scheduleSending();
  }

  /** Brings the records up to date that the next attempt is decided on; undefined: nothing is to be read. */
  private readBeforeRetry(result: TransactionResult): Promise<unknown> | undefined {
    if (result.kind === 'conflict') return this.readChangedRecords(result.failed ?? []);
    return result.kind === 'unknown' ? this.options.replica.refresh() : undefined;
  }

  private settle(
    queue: PriorityQueue,
    mutations: PendingMutation[],
    writes: readonly Write[],
    result: TransactionResult,
  ): void {
    switch (result.kind) {
      case 'done':
        this.applyCommitted(writes.map(({ key, value }) => ({ key, value, modRevision: result.revision })));
        resolveAll(mutations, { kind: 'done', revision: result.revision });
        break;
      // Unknown: it may have been applied, or may be later. The next attempt names the same revisions, so only one can take
      // effect.
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

  private handleRefusal(queue: PriorityQueue, mutations: PendingMutation[], status: number): void {
    const isBusy = status === 429;
    this.pause(queue, isBusy);
    // A user is told at once what the store has refused for good, instead of waiting here for a deadline.
    if (!isBusy && isUserRequest(queue.priority)) resolveAll(mutations, { kind: 'expired' });
    else queue.pending.unshift(...mutations);
  }

  /**
   * The store's limits have changed, or a mutation asks for what the store never takes. Each mutation is tried again by itself,
   * within the limits to come; one that is rejected even so is given up.
   */
  private handleRejection(queue: PriorityQueue, mutations: PendingMutation[], reason: string): void {
    this.limits = { ...this.limits, valueBytes: this.limits.lastingValueBytes };
    if (mutations.length > 1) {
      for (const mutation of mutations) mutation.mustBeSentAlone = true;
      queue.pending.unshift(...mutations);
      return;
    }
    for (const { name } of mutations) this.options.onRejected?.(name, reason);
    resolveAll(mutations, { kind: 'rejected', reason });
  }

  private pause(queue: PriorityQueue, isBusy: boolean): void {
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

  /** Reads the records that a conflict has shown to be outdated here. */
  private async readChangedRecords(failedKeys: readonly string[]): Promise<void> {
    const keysOutsideReplica = failedKeys.filter((key) => !this.isInReplica(key));
    await Promise.all([this.options.replica.refresh(), ...keysOutsideReplica.map((key) => this.readFinalRecord(key))]);
  }

  private async readFinalRecord(key: string): Promise<void> {
    try {
      this.cacheFinalRecord(key, await this.options.client.get(key, Priority.lease));
    } catch {
      // The next attempt fails the same way and reads again.
    }
  }
}
