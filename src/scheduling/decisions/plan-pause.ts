/** The pause after each plan, which leaves processor time for other work. */

import { MAX_PLAN_PAUSE_MS, MIN_PLAN_PAUSE_FACTOR } from '../../constants/scheduling.js';

/** ms from the end of a plan to the next, by its duration and the maximum share (0 to 1) of the time that plans should take. */
export const planPauseMs = (tookMs: number, timeShare: number): number =>
  Math.max(Math.min(MAX_PLAN_PAUSE_MS, tookMs * (1 / timeShare - 1)), tookMs * MIN_PLAN_PAUSE_FACTOR);
