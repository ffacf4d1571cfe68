/** Measures how late timers fire: one long turn of the event loop delays every request, answer and lease renewal. */
import type { Clock } from './clock.js';

/** ms between two measurements. */
const MEASUREMENT_PERIOD_MS = 250;

/** The longest delay of a timer since the last report. */
export class EventLoopDelay {
  private longestMs = 0;

  constructor(private readonly clock: Clock) {}

  /** Measures until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const dueAtMs = this.clock.now() + MEASUREMENT_PERIOD_MS;
      await this.clock.sleep(MEASUREMENT_PERIOD_MS, signal);
      this.longestMs = Math.max(this.longestMs, this.clock.now() - dueAtMs);
    }
  }

  /** Returns the longest delay since the last call, ms. */
  takeLongestMs(): number {
    const longestMs = this.longestMs;
    this.longestMs = 0;
    return longestMs;
  }
}
