/** Work that is done again and again until it is cancelled. */
import type { Clock } from './clock.js';
import type { Log } from '../logging/log.js';

export interface PeriodicDependencies {
  clock: Clock;
  log: Log;
  signal: AbortSignal;
}

/** Waits first, then works, each time; a fault in the work is logged, and the next turn comes all the same. */
export async function runPeriodically(
  ms: number,
  { clock, log, signal }: PeriodicDependencies,
  work: () => Promise<void> | void,
): Promise<void> {
  while (!signal.aborted) {
    await clock.sleep(ms, signal);
    try {
      await work();
    } catch (error) {
      log.error({ error: (error as Error).stack }, 'duty failed');
    }
  }
}
