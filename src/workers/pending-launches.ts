/** What a worker's newest status shows of the launches sent to it. */
interface ShownStatus {
  /** Highest fencing token that the worker has shown. */
  fencingToken: number;
  sequence: number;
  /** It is a heartbeat, not the answer to commands. */
  isHeartbeat: boolean;
}

/**
 * Launches that may still arrive at a worker, by attempt key.
 * Invariant: while a launch is listed here, the absence of its task from a status proves nothing.
 */
export class PendingLaunches {
  /** Steady ms since when a launch of a cancelled task is unanswered; undefined: none is. */
  cancelledSince: number | undefined;
  /** Sent directly, without an answer yet, with the fencing token they bore. */
  private readonly unanswered = new Map<string, number>();
  /** Sent in the answer to a heartbeat, with that heartbeat's sequence number. */
  private readonly inAnswers = new Map<string, number>();

  /** Is any directly sent launch without an answer? */
  get hasUnanswered(): boolean {
    return this.unanswered.size > 0;
  }

  /** The fencing token of a directly sent launch without an answer; undefined: there is none. */
  unansweredToken(attemptKey: string): number | undefined {
    return this.unanswered.get(attemptKey);
  }

  /** Was a launch of the attempt sent directly, and not answered yet? */
  isUnanswered(attemptKey: string): boolean {
    return this.unanswered.has(attemptKey);
  }

  /** May a launch of the attempt still arrive, by whatever way? */
  has(attemptKey: string): boolean {
    return this.unanswered.has(attemptKey) || this.inAnswers.has(attemptKey);
  }

  /** A launch goes out directly, under this token. */
  recordSent(attemptKey: string, fencingToken: number): void {
    this.unanswered.set(attemptKey, fencingToken);
  }

  /** The commands that bore this token were answered, or never left. */
  settle(attemptKey: string, fencingToken: number): void {
    if (this.unanswered.get(attemptKey) === fencingToken) this.unanswered.delete(attemptKey);
  }

  /** A launch goes out in the answer to the heartbeat with this sequence number. */
  recordInAnswer(attemptKey: string, sequence: number): void {
    this.inAnswers.set(attemptKey, sequence);
  }

  /** A newer status: launches with a lower token are refused from now on, and answers to older heartbeats dropped. */
  applyStatus({ fencingToken, sequence, isHeartbeat }: ShownStatus): void {
    for (const [key, sentToken] of this.unanswered) if (sentToken < fencingToken) this.unanswered.delete(key);
    if (!isHeartbeat) return;
    for (const [key, answeredSequence] of this.inAnswers) if (answeredSequence < sequence) this.inAnswers.delete(key);
  }

  /** A new agent epoch refuses all that was sent to the former one. */
  clear(): void {
    this.unanswered.clear();
    this.inAnswers.clear();
  }
}
