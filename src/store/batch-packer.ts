/** Packs pending mutations of one priority into transactions, as many into each as the store's limits allow. */
import { PACK_MAX_MISSES, PACK_MAX_TRIES } from '../constants/store.js';
import type { PendingMutation } from './pending-mutation.js';
import type { StoredValue } from './replica.js';
import { type Resize, TransactionDraft, type TransactionLimits } from './transaction-draft.js';

/** The mutations of one transaction, in queue order, and the draft that holds all their conditions and writes. */
export interface PackedBatch {
  mutations: PendingMutation[];
  draft: TransactionDraft;
}

/** What a transaction is packed against. */
export interface PackingContext {
  readonly read: (key: string) => StoredValue;
  readonly resize: Resize;
  readonly limits: TransactionLimits;
  /** Keys that transactions on their way write. */
  readonly keysInFlight: ReadonlySet<string>;
  /** Steady ms. */
  readonly nowMs: number;
}

/**
 * Takes as many mutations off the queue as one transaction holds; the others stay in the queue in their order. Mutations that
 * have expired or fallen away are resolved. Undefined: no transaction can be sent at the moment.
 */
export function packBatch(queue: PendingMutation[], context: PackingContext): PackedBatch | undefined {
  const packing = new Packing(context);
  for (const mutation of queue) packing.add(mutation);
  queue.splice(0, queue.length, ...packing.deferred);
  const { mutations, draft } = packing;
  return mutations.length === 0 ? undefined : { mutations, draft };
}

/** One pass over a queue. */
class Packing {
  readonly mutations: PendingMutation[] = [];
  readonly deferred: PendingMutation[] = [];
  readonly draft: TransactionDraft;
  /** Keys that deferred mutations wait to write: later mutations must not overtake them. */
  private readonly keysAwaited = new Set<string>();
  /** The record of all nodes that the batch writes. */
  private sharedKey: string | undefined;
  private triedCount = 0;
  /** Mutations that did not fit. */
  private missCount = 0;

  constructor(private readonly context: PackingContext) {
    this.draft = new TransactionDraft(context.read, undefined, context.resize);
  }

  add(mutation: PendingMutation): void {
    if (this.context.nowMs >= mutation.deadlineMs) mutation.resolve({ kind: 'expired' });
    else if (this.isKeptApart(mutation) || this.isExhausted(mutation)) this.deferred.push(mutation);
    else this.evaluate(mutation);
  }

  /**
   * Each record that all nodes write may make the whole transaction fail, and a refused transaction counts as much against the
   * rate as another; so a batch writes one such record only.
   */
  private isKeptApart({ mustBeSentAlone, batchingHint }: PendingMutation): boolean {
    const first = this.mutations[0];
    if (first !== undefined && (mustBeSentAlone || first.mustBeSentAlone)) return true;
    const shared = batchingHint?.shared;
    return this.sharedKey !== undefined && shared !== undefined && shared !== this.sharedKey;
  }

  /**
   * A long queue is not evaluated whole for each transaction: that would cost its length squared. But where writes are scarce,
   * a mutation of a record that is written anyway is added at no cost.
   */
  private isExhausted({ batchingHint }: PendingMutation): boolean {
    if (this.triedCount >= PACK_MAX_TRIES) return true;
    if (this.missCount < PACK_MAX_MISSES) return false;
    return batchingHint === undefined || !this.draft.writes.has(batchingHint.key);
  }

  private evaluate(mutation: PendingMutation): void {
    this.triedCount++;
    const trial = this.draft.over();
    const hasChange = mutation.decide(trial) && trial.writes.size > 0;
    if (!hasChange) mutation.resolve({ kind: 'void' });
    else if (this.isBlocked(trial)) this.deferBlocked(mutation, trial);
    else if (this.fits(trial)) this.accept(mutation, trial);
    else this.handleMisfit(mutation);
  }

  /** A key that another transaction in flight writes, or a mutation that waits for one, keeps a mutation waiting. */
  private isBlocked(trial: TransactionDraft): boolean {
    for (const key of trial.conditions.keys()) {
      if (this.context.keysInFlight.has(key) || this.keysAwaited.has(key)) return true;
    }
    return false;
  }

  private deferBlocked(mutation: PendingMutation, trial: TransactionDraft): void {
    for (const key of trial.writes.keys()) {
      if (!this.draft.writes.has(key)) this.keysAwaited.add(key);
    }
    this.deferred.push(mutation);
  }

  private fits(trial: TransactionDraft): boolean {
    const { limits } = this.context;
    return trial.fits(limits, this.mutations.length === 0 ? limits.writes : limits.batchWrites);
  }

  private accept(mutation: PendingMutation, trial: TransactionDraft): void {
    this.draft.merge(trial);
    this.mutations.push(mutation);
    this.sharedKey ??= mutation.batchingHint?.shared;
  }

  /** What does not fit into an empty transaction fits into none. */
  private handleMisfit(mutation: PendingMutation): void {
    if (this.mutations.length === 0) {
      mutation.resolve({ kind: 'void' });
      return;
    }
    this.missCount++;
    this.deferred.push(mutation);
  }
}
