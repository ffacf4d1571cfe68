/** Changes that wait for a transaction: what their callers hand in, and what they are told. */
import type { Priority } from '../net/token-bucket.js';
import type { TransactionDraft } from './transaction-draft.js';

/**
 * A change as a function of the records as they are at the time of the attempt; it may be called several times. False:
 * nothing is left to be changed.
 */
export type Mutation = (draft: TransactionDraft) => boolean;

/** How a mutation ended. */
export type CommitOutcome =
  | { kind: 'done'; revision: number }
  /** The mutation had nothing to change, or is too large for a transaction. */
  | { kind: 'void' }
  /** Given up at the deadline, or refused to a user; it may or may not have been committed. */
  | { kind: 'expired' }
  /** The store takes no transaction of that form or size, and has changed nothing. */
  | { kind: 'rejected'; reason: string };

/** Which other mutations a mutation may share a transaction with. */
export interface BatchingHint {
  /** A key that the mutation will write: it is batched with others that write the same. */
  key: string;
  /** A record that mutations of all nodes write: a transaction writes one such record only. */
  shared: string | undefined;
}

/** A mutation in the queue of its priority. */
export interface PendingMutation {
  /** What it is for, in log messages. */
  readonly name: string;
  priority: Priority;
  readonly decide: Mutation;
  /** Steady ms at which it is given up. */
  readonly deadlineMs: number;
  readonly resolve: (outcome: CommitOutcome) => void;
  readonly batchingHint: BatchingHint | undefined;
  /** The store has rejected a transaction that it was part of: it is sent by itself from then on. */
  mustBeSentAlone: boolean;
}

/** Ends all mutations of a batch alike. */
export function resolveAll(mutations: readonly PendingMutation[], outcome: CommitOutcome): void {
  for (const mutation of mutations) mutation.resolve(outcome);
}
