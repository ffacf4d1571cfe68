/** The clock of the program. */
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

/** Time as the rest of the program sees it; tests put a fake one here. */
export interface Clock {
  /** Monotonic time in ms, from an arbitrary origin: comparable within one process only. */
  now(): number;
  /** Time of day in ms since 1970, only for records that people read and for ages across processes. */
  wall(): number;
  /** Waits; ends early, without an error, when the signal fires. */
  sleep(ms: number, signal?: AbortSignal): Promise<void>;
}

/** The clock of the machine. */
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
