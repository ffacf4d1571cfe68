/** Mutations that wait for a transaction, and the outcomes that their callers receive. */
import type { Count } from '../domain/count.js';
import type { Priority } from '../net/token-bucket.js';
import type { TransactionDraft } from './transaction-draft.js';

/**
 * Applies a change to the records as they are at the time of the call; may be called several times. Returns false if there is
 * nothing to change.
 */
export type Mutation = (draft: TransactionDraft) => boolean;

/** How a mutation ended. */
export type CommitOutcome =
  | { kind: 'done'; revision: Count }
  /** The mutation had nothing to change, is too large for a transaction, or writes under a store lease that has expired. */
  | { kind: 'void' }
  /** Given up at the deadline, or refused on behalf of a user; it may or may not have been committed. */
  | { kind: 'expired' }
  /** The store rejected the form or size of the transaction, and has changed nothing. */
  | { kind: 'rejected'; reason: string };

/** Determines which other mutations a mutation may share a transaction with. */
export interface BatchingHint {
  /** A key that the mutation will write; mutations of the same key are batched with each other. */
  key: string;
  /** Identifies a record that all nodes write, such as a team's by the team's name: a transaction writes only one of these. */
  sharedRecord: string | undefined;
}

/** A mutation in the queue of its priority. */
export interface PendingMutation {
  /** The mutation's purpose, for log messages. */
  readonly name: string;
  priority: Priority;
  readonly apply: Mutation;
  /** Monotonic ms at which the mutation is given up. */
  readonly deadlineMs: number;
  readonly resolve: (outcome: CommitOutcome) => void;
  readonly batchingHint: BatchingHint | undefined;
  /** Set once the store has rejected a transaction that contained the mutation and others: it is then sent alone. */
  mustBeSentAlone: boolean;
}

/** Resolves all mutations of a batch with the same outcome. */
export function resolveAll(mutations: readonly PendingMutation[], outcome: CommitOutcome): void {
  for (const mutation of mutations) mutation.resolve(outcome);
}
