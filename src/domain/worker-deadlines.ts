/** Moments after which a heartbeat is late, a worker silent, or its lease over. */
import { CLOCK_DRIFT, LEASE_MARGIN_MS } from '../constants/clocks.js';
import { ANSWER_MISSED_MS, ROUND_TRIP_MS } from '../constants/workers.js';
import type { WorkerTimings } from './settings.js';

/**
 * Steady ms at which a worker's lease is certainly over, if nobody answers it again: counted from the receipt of the
 * last report that anybody could have answered, with the clocks' drift and a margin.
 */
export const leaseOverAt = (lastAnswerableMs: number, leaseMs: number): number =>
  lastAnswerableMs + leaseMs * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;

/** Workers send a heartbeat every interval, give or take a quarter of it. */
const LATEST_HEARTBEAT_SHARE = 1.25;

/** ms after a report by which the next is late. */
export const heartbeatLateMs = (workers: WorkerTimings): number =>
  LATEST_HEARTBEAT_SHARE * workers.heartbeatIntervalMs + ANSWER_MISSED_MS;

/** ms of silence after which a worker that lives would have knocked at another node. */
export const silenceLimitMs = (workers: WorkerTimings): number =>
  LATEST_HEARTBEAT_SHARE * workers.heartbeatIntervalMs + ROUND_TRIP_MS;
