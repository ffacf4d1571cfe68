/** Periodic work that runs until a signal aborts. */
import type { Log } from '../logging/log.js';
import type { Clock } from './clock.js';

/** Dependencies of `runPeriodically`, and the signal that ends it. */
export interface PeriodicDependencies {
  clock: Clock;
  log: Log;
  /** Stops the repetition; a run in progress is completed. */
  signal: AbortSignal;
}

/** Runs `work` repeatedly, `periodMs` after the end of the previous run; errors are logged and do not stop the repetition. */
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
      log.error({ error: (error as Error).stack }, 'periodic task failed');
    }
  }
}
