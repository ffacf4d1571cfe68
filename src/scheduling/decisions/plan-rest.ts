/** How long the planner rests after a plan, so that other work finds the processor free. */

import { MAX_PLAN_REST_MS, LEAST_PLAN_REST_FACTOR } from '../../constants/scheduling.js';

/** ms from the end of a plan that took so long to the next, which may take a share of the time. */
export const planRestMs = (tookMs: number, timeShare: number): number =>
  Math.max(Math.min(MAX_PLAN_REST_MS, tookMs * (1 / timeShare - 1)), tookMs * LEAST_PLAN_REST_FACTOR);
