/** How long a leader may serve its workers without the store. */
import { CLOCK_DRIFT } from '../constants/clocks.js';
import { DEGRADED_SERVING_MARGIN_MS } from '../constants/leadership.js';
import type { WorkerTimings } from '../domain/settings.js';

/** ms for which a leader may go on answering after the moment as of which its replica has all that anybody has confirmed. */
export const degradedServingMs = ({ cancelDeadlineMs, workerLeaseMs }: WorkerTimings): number =>
  Math.max(0, (cancelDeadlineMs - workerLeaseMs) * (1 - CLOCK_DRIFT) - DEGRADED_SERVING_MARGIN_MS);
