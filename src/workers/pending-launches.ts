/** The part of a worker's newest status that affects pending launches. */
interface ReportedStatus {
  /** Highest fencing token that the worker has reported. */
  fencingToken: number;
  sequence: number;
  /** Whether the status came in a heartbeat, not in a command response. */
  isHeartbeat: boolean;
}

/**
 * Launches that may still arrive at a worker, by attempt key.
 * Invariant: while a launch is listed here, the absence of its task from a status proves nothing.
 */
export class PendingLaunches {
  /** Monotonic ms since when a launch of a cancelled task is unanswered; undefined if none is. */
  cancelledUnansweredSince: number | undefined;
  /** Launches sent directly and without a response yet, with the fencing token of their request. */
  private readonly unanswered = new Map<string, number>();
  /** Launches sent in a heartbeat response, with that heartbeat's sequence number. */
  private readonly inHeartbeatResponses = new Map<string, number>();

  /** Whether any directly sent launch has no response yet. */
  get hasUnanswered(): boolean {
    return this.unanswered.size > 0;
  }

  /** The fencing token of a directly sent launch without a response yet; undefined if there is none. */
  unansweredToken(attemptKey: string): number | undefined {
    return this.unanswered.get(attemptKey);
  }

  /** Whether a launch of the attempt was sent directly and has no response yet. */
  isUnanswered(attemptKey: string): boolean {
    return this.unanswered.has(attemptKey);
  }

  /** Whether a launch of the attempt may still arrive, sent directly or in a heartbeat response. */
  has(attemptKey: string): boolean {
    return this.unanswered.has(attemptKey) || this.inHeartbeatResponses.has(attemptKey);
  }

  /** Records that a launch is sent directly under this token. */
  recordSent(attemptKey: string, fencingToken: number): void {
    this.unanswered.set(attemptKey, fencingToken);
  }

  /** Records that the request under this token was answered, or never reached the worker. */
  markResolved(attemptKey: string, fencingToken: number): void {
    if (this.unanswered.get(attemptKey) === fencingToken) this.unanswered.delete(attemptKey);
  }

  /** Records that a launch is sent in the response to the heartbeat with this sequence number. */
  recordInHeartbeatResponse(attemptKey: string, sequence: number): void {
    this.inHeartbeatResponses.set(attemptKey, sequence);
  }

  /**
   * Applies a newer status: from now on the worker refuses launches with a lower token, and drops responses to older
   * heartbeats.
   */
  applyStatus({ fencingToken, sequence, isHeartbeat }: ReportedStatus): void {
    for (const [key, sentToken] of this.unanswered) if (sentToken < fencingToken) this.unanswered.delete(key);
    if (!isHeartbeat) return;
    for (const [key, answeredSequence] of this.inHeartbeatResponses)
      if (answeredSequence < sequence) this.inHeartbeatResponses.delete(key);
  }

  /** Removes all launches when a new agent epoch begins, which refuses everything sent to the former one. */
  clear(): void {
    this.unanswered.clear();
    this.inHeartbeatResponses.clear();
  }
}
