/** When a heartbeat is late, a worker silent, or its lease expired. */
import { CLOCK_DRIFT, LEASE_MARGIN_MS } from '../constants/clocks.js';
import { ANSWER_MISSED_MS, ROUND_TRIP_MS } from '../constants/workers.js';
import type { WorkerTimings } from './settings.js';

/**
 * Monotonic ms at which a worker's lease has certainly expired if nobody answers it again: counted from the receipt of the last
 * heartbeat that anybody could have answered, with the clocks' drift and a margin.
 */
export const leaseExpiresAt = (lastAnswerableMs: number, leaseMs: number): number =>
  lastAnswerableMs + leaseMs * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;

/** Workers send a heartbeat every interval, give or take a quarter of it. */
const LATEST_HEARTBEAT_SHARE = 1.25;

/** ms after a heartbeat by which the next is late. */
export const heartbeatLateMs = (workers: WorkerTimings): number =>
  LATEST_HEARTBEAT_SHARE * workers.heartbeatIntervalMs + ANSWER_MISSED_MS;

/** ms of silence after which a worker that is alive would have sent its heartbeat to another node. */
export const unresponsiveAfterMs = (workers: WorkerTimings): number =>
  LATEST_HEARTBEAT_SHARE * workers.heartbeatIntervalMs + ROUND_TRIP_MS;
