/** Work that is repeated until it is cancelled. */
import type { Log } from '../logging/log.js';
import type { Clock } from './clock.js';

/** What runPeriodically works with. */
export interface PeriodicDependencies {
  clock: Clock;
  log: Log;
  /** Ends the repetition; work that has begun is completed. */
  signal: AbortSignal;
}

/** Waits `periodMs`, then works, each time; an error in the work is logged, and the next turn comes all the same. */
export async function runPeriodically(
  periodMs: number,
  { clock, log, signal }: PeriodicDependencies,
  work: () => Promise<void> | void,
): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(periodMs, signal);
    try {
      await work();
    } catch (error) {
      log.error({ error: (error as Error).stack }, 'duty failed');
    }
  }
}
