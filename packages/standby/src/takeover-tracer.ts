/** Interface of takeover tracing. The implementation, tracing.ts, is loaded only if tracing is enabled. */
import type { TakeoverReport } from './takeover-timeline.js';

/** A role of this process that another node now leads. */
export interface LeadershipLoss {
  readonly role: string;
  /** Fencing token under which this process led the role. */
  readonly fencingToken: number | bigint;
  /** Monotonic ms when the store last confirmed the lease, and when the loss was noticed. */
  readonly leaseConfirmedAt: number;
  readonly noticedAt: number;
}

/** Receives the events to trace; implementations must be synchronous and must not throw. */
export interface TakeoverTracer {
  /** Called when this process has taken over a role. */
  takeoverFinished(report: TakeoverReport): void;
  leadershipLost(loss: LeadershipLoss): void;
}

/** Used if tracing is disabled. */
export const NO_TRACER: TakeoverTracer = { takeoverFinished: () => undefined, leadershipLost: () => undefined };

/** Exports of the implementation module. `toWallClockMs` converts monotonic ms to wall-clock ms. */
export interface TracingModule {
  createTakeoverTracer: (file: string, node: string, toWallClockMs: (monotonicMs: number) => number) => TakeoverTracer;
}
