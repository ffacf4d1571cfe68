/** What role leadership asks of the warm standby: who acquires a vacant role first, and what must hold before a decision. */
import type { HeldLeadership } from './leadership-term.js';

/** Implemented by the warm standby (standby.ts). */
export interface SuccessionPolicy {
  /** The node that should acquire the vacant role first; undefined: no node in particular. */
  successorOf(role: string): string | undefined;
  /** The process has not paused since the store last confirmed its lease, as of this very moment. */
  readonly isConfirmed: boolean;
  /** The same as of the last check, which reads no clock. */
  readonly wasConfirmed: boolean;
  /** The store has confirmed the lease; `sentAt`: steady ms when the request was sent. */
  confirm(sentAt: number): void;
  /** Whether everything holds that must before a decision in a role that this process leads. */
  isReady(role: string, held: HeldLeadership): boolean;
  /** The same, of a decision that is being made now. */
  mayDecide(role: string, held: HeldLeadership): boolean;
  /** This process leads the role from now on. */
  acquired(role: string): void;
}

/** The policy without warm standby: no designated successor, and nothing in the way of a decision. */
export const NO_SUCCESSION: SuccessionPolicy = {
  successorOf: () => undefined,
  isConfirmed: true,
  wasConfirmed: true,
  confirm: () => undefined,
  isReady: () => true,
  mayDecide: () => true,
  acquired: () => undefined,
};
