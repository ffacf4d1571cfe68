import { REPLICA_FRESH_MS } from '../constants/leadership.js';
import { maxCount } from '../domain/count.js';
import type { WorkerTimings } from '../domain/settings.js';
import { leaseExpiresAt } from '../domain/worker-deadlines.js';
import { degradedServingMs, type HeldLeadership, type RoleLeadership } from '../leadership/role-leadership.js';
import type { Clock } from '../net/clock.js';
import { attemptOf } from './attempt-key.js';
import type { DesiredTask } from './reconciliation.js';
import type { Worker } from './worker.js';
import { isNewerThan, type WorkerStatus } from './worker-wire-codec.js';

/** The state that the guard's decision depends on. */
export interface CancelledLaunchGuardDependencies {
  leadership: RoleLeadership;
  timings: WorkerTimings;
  clock: Clock;
}

/** A heartbeat to be answered, with what is known of its worker and partition. */
export interface UnansweredHeartbeat {
  worker: Worker;
  workerStatus: WorkerStatus;
  held: HeldLeadership;
  desired: ReadonlyMap<string, DesiredTask>;
}

/**
 * Lets a worker's lease expire if a launch of a cancelled task may still arrive there, and the store, which is out of
 * reach, gives no new fencing token that would make the worker refuse it. The worker would execute the launch whenever
 * it arrives, so the lease has to expire early enough. When the guard first finds the cancellation, it may be older by
 * one lease (a worker without contact for longer is in a new agent epoch), the age of the replica and a delay.
 */
export class CancelledLaunchGuard {
  constructor(private readonly dependencies: CancelledLaunchGuardDependencies) {}

  /** Whether the heartbeat must get no response that renews the lease. */
  mustLetLeaseExpire(heartbeat: UnansweredHeartbeat): boolean {
    const { leadership, timings, clock } = this.dependencies;
    const { launches } = heartbeat.worker;
    if (!mayCancelledLaunchArrive(heartbeat)) {
      launches.cancelledLaunchSince = undefined;
      return false;
    }
    const now = clock.now();
    launches.cancelledLaunchSince ??= now;
    // While the store is reachable, a new token is obtained shortly and goes out with the next response.
    if (leadership.hasRecentStoreContact) return false;
    const allowedMs = degradedServingMs(timings) - leaseExpiresAt(0, timings.workerLeaseMs) - 2 * REPLICA_FRESH_MS;
    return now - launches.cancelledLaunchSince >= allowedMs;
  }
}

function mayCancelledLaunchArrive({ worker, workerStatus, held, desired }: UnansweredHeartbeat): boolean {
  if (workerStatus.agentEpoch !== worker.agentEpoch) return false;
  // A command response may have overtaken the heartbeat.
  const { tasks } = isNewerThan(worker, workerStatus) ? worker : workerStatus;
  const lowestAcceptedToken = maxCount(workerStatus.fencingToken, held.fencingToken);
  for (const [taskId, { placedTask, isCancelled }] of desired) {
    if (!isCancelled || tasks.get(taskId)?.attempt === placedTask.placement.attempt) continue;
    if (worker.launches.mayBeRequestedSince(lowestAcceptedToken, attemptOf(placedTask))) return true;
  }
  return false;
}
