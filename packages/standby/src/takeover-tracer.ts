/** Where takeovers are told as traces. The implementation, tracing.ts, is loaded only where tracing is on. */
import type { TakeoverReport } from './takeover-timeline.js';

/** A role that this process held is somebody else's. */
export interface LeadershipLoss {
  readonly role: string;
  /** Revision of this process's claim. */
  readonly fencingToken: number;
  /** Steady ms when the store last confirmed the hold, and when the loss was noticed. */
  readonly leaseConfirmedAt: number;
  readonly noticedAt: number;
}

export interface TakeoverTracer {
  /** This process has taken a role over. */
  takeoverFinished(report: TakeoverReport): void;
  leadershipLost(loss: LeadershipLoss): void;
}

export const NO_TRACER: TakeoverTracer = { takeoverFinished: () => undefined, leadershipLost: () => undefined };

/** What the module with the implementation exports. */
export interface TracingModule {
  createTakeoverTracer: (file: string, node: string, wallOf: (steadyMs: number) => number) => TakeoverTracer;
}
