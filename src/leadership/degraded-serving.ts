/** How long a leader may keep serving its workers while the store is unreachable. */
import { CLOCK_DRIFT } from '../constants/clocks.js';
import { DEGRADED_SERVING_MARGIN_MS } from '../constants/leadership.js';
import type { WorkerTimings } from '../domain/settings.js';

/** ms for which a leader may keep answering workers, counted from the last time at which its replica held every confirmed write. */
export const degradedServingMs = ({ cancelDeadlineMs, workerLeaseMs }: WorkerTimings): number =>
  Math.max(0, (cancelDeadlineMs - workerLeaseMs) * (1 - CLOCK_DRIFT) - DEGRADED_SERVING_MARGIN_MS);
