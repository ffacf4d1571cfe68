/** The system clock for stand-ins, whose waits do not keep the process alive. */
import { setTimeout as delay } from 'node:timers/promises';

import { type Clock, systemClock } from '../src/net/clock.js';

/** Waits longer than the maximum delay of a timer are for events that never happen. */
const LONGEST_WAIT_MS = 3_600_000;

export const unreferencedClock: Clock = {
  ...systemClock,
  sleep: async (ms, signal) => {
    const waitMs = Math.min(ms, LONGEST_WAIT_MS);
    await delay(waitMs, undefined, { signal, ref: false }).catch(() => undefined);
  },
};
