import { REPLICA_FRESH_MS } from '../constants/leadership.js';
import type { WorkerTimings } from '../domain/settings.js';
import { leaseExpiresAt } from '../domain/worker-deadlines.js';
import { degradedServingMs, type HeldLeadership, type RoleLeadership } from '../leadership/role-leadership.js';
import type { Clock } from '../net/clock.js';
import { attemptKeyOf } from './attempt-key.js';
import type { DesiredTask } from './reconciliation.js';
import type { Worker } from './worker.js';
import type { WorkerStatus } from './worker-wire-codec.js';

/** What the guard decides from. */
export interface CancelledLaunchGuardDependencies {
  leadership: RoleLeadership;
  timings: WorkerTimings;
  clock: Clock;
}

/** A heartbeat that waits for its answer, and what is known when it does. */
export interface UnansweredHeartbeat {
  worker: Worker;
  workerStatus: WorkerStatus;
  held: HeldLeadership;
  desired: ReadonlyMap<string, DesiredTask>;
}

/**
 * A launch of a cancelled task may still be on its way, and no new token has shut it out, since the store gives none. It is
 * carried out whenever it arrives, so the lease has to expire instead, early enough. The cancellation may be older than its
 * first sight here by one lease (a worker without contact for longer is in a new agent epoch), the age of the replica and a
 * delay.
 */
export class CancelledLaunchGuard {
  constructor(private readonly dependencies: CancelledLaunchGuardDependencies) {}

  /** Must the heartbeat stay without an answer that renews the lease? */
  mustLetLeaseExpire(heartbeat: UnansweredHeartbeat): boolean {
    const { leadership, timings, clock } = this.dependencies;
    const { launches } = heartbeat.worker;
    if (!hasCancelledLaunch(heartbeat)) {
      launches.cancelledSince = undefined;
      return false;
    }
    const now = clock.now();
    launches.cancelledSince ??= now;
    // With the store a new token is a moment away, and goes out with the next answer.
    if (leadership.hasRecentStoreContact) return false;
    const allowedMs = degradedServingMs(timings) - leaseExpiresAt(0, timings.workerLeaseMs) - 2 * REPLICA_FRESH_MS;
    return now - launches.cancelledSince >= allowedMs;
  }
}

function hasCancelledLaunch({ worker, workerStatus, held, desired }: UnansweredHeartbeat): boolean {
  // Nearly always no launch is unanswered, and nothing is looked through.
  if (!worker.launches.hasUnanswered || workerStatus.agentEpoch !== worker.agentEpoch) return false;
  const refusedBelow = Math.max(workerStatus.fencingToken, held.fencingToken);
  for (const [taskId, { placedTask, isCancelled }] of desired) {
    const sentToken = worker.launches.unansweredToken(attemptKeyOf(placedTask));
    const isPresent = workerStatus.tasks.get(taskId)?.attempt === placedTask.placement.attempt;
    if (isCancelled && !isPresent && sentToken !== undefined && sentToken >= refusedBelow) return true;
  }
  return false;
}
