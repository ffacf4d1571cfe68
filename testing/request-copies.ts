/** Copies of requests that were carried out and answered, which arrive once more after a while. */
import type { Clock } from '../src/net/clock.js';
import type { Random } from '../src/net/random.js';

/** From a fraction of a second to more than a lease of the shortened timings. */
const MIN_DELAY_MS = 200;
const MAX_DELAY_MS = 12_000;

/** Delivers a share of all answered requests once more. */
export class RequestCopies {
  /** Share of the requests that are copied. */
  share = 0;

  constructor(
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly signal: AbortSignal,
  ) {}

  /** Called with each request that was answered; `deliver` delivers a copy of it, whose answer nobody awaits. */
  answered(deliver: () => Promise<unknown>): void {
    if (this.share === 0 || this.random.float() >= this.share) return;
    const delayMs = MIN_DELAY_MS + this.random.float() * (MAX_DELAY_MS - MIN_DELAY_MS);
    void this.clock.sleep(delayMs, this.signal).then(async () => {
      if (!this.signal.aborted) await deliver().catch(() => undefined);
    });
  }
}
