/** How long the planner rests after a plan, so that other work finds the processor free. */

import { LEAST_PLAN_REST_FACTOR, MAX_PLAN_REST_MS } from '../../constants/scheduling.js';

/** ms from the end of a plan that took `tookMs` to the next, so that plans take at most `timeShare` (0 to 1) of the time. */
export const planRestMs = (tookMs: number, timeShare: number): number =>
  Math.max(Math.min(MAX_PLAN_REST_MS, tookMs * (1 / timeShare - 1)), tookMs * LEAST_PLAN_REST_FACTOR);
