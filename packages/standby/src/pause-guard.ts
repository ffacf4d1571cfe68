/**
 * Notices that this process has stood still for longer than a hold lives, after which somebody else may hold its roles. From
 * then on no claim counts until the store has confirmed the hold by a request that was sent after the pause.
 */
export class PauseGuard {
  private lastCheckAt: number;
  private pausedUntil = -Infinity;
  private confirmedAt = -Infinity;

  constructor(
    /** Steady ms. */
    private readonly now: () => number,
    /** ms; a shorter pause can't outlive a hold that was confirmed at its begin. */
    private readonly longestPauseMs: number,
  ) {
    this.lastCheckAt = now();
  }

  /** To be called often by a timer. Every question looks too, since a resumed process may be asked before its timers fire. */
  check(): void {
    const now = this.now();
    if (now - this.lastCheckAt > this.longestPauseMs) this.pausedUntil = now;
    this.lastCheckAt = now;
  }

  /** The store has confirmed the hold; `sentAt`: steady ms when it was asked. */
  confirm(sentAt: number): void {
    this.check();
    this.confirmedAt = Math.max(this.confirmedAt, sentAt);
  }

  /** Steady ms of the sending of the last request by which the store confirmed the hold. */
  get lastConfirmedAt(): number {
    return this.confirmedAt;
  }

  /** No pause since the hold was last confirmed, as of this very moment. */
  get isConfirmed(): boolean {
    this.check();
    return this.wasConfirmed;
  }

  /** The same as of the last look: reads no clock, for what is asked thousands of times a second and sends nothing. */
  get wasConfirmed(): boolean {
    return this.confirmedAt >= this.pausedUntil;
  }
}
