import type { Count } from '../domain/count.js';
import { leaseExpiresAt } from '../domain/worker-deadlines.js';
import { isNewerThan, type StatusVersion } from './worker-wire-codec.js';

/** A heartbeat that is about to be answered with 200. */
export interface AnsweredHeartbeat {
  /** Version and fencing token that the heartbeat reports. */
  status: StatusVersion & { fencingToken: Count };
  /** The fencing token in the response. */
  fencingToken: Count;
  /** The node that forwarded the heartbeat; undefined if it came directly. */
  forwardedBy: string | undefined;
  /** ms after an answered heartbeat by which the next one is late. */
  lateAfterMs: number;
  /** Monotonic ms when the heartbeat arrived. */
  now: number;
}

/**
 * Records which heartbeats of a worker were answered, and whether the responses arrive.
 * Invariant: `confirmedAt` is never later than `answeredAt`; neither ever decreases.
 */
export class WorkerReachability {
  /** Monotonic ms when the last heartbeat that was answered with 200 arrived. */
  answeredAt = -Infinity;
  /**
   * Monotonic ms of the last heartbeat; before any heartbeat, of the first contact. Command responses don't count: a
   * machine that can respond but not send heartbeats loses its lease, and with it all tasks that are sent there.
   */
  lastHeartbeatAt = -Infinity;
  /** The node that forwarded the last heartbeat; undefined if it came directly. */
  forwardedBy: string | undefined;
  /** Version of the newest answered heartbeat; command responses may have brought newer statuses. */
  private lastAnsweredHeartbeat: StatusVersion = { agentEpoch: 0, sequence: -1 };
  /**
   * The fencing token in the first response to this worker: until the worker reports it, nothing proves that responses
   * arrive.
   */
  private firstFencingToken: Count | undefined;
  /** Monotonic ms when the last heartbeat arrived whose response is known to have reached the worker. */
  private confirmedAt = -Infinity;
  /** Whether the worker missed the response to the heartbeat before its last one. */
  private hasMissedResponse = false;

  /** Whether this heartbeat, or a newer one, was answered before. */
  wasAnswered(status: StatusVersion): boolean {
    return !isNewerThan(status, this.lastAnsweredHeartbeat);
  }

  /**
   * Records a response, and whether the previous one arrived. A worker that gets its responses stays with the node and
   * sends its heartbeats in time; one that misses a response tries other nodes first. So a machine whose heartbeats
   * arrive, but which no response reaches, differs from a healthy one only from its next heartbeat on.
   * @param previousToken the highest fencing token that the worker has reported before
   */
  recordResponse(
    { status, fencingToken, forwardedBy, lateAfterMs, now }: AnsweredHeartbeat,
    previousToken: Count,
  ): void {
    this.lastAnsweredHeartbeat = { agentEpoch: status.agentEpoch, sequence: status.sequence };
    this.lastHeartbeatAt = now;
    this.firstFencingToken ??= fencingToken;
    if (this.confirmedAt === -Infinity) this.confirmedAt = now;
    if (this.answeredAt > -Infinity) {
      const isInTime = now - this.answeredAt <= lateAfterMs;
      const hasNewToken = status.fencingToken > previousToken;
      this.hasMissedResponse = !hasNewToken && !(isInTime && forwardedBy === this.forwardedBy);
      if (!this.hasMissedResponse) this.confirmedAt = this.answeredAt;
    }
    this.forwardedBy = forwardedBy;
    this.answeredAt = now;
  }

  /** Records that commands reached the worker, by whatever path. */
  recordCommandsDelivered(): void {
    this.hasMissedResponse = false;
  }

  /**
   * Whether responses reach the worker, as far as its heartbeats show. A late copy of a heartbeat is no evidence of
   * that.
   * @param reportedToken the highest fencing token that the worker has reported
   */
  isReached(reportedToken: Count): boolean {
    return !this.hasMissedResponse && this.firstFencingToken !== undefined && reportedToken >= this.firstFencingToken;
  }

  /** Whether the worker's heartbeats show that no response has reached it for longer than its lease. */
  hasExpiredDespiteHeartbeats(now: number, leaseMs: number): boolean {
    return this.hasMissedResponse && now > leaseExpiresAt(this.confirmedAt, leaseMs);
  }
}
