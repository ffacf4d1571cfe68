/** Time limits after which a heartbeat is late, a worker is unresponsive, or its lease has expired. */
import { CLOCK_DRIFT, LEASE_MARGIN_MS } from '../constants/clocks.js';
import { LATE_HEARTBEAT_MARGIN_MS, NODE_SWITCH_MS } from '../constants/workers.js';
import type { WorkerTimings } from './settings.js';

/**
 * Monotonic ms at which a worker's lease has certainly expired if no node responds to it again: counted from the receipt of the
 * last heartbeat that any node could have answered, plus the clock drift and a margin.
 */
export const leaseExpiresAt = (lastAnswerableAt: number, leaseMs: number): number =>
  lastAnswerableAt + leaseMs * (1 + CLOCK_DRIFT) + LEASE_MARGIN_MS;

/** Workers send heartbeats at intervals that vary by up to a quarter. */
const MAX_HEARTBEAT_INTERVAL_FACTOR = 1.25;

/** ms after a heartbeat from which the next one is late. */
export const heartbeatLateMs = (workers: WorkerTimings): number =>
  MAX_HEARTBEAT_INTERVAL_FACTOR * workers.heartbeatIntervalMs + LATE_HEARTBEAT_MARGIN_MS;

/** ms of silence after which a live worker would already have sent its heartbeat to another node. */
export const unresponsiveAfterMs = (workers: WorkerTimings): number =>
  MAX_HEARTBEAT_INTERVAL_FACTOR * workers.heartbeatIntervalMs + NODE_SWITCH_MS;
