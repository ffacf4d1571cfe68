import { leaseExpiresAt } from '../domain/worker-deadlines.js';
import { isNewerThan, type StatusVersion } from './worker-wire-codec.js';

/** A heartbeat that is about to be answered with 200. */
export interface AnsweredHeartbeat {
  /** Version and fencing token that the heartbeat shows. */
  status: StatusVersion & { fencingToken: number };
  /** The fencing token in the answer. */
  fencingToken: number;
  /** The node that forwarded the heartbeat; undefined: it came directly. */
  forwardedBy: string | undefined;
  /** ms after an answer by which the next heartbeat is late. */
  lateMs: number;
  /** Steady ms of its receipt. */
  now: number;
}

/**
 * Which heartbeats of a worker were answered, and whether the answers arrive.
 * Invariant: `confirmedAt` never lies after `answeredAt`; both only grow.
 */
export class WorkerReachability {
  /** Steady ms of the receipt of the last heartbeat that was answered with 200. */
  answeredAt = -Infinity;
  /**
   * Steady ms of its last heartbeat; until it has sent one, of the first contact. Answers to commands don't count: a machine
   * that can only answer loses its lease, and all that is sent there with it.
   */
  lastHeartbeatAt = -Infinity;
  /** The node that forwarded the last heartbeat; undefined: it came directly. */
  forwardedBy: string | undefined;
  /** The newest heartbeat; answers to commands may have brought newer statuses. */
  private answeredHeartbeat: StatusVersion = { agentEpoch: 0, sequence: -1 };
  /** The fencing token in the first answer to this worker: until it shows it, nothing proves that answers reach it. */
  private firstFencingToken: number | undefined;
  /** Steady ms of the receipt of the last heartbeat whose answer is known to have arrived. */
  private confirmedAt = -Infinity;
  /** It waited in vain for the answer to the heartbeat before its last one. */
  private hasMissedAnswer = false;

  /** Was this heartbeat, or a newer one, answered before? */
  wasAnswered(status: StatusVersion): boolean {
    return !isNewerThan(status, this.answeredHeartbeat);
  }

  /**
   * A worker that gets its answers stays with the node and sends its heartbeats in time; one that waits in vain tries other
   * nodes first. So a machine whose heartbeats arrive, but which no answer reaches, is told from a healthy one by its next
   * heartbeat at the earliest.
   * @param knownToken the highest fencing token that the worker has shown before
   */
  recordAnswer({ status, fencingToken, forwardedBy, lateMs, now }: AnsweredHeartbeat, knownToken: number): void {
    this.answeredHeartbeat = { agentEpoch: status.agentEpoch, sequence: status.sequence };
    this.lastHeartbeatAt = now;
    this.firstFencingToken ??= fencingToken;
    if (this.confirmedAt === -Infinity) this.confirmedAt = now;
    if (this.answeredAt > -Infinity) {
      const isInTime = now - this.answeredAt <= lateMs;
      const showsNewToken = status.fencingToken > knownToken;
      this.hasMissedAnswer = !showsNewToken && !(isInTime && forwardedBy === this.forwardedBy);
      if (!this.hasMissedAnswer) this.confirmedAt = this.answeredAt;
    }
    this.forwardedBy = forwardedBy;
    this.answeredAt = now;
  }

  /** Commands reached it, by whatever way. */
  recordCommandsDelivered(): void {
    this.hasMissedAnswer = false;
  }

  /**
   * Do answers reach the worker, as far as its heartbeats show? A late copy of a heartbeat shows no such thing.
   * @param shownToken the highest fencing token that the worker has shown
   */
  isReached(shownToken: number): boolean {
    return !this.hasMissedAnswer && this.firstFencingToken !== undefined && shownToken >= this.firstFencingToken;
  }

  /** It sends heartbeats, but by all it shows no answer has reached it for so long that its lease has expired. */
  hasExpiredDespiteHeartbeats(now: number, leaseMs: number): boolean {
    return this.hasMissedAnswer && now > leaseExpiresAt(this.confirmedAt, leaseMs);
  }
}
