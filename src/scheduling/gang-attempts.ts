/** Determines the attempt of a gang's missing members: a new one, or the current one for replacements before the gang starts. */
import type { WorkerTimings } from '../domain/settings.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { Clock } from '../net/clock.js';
import type { JobView } from '../records/cluster-state.js';
import { gangStateOf } from './decisions/gang-state.js';

/** The worker timings determine how long a gang is observed; the inventory has the last heartbeat of its machines. */
export interface GangAttemptsDependencies {
  workers: WorkerTimings;
  inventory: MachineInventory;
  clock: Clock;
}

/** Records since when each gang lacks members. */
export class GangAttempts {
  /** Monotonic ms when a gang with placed members was first seen to lack others, by job id. */
  private readonly incompleteSinceMs = new Map<string, number>();

  constructor(private readonly dependencies: GangAttemptsDependencies) {}

  /** The attempt that the missing members must start with; undefined if they must not start now. */
  attemptFor(view: JobView): number | undefined {
    const { inventory } = this.dependencies;
    const lastHeartbeatAtMsOf = (machineId: string) => inventory.get(machineId)?.lastHeartbeatAt ?? -Infinity;
    const state = gangStateOf(view.storedPlacements(), lastHeartbeatAtMsOf);
    switch (state.kind) {
      case 'unsettled':
        return undefined;
      case 'unplaced':
        this.incompleteSinceMs.delete(view.jobId);
        return state.nextAttempt;
      case 'placed':
        return this.isWaitingForReplacement(view.jobId, state.oldestHeartbeatAtMs) ? state.attempt : undefined;
    }
  }

  /** Clears the observation of a gang that is complete: its next loss of a member is timed anew. */
  forget(jobId: string): void {
    this.incompleteSinceMs.delete(jobId);
  }

  /** Removes the gangs whose jobs have ended. */
  prune(isLive: (jobId: string) => boolean): void {
    for (const jobId of this.incompleteSinceMs.keys()) if (!isLive(jobId)) this.incompleteSinceMs.delete(jobId);
  }

  /**
   * Whether the placed members are waiting for the missing ones: a replacement can then join under the same attempt. Members of
   * a gang that had started would notice the loss and exit, so only members that are still there afterwards are waiting.
   */
  private isWaitingForReplacement(jobId: string, oldestHeartbeatAtMs: number): boolean {
    const { workers, clock } = this.dependencies;
    const nowMs = clock.now();
    const sinceMs = this.incompleteSinceMs.get(jobId) ?? nowMs;
    this.incompleteSinceMs.set(jobId, sinceMs);
    const { gangPeerTimeoutMs, heartbeatIntervalMs } = workers;
    const exitReportedByMs = sinceMs + gangPeerTimeoutMs + heartbeatIntervalMs;
    return oldestHeartbeatAtMs > exitReportedByMs && nowMs - sinceMs > gangPeerTimeoutMs + 3 * heartbeatIntervalMs;
  }
}
