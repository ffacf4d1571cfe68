/**
 * Detects that this process has paused for longer than the TTL of its store lease, after which another node may lead its roles.
 * From then on its leadership does not count until the store has confirmed the lease by a request that was sent after the pause.
 */
export class PauseGuard {
  private lastCheckAt: number;
  private pausedUntil = -Infinity;
  private confirmedAt = -Infinity;

  constructor(
    /** Steady ms. */
    private readonly now: () => number,
    /** ms; a shorter pause can't outlast a lease that was confirmed when it began. */
    private readonly longestPauseMs: number,
  ) {
    this.lastCheckAt = now();
  }

  /** To be called often by a timer. `isConfirmed` checks too, since a resumed process may be asked before its timers fire. */
  check(): void {
    const now = this.now();
    if (now - this.lastCheckAt > this.longestPauseMs) this.pausedUntil = now;
    this.lastCheckAt = now;
  }

  /** The store has confirmed the lease; `sentAt`: steady ms when the request was sent. */
  confirm(sentAt: number): void {
    this.check();
    this.confirmedAt = Math.max(this.confirmedAt, sentAt);
  }

  /** Steady ms when the last request was sent by which the store confirmed the lease; -Infinity: none was. */
  get lastConfirmedAt(): number {
    return this.confirmedAt;
  }

  /** No pause since the lease was last confirmed, as of this very moment. */
  get isConfirmed(): boolean {
    this.check();
    return this.wasConfirmed;
  }

  /** The same as of the last check: reads no clock, for what is asked thousands of times a second and sends nothing. */
  get wasConfirmed(): boolean {
    return this.confirmedAt >= this.pausedUntil;
  }
}
