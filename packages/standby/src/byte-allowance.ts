/** Bounds the bytes sent in a second: a token bucket that holds one second's worth. */
export class ByteAllowance {
  private availableBytes: number;
  private refilledAt: number;

  constructor(
    private readonly bytesPerSecond: number,
    /** Steady ms. */
    private readonly now: () => number,
  ) {
    this.availableBytes = bytesPerSecond;
    this.refilledAt = now();
  }

  refill(): void {
    const now = this.now();
    const earnedBytes = ((now - this.refilledAt) / 1000) * this.bytesPerSecond;
    this.availableBytes = Math.min(this.bytesPerSecond, this.availableBytes + earnedBytes);
    this.refilledAt = now;
  }

  /** Spends the bytes if they are there; what is larger than a second's worth waits for a full bucket. */
  trySpend(bytes: number): boolean {
    if (this.availableBytes < Math.min(bytes, this.bytesPerSecond)) return false;
    this.availableBytes -= bytes;
    return true;
  }
}
