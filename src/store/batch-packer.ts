/** Packs the pending mutations of one priority into transactions, each as full as the store's limits allow. */
import { MAX_EVALUATED_MUTATIONS, MAX_OVERSIZED_MUTATIONS } from '../constants/store.js';
import type { PendingMutation } from './pending-mutation.js';
import type { StoredValue } from './replica.js';
import { type Resize, TransactionDraft, type TransactionLimits } from './transaction-draft.js';

/** The mutations of one transaction, in queue order, and the draft with all their conditions and writes. */
export interface PackedBatch {
  mutations: PendingMutation[];
  draft: TransactionDraft;
}

/** The records, limits and keys in flight that determine what a batch may contain. */
export interface PackingContext {
  readonly read: (key: string) => StoredValue;
  readonly resize: Resize;
  readonly limits: TransactionLimits;
  /** Keys written by transactions in flight. */
  readonly keysInFlight: ReadonlySet<string>;
  /** Monotonic ms. */
  readonly nowMs: number;
}

/**
 * Removes as many mutations from the queue as one transaction can hold; the rest stay in the queue in order. Mutations that
 * have expired or have nothing to change are resolved. Returns undefined if no transaction can be sent at the moment.
 */
export function packBatch(queue: PendingMutation[], context: PackingContext): PackedBatch | undefined {
  const builder = new BatchBuilder(context);
  for (const mutation of queue) builder.add(mutation);
  queue.splice(0, queue.length, ...builder.deferred);
  const { mutations, draft } = builder;
  return mutations.length === 0 ? undefined : { mutations, draft };
}

/** Builds one batch in a single pass over a queue. */
class BatchBuilder {
  readonly mutations: PendingMutation[] = [];
  readonly deferred: PendingMutation[] = [];
  readonly draft: TransactionDraft;
  /** Keys that deferred mutations will write: later mutations of these keys must not overtake them. */
  private readonly blockedKeys = new Set<string>();
  /** The one record shared by all nodes that this batch may write, as named by the hints; undefined while it writes none. */
  private sharedRecord: string | undefined;
  private evaluatedCount = 0;
  /** Mutations deferred because they did not fit. */
  private oversizedCount = 0;

  constructor(private readonly context: PackingContext) {
    this.draft = new TransactionDraft(context.read, undefined, context.resize);
  }

  add(mutation: PendingMutation): void {
    if (this.context.nowMs >= mutation.deadlineMs) mutation.resolve({ kind: 'expired' });
    else if (this.isIncompatible(mutation) || this.isExhausted(mutation)) this.deferred.push(mutation);
    else this.evaluate(mutation);
  }

  /**
   * A write of a record that all nodes write may conflict and make the whole transaction fail, and a failed transaction counts
   * as much against the rate limit as a successful one; so a batch writes at most one such record.
   */
  private isIncompatible({ mustBeSentAlone, batchingHint }: PendingMutation): boolean {
    const first = this.mutations[0];
    if (first !== undefined && (mustBeSentAlone || first.mustBeSentAlone)) return true;
    const shared = batchingHint?.sharedRecord;
    return this.sharedRecord !== undefined && shared !== undefined && shared !== this.sharedRecord;
  }

  /**
   * Stops early in a long queue: evaluating all of it for each transaction would take time quadratic in its length. Mutations
   * of a record that the batch already writes are still added, since they cost no additional write.
   */
  private isExhausted({ batchingHint }: PendingMutation): boolean {
    if (this.evaluatedCount >= MAX_EVALUATED_MUTATIONS) return true;
    if (this.oversizedCount < MAX_OVERSIZED_MUTATIONS) return false;
    return batchingHint === undefined || !this.draft.writes.has(batchingHint.key);
  }

  private evaluate(mutation: PendingMutation): void {
    this.evaluatedCount++;
    const candidate = this.draft.createChild();
    const hasChange = mutation.apply(candidate) && candidate.writes.size > 0;
    if (!hasChange) mutation.resolve({ kind: 'void' });
    else if (this.isBlocked(candidate)) this.deferBlocked(mutation, candidate);
    else if (this.fits(candidate)) this.accept(mutation, candidate);
    else this.handleOversized(mutation);
  }

  /** Whether the mutation uses a key that a transaction in flight or a deferred mutation writes. */
  private isBlocked(candidate: TransactionDraft): boolean {
    for (const key of candidate.conditions.keys()) {
      if (this.context.keysInFlight.has(key) || this.blockedKeys.has(key)) return true;
    }
    return false;
  }

  private deferBlocked(mutation: PendingMutation, candidate: TransactionDraft): void {
    for (const key of candidate.writes.keys()) {
      if (!this.draft.writes.has(key)) this.blockedKeys.add(key);
    }
    this.deferred.push(mutation);
  }

  private fits(candidate: TransactionDraft): boolean {
    const { limits } = this.context;
    return candidate.fits(limits, this.mutations.length === 0 ? limits.writes : limits.batchWrites);
  }

  private accept(mutation: PendingMutation, candidate: TransactionDraft): void {
    this.draft.merge(candidate);
    this.mutations.push(mutation);
    this.sharedRecord ??= mutation.batchingHint?.sharedRecord;
  }

  /** Defers the mutation, or gives it up if it does not fit even into an empty transaction. */
  private handleOversized(mutation: PendingMutation): void {
    if (this.mutations.length === 0) {
      mutation.resolve({ kind: 'void' });
      return;
    }
    this.oversizedCount++;
    this.deferred.push(mutation);
  }
}
