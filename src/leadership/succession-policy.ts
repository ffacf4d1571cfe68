/** Interface of the warm standby to role leadership: designated successors and the preconditions of decisions. */
import type { HeldLeadership } from './leadership-term.js';

/** Implemented by the warm standby (standby.ts). */
export interface SuccessionPolicy {
  /** The node that should acquire the vacant role first; undefined: no node is designated. */
  successorOf(role: string): string | undefined;
  /** Whether the process has not paused since the store last confirmed its lease; checks the clock. */
  readonly isLeaseConfirmed: boolean;
  /** Like `isLeaseConfirmed`, but as of the last check, without reading the clock. */
  readonly wasLeaseConfirmed: boolean;
  /** Records that the store has confirmed the lease; `sentAt`: monotonic ms when the request was sent. */
  recordLeaseConfirmation(sentAt: number): void;
  /** Whether all preconditions of a decision hold in a role that this process leads. */
  isReady(role: string, held: HeldLeadership): boolean;
  /** Like `isReady`, for a decision that is being made now; records the first one of a takeover. */
  mayDecide(role: string, held: HeldLeadership): boolean;
  /** Called when this process has acquired the role. */
  roleAcquired(role: string): void;
}

/** The policy without warm standby: no designated successors, and no restrictions on decisions. */
export const NO_SUCCESSION: SuccessionPolicy = {
  successorOf: () => undefined,
  isLeaseConfirmed: true,
  wasLeaseConfirmed: true,
  recordLeaseConfirmation: () => undefined,
  isReady: () => true,
  mayDecide: () => true,
  roleAcquired: () => undefined,
};
