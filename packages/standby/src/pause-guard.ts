/**
 * Detects pauses of this process longer than the TTL of its store lease, after which another node may lead its roles. After such
 * a pause its leadership is invalid until the store has confirmed the lease for a request that was sent after the pause.
 */
export class PauseGuard {
  private lastCheckAt: number;
  private pausedUntil = -Infinity;
  private confirmedAt = -Infinity;

  constructor(
    /** Monotonic ms. */
    private readonly now: () => number,
    /** Pauses up to this many ms can't outlast a lease that was confirmed at their start. */
    private readonly maxPauseMs: number,
  ) {
    this.lastCheckAt = now();
  }

  /** Must be called frequently by a timer. `isLeaseConfirmed` checks too, since it may be read after a pause before timers fire. */
  check(): void {
    const now = this.now();
    if (now - this.lastCheckAt > this.maxPauseMs) this.pausedUntil = now;
    this.lastCheckAt = now;
  }

  /** Records that the store has confirmed the lease; `sentAt`: monotonic ms when the request was sent. */
  recordLeaseConfirmation(sentAt: number): void {
    this.check();
    this.confirmedAt = Math.max(this.confirmedAt, sentAt);
  }

  /** Monotonic ms when the last confirmed renewal was sent; -Infinity: the lease was never confirmed. */
  get lastConfirmedAt(): number {
    return this.confirmedAt;
  }

  /** Whether there was no pause since the last confirmation of the lease; checks the clock. */
  get isLeaseConfirmed(): boolean {
    this.check();
    return this.wasLeaseConfirmed;
  }

  /** As of the last check, without reading the clock: for callers that run thousands of times a second and send nothing. */
  get wasLeaseConfirmed(): boolean {
    return this.confirmedAt >= this.pausedUntil;
  }
}
