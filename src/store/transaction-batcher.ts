import {
  BUSY_PAUSE_MS,
  MAX_CACHED_FINAL_RECORDS,
  MAX_IN_FLIGHT_TRANSACTIONS,
  MAX_PENDING_MUTATIONS,
  OUTAGE_PAUSE_MS,
  PACK_MAX_MISSES,
  PACK_MAX_TRIES,
  URGENT_RETRY_SHARE,
} from '../constants/store.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import { isBatch, Priority } from '../net/token-bucket.js';
import type { Change, Condition, Write } from './store-wire-codec.js';
import type { StoreClient } from './store-client.js';
import { type Resize, TransactionDraft, type TransactionLimits } from './transaction-draft.js';
import type { Replica, StoredValue } from './replica.js';

/**
 * What somebody wants to change, as a function of the records as they are when it is tried. It may be called several
 * times. False: nothing is to be done (any more).
 */
export type Mutation = (draft: TransactionDraft) => boolean;

export type CommitOutcome =
  | { kind: 'done'; revision: number }
  /** The decision fell away, or is too large for a transaction. */
  | { kind: 'void' }
  /** Given up; it may or may not have happened. */
  | { kind: 'expired' }
  /** The store takes no change of that form or size, and has changed nothing. */
  | { kind: 'rejected'; reason: string };

/** Whom an intent goes along with. */
export interface BatchingHint {
  /** A record that it will change: it goes with others that change it too. */
  key: string;
  /** A record that intents of all nodes change: a transaction changes one such record only. */
  shared: string | undefined;
}

interface PendingMutation {
  name: string;
  priority: Priority;
  decide: Mutation;
  deadlineMs: number;
  resolve: (outcome: CommitOutcome) => void;
  batchingHint: BatchingHint | undefined;
  /** The store has rejected a transaction that it was part of: it is tried by itself. */
  mustBeSentAlone: boolean;
}

const isUserRequest = (priority: Priority): boolean => priority === Priority.cancel || priority === Priority.accept;

/** Turns intents into few, batched transactions, and tries again after conflicts, refusals and silence. */
export class TransactionBatcher {
  private readonly queues = new Map<Priority, PendingMutation[]>(Object.values(Priority).map((each) => [each, []]));
  private readonly inFlightCounts = new Map<Priority, number>();
  private readonly keysInFlight = new Set<string>();
  private readonly finalRecords = new Map<string, StoredValue>();
  /** Steady ms before which nothing of a priority is sent. */
  private readonly pausedUntilMs = new Map<Priority, number>();
  private isWakeScheduled = false;
  /** Told what this node's transactions have changed. */
  announce: (changes: Change[]) => void = () => undefined;
  /** Told of each decision that the store does not take. */
  onRejected: (name: string, reason: string) => void = () => undefined;
  /** The form in which records are written. */
  resize: Resize = (_, value) => value;
  private limits: TransactionLimits;

  constructor(
    private readonly client: StoreClient,
    private readonly replica: Replica,
    limits: TransactionLimits,
    private readonly prefix: string,
    private readonly clock: Clock,
    private readonly random: Random,
    /** ms that batch work waits for more of its kind. */
    private readonly gatherMs = 0,
  ) {
    this.limits = limits;
  }

  /** Intents that go before whatever has a higher number. */
  backlog(upTo: Priority): number {
    let count = 0;
    for (const [priority, queue] of this.queues) if (priority <= upTo) count += queue.length;
    return count;
  }

  /** Records outside the replica never change once they exist (final states), so they may be kept. */
  remember(key: string, row: StoredValue): void {
    if (row.value === undefined) return;
    this.finalRecords.delete(key);
    this.finalRecords.set(key, row);
    if (this.finalRecords.size > MAX_CACHED_FINAL_RECORDS)
      this.finalRecords.delete(this.finalRecords.keys().next().value!);
  }

  readonly read = (key: string): StoredValue =>
    key.startsWith(this.prefix)
      ? this.replica.get(key)
      : (this.finalRecords.get(key) ?? { value: undefined, modRevision: 0 });

  commit(
    name: string,
    priority: Priority,
    decide: Mutation,
    timeoutMs = 60_000,
    batchingHint?: BatchingHint,
  ): Promise<CommitOutcome> {
    const queue = this.queues.get(priority)!;
    if (queue.length >= MAX_PENDING_MUTATIONS) return Promise.resolve({ kind: 'expired' });
    return new Promise((resolve) => {
      queue.push({
        name,
        priority,
        decide,
        deadlineMs: this.clock.now() + timeoutMs,
        resolve,
        batchingHint,
        mustBeSentAlone: false,
      });
      // Starts take room that the other nodes can't see until they are recorded, so they do not wait.
      if (priority !== Priority.record) this.scheduleSending();
      else if (queue.length === 1) this.scheduleGathering(priority);
    });
  }

  /** Lets decisions about a record that wait for their turn go with more urgent ones than they were handed in with. */
  promote(isConcerned: (key: string) => boolean, from: Priority, to: Priority): void {
    const queue = this.queues.get(from)!;
    const chosen = queue.filter(({ batchingHint }) => batchingHint !== undefined && isConcerned(batchingHint.key));
    if (chosen.length === 0) return;
    queue.splice(0, queue.length, ...queue.filter((mutation) => !chosen.includes(mutation)));
    for (const mutation of chosen) mutation.priority = to;
    this.queues.get(to)!.push(...chosen);
    this.scheduleSending();
  }

  /** Exits of batch work wait for more of their kind. */
  private scheduleGathering(priority: Priority): void {
    const now = this.clock.now();
    if (now < (this.pausedUntilMs.get(priority) ?? 0)) return;
    this.pausedUntilMs.set(priority, now + this.gatherMs);
    void this.clock.sleep(this.gatherMs + 1).then(() => this.scheduleSending());
  }

  private scheduleSending(): void {
    if (this.isWakeScheduled) return;
    this.isWakeScheduled = true;
    queueMicrotask(() => {
      this.isWakeScheduled = false;
      this.sendReady();
    });
  }

  private sendReady(): void {
    // Each priority has flights of its own: batch starts that wait for the write rate must not keep submissions waiting.
    for (const [priority, queue] of this.queues) {
      if (this.clock.now() < (this.pausedUntilMs.get(priority) ?? 0)) continue;
      // What may wait shares transactions: each costs a change for the team's record, and the rate of changes is small.
      const most = priority <= Priority.accept ? MAX_IN_FLIGHT_TRANSACTIONS : 1;
      while (queue.length > 0 && (this.inFlightCounts.get(priority) ?? 0) < most) {
        const packed = this.pack(queue);
        if (packed === undefined) break;
        void this.sendBatch(packed.batch, packed.draft);
      }
    }
  }

  /** Takes as many intents of one priority off the queue as one transaction holds. */
  private pack(queue: PendingMutation[]): { batch: PendingMutation[]; draft: TransactionDraft } | undefined {
    const now = this.clock.now();
    const batch: PendingMutation[] = [];
    const draft = new TransactionDraft(this.read, undefined, this.resize);
    const later: PendingMutation[] = [];
    const touched = new Set<string>();
    let shared: string | undefined;
    let tried = 0;
    let full = 0;
    for (const mutation of queue) {
      if (now >= mutation.deadlineMs) {
        mutation.resolve({ kind: 'expired' });
        continue;
      }
      // A long queue is not tried whole for each transaction: that would cost its length squared. But where changes are
      // scarce, whatever changes a record that is written anyway goes along for nothing.
      const along = mutation.batchingHint !== undefined && draft.writes.has(mutation.batchingHint.key);
      // Each record that all nodes change may make the whole transaction fail, and a refused one counts as much as another.
      const other = mutation.batchingHint?.shared;
      const isApart = batch.length > 0 && (mutation.mustBeSentAlone || batch[0]!.mustBeSentAlone);
      if (isApart || (shared !== undefined && other !== undefined && other !== shared)) {
        later.push(mutation);
        continue;
      }
      if ((full >= PACK_MAX_MISSES && !along) || tried >= PACK_MAX_TRIES) {
        later.push(mutation);
        continue;
      }
      tried++;
      const trial = draft.over();
      if (!this.evaluate(mutation, trial)) {
        mutation.resolve({ kind: 'void' });
        continue;
      }
      // A key being written by another flight, or by an intent that waits for one, keeps this intent waiting.
      const blocked = [...trial.conditions.keys()].some((key) => this.keysInFlight.has(key) || touched.has(key));
      if (!blocked && trial.fits(this.limits, batch.length === 0 ? this.limits.ops : this.limits.batchOps)) {
        draft.merge(trial);
        batch.push(mutation);
        shared ??= other;
      } else if (!blocked && batch.length === 0) {
        mutation.resolve({ kind: 'void' });
      } else {
        if (!blocked) full++;
        else for (const key of trial.writes.keys()) if (!draft.writes.has(key)) touched.add(key);
        later.push(mutation);
      }
    }
    queue.splice(0, queue.length, ...later);
    return batch.length === 0 ? undefined : { batch, draft };
  }

  private evaluate(mutation: PendingMutation, draft: TransactionDraft): boolean {
    return mutation.decide(draft) && draft.writes.size > 0;
  }

  private async sendBatch(batch: PendingMutation[], draft: TransactionDraft): Promise<void> {
    const { priority } = batch[0]!;
    this.inFlightCounts.set(priority, (this.inFlightCounts.get(priority) ?? 0) + 1);
    const keys = [...draft.writes.keys()];
    for (const key of keys) this.keysInFlight.add(key);
    const conditions: Condition[] = [...draft.conditions].map(([key, modRevision]) => ({ key, modRevision }));
    const writes: Write[] = [...draft.writes].map(([key, value]) => ({ key, value, leaseId: draft.leases.get(key) }));
    const result = await this.client.transact(conditions, writes, priority);
    switch (result.kind) {
      case 'done':
        this.applyCommitted(writes.map(({ key, value }) => ({ key, value, modRevision: result.revision })));
        for (const mutation of batch) mutation.resolve({ kind: 'done', revision: result.revision });
        break;
      case 'conflict':
        await this.readChangedRecords(result.failed ?? []);
        this.requeue(batch);
        break;
      case 'unknown':
        // It may have been applied, or may be later. The next try names the same Stamps, so only one can take effect.
        await this.replica.refresh();
        this.requeue(batch);
        break;
      case 'refused':
        this.pause(priority, result.status === 429);
        // A user is told at once what the store has refused for good, instead of waiting here for a deadline.
        if (result.status !== 429 && isUserRequest(priority))
          for (const mutation of batch) mutation.resolve({ kind: 'expired' });
        else this.requeue(batch);
        break;
      case 'lease_expired':
        for (const mutation of batch) mutation.resolve({ kind: 'void' });
        break;
      case 'malformed':
        this.reject(batch, result.reason);
    }
    for (const key of keys) this.keysInFlight.delete(key);
    this.inFlightCounts.set(priority, this.inFlightCounts.get(priority)! - 1);
    const wait = (this.pausedUntilMs.get(priority) ?? 0) - this.clock.now();
    if (wait > 0) void this.clock.sleep(wait + 1).then(() => this.scheduleSending());
    this.scheduleSending();
  }

  /**
   * The store's limits have changed, or a decision asks for what it never takes. Each decision is made again by itself, within
   * the limits to come; one that is rejected even so is given up.
   */
  private reject(batch: PendingMutation[], reason: string): void {
    this.limits = { ...this.limits, valueBytes: this.limits.lastingValueBytes };
    if (batch.length > 1) {
      for (const mutation of batch) mutation.mustBeSentAlone = true;
      this.requeue(batch);
      return;
    }
    const [only] = batch;
    this.onRejected(only!.name, reason);
    only!.resolve({ kind: 'rejected', reason });
  }

  private pause(priority: Priority, busy: boolean): void {
    const ms = busy ? (isBatch(priority) ? BUSY_PAUSE_MS : BUSY_PAUSE_MS * URGENT_RETRY_SHARE) : OUTAGE_PAUSE_MS;
    this.pausedUntilMs.set(priority, this.clock.now() + this.random.jitter(ms, 0.5));
  }

  private applyCommitted(changes: Change[]): void {
    for (const change of changes) {
      if (change.key.startsWith(this.prefix)) this.replica.apply(change);
      else this.remember(change.key, change);
    }
    this.announce(changes);
  }

  private async readChangedRecords(failed: string[]): Promise<void> {
    const foreign = failed.filter((key) => !key.startsWith(this.prefix));
    await Promise.all([
      this.replica.refresh(),
      ...foreign.map(async (key) => {
        try {
          this.remember(key, await this.client.get(key, 0));
        } catch {
          // The next try fails the same way and reads again.
        }
      }),
    ]);
  }

  private requeue(batch: PendingMutation[]): void {
    this.queues.get(batch[0]!.priority)!.unshift(...batch);
  }
}
