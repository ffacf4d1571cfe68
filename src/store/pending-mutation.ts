/** Mutations that wait for a transaction, and the outcomes that their callers receive. */
import type { Priority } from '../net/token-bucket.js';
import type { TransactionDraft } from './transaction-draft.js';

/**
 * Applies a change to the records as they are at the time of the call; may be called several times. Returns false if there is
 * nothing to change.
 */
export type Mutation = (draft: TransactionDraft) => boolean;

/** How a mutation ended. */
export type CommitOutcome =
  | { kind: 'done'; revision: number }
  /** The mutation had nothing to change, is too large for a transaction, or writes under a store lease that has expired. */
  | { kind: 'void' }
  /** Given up at the deadline, or refused on behalf of a user; it may or may not have been committed. */
  | { kind: 'expired' }
  /** The store rejected the form or size of the transaction, and has changed nothing. */
  | { kind: 'rejected'; reason: string };

/** Determines which other mutations a mutation may share a transaction with. */
export interface BatchingHint {
  /** A key that the mutation will write: it is batched with other mutations of this key. */
  key: string;
  /** The key of a record that all nodes write: a transaction writes only one such record. */
  shared: string | undefined;
}

/** A mutation in the queue of its priority. */
export interface PendingMutation {
  /** Its purpose, for log messages. */
  readonly name: string;
  priority: Priority;
  readonly decide: Mutation;
  /** Monotonic ms at which it is given up. */
  readonly deadlineMs: number;
  readonly resolve: (outcome: CommitOutcome) => void;
  readonly batchingHint: BatchingHint | undefined;
  /** Set once the store has rejected a transaction that contained it: it is then sent in a transaction of its own. */
  mustBeSentAlone: boolean;
}

/** Resolves all mutations of a batch with the same outcome. */
export function resolveAll(mutations: readonly PendingMutation[], outcome: CommitOutcome): void {
  for (const mutation of mutations) mutation.resolve(outcome);
}
