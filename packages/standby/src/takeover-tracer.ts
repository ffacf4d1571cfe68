/** Interface of the tracing of takeovers. The implementation, tracing.ts, is loaded only where tracing is on. */
import type { TakeoverReport } from './takeover-timeline.js';

/** Another node leads a role that this process led. */
export interface LeadershipLoss {
  readonly role: string;
  /** Fencing token of this process. */
  readonly fencingToken: number;
  /** Steady ms when the store last confirmed the lease, and when the loss was noticed. */
  readonly leaseConfirmedAt: number;
  readonly noticedAt: number;
}

/** Receives what is to be traced; must neither fail nor wait. */
export interface TakeoverTracer {
  /** This process has taken a role over. */
  takeoverFinished(report: TakeoverReport): void;
  leadershipLost(loss: LeadershipLoss): void;
}

/** Used where tracing is off. */
export const NO_TRACER: TakeoverTracer = { takeoverFinished: () => undefined, leadershipLost: () => undefined };

/** What the module with the implementation exports. `wallOf` maps the steady clock to the time of day, ms. */
export interface TracingModule {
  createTakeoverTracer: (file: string, node: string, wallOf: (steadyMs: number) => number) => TakeoverTracer;
}
