/** Limits the bytes sent per second: a token bucket with the capacity of one second. */
export class ByteRateLimiter {
  private availableBytes: number;
  private refilledAt: number;

  constructor(
    private readonly bytesPerSecond: number,
    /** Monotonic ms. */
    private readonly now: () => number,
  ) {
    this.availableBytes = bytesPerSecond;
    this.refilledAt = now();
  }

  refill(): void {
    const now = this.now();
    const refillBytes = ((now - this.refilledAt) / 1000) * this.bytesPerSecond;
    this.availableBytes = Math.min(this.bytesPerSecond, this.availableBytes + refillBytes);
    this.refilledAt = now;
  }

  /** Spends the bytes if available; a message larger than the capacity requires a full bucket. */
  trySpend(bytes: number): boolean {
    if (this.availableBytes < Math.min(bytes, this.bytesPerSecond)) return false;
    this.availableBytes -= bytes;
    return true;
  }
}
