/** The clock interface, and its implementation with the system clock. */
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

/** The source of time for the whole program; tests use a fake one. */
export interface Clock {
  /** Monotonic time in ms from an arbitrary origin: comparable only within one process. */
  now(): number;
  /** Wall-clock time in ms since 1970, for stored timestamps, deadlines, and ages across processes; never for leases. */
  wall(): number;
  /** Resolves after `ms`, or earlier, without an error, when the signal aborts. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the operating system. */
export const systemClock: Clock = {
  now: () => performance.now(),
  wall: () => Date.now(),
  sleep: async (ms, signal) => {
    try {
      await delay(ms, undefined, { signal });
    } catch (error) {
      if (!signal?.aborted) throw error;
    }
  },
};
