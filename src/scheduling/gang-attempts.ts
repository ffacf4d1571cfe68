/** Under which attempt the tasks of a gang start that have no place: all anew, or as replacements in one that has not begun. */
import type { WorkerTimings } from '../domain/settings.js';
import type { JobView } from '../records/cluster-state.js';
import type { Clock } from '../net/clock.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';

export interface GangAttemptsDependencies {
  workers: WorkerTimings;
  inventory: MachineInventory;
  clock: Clock;
}

export class GangAttempts {
  /** Steady ms since when a gang with members on their machines is seen to lack others. */
  private readonly incompleteSince = new Map<string, number>();

  constructor(private readonly dependencies: GangAttemptsDependencies) {}

  /** The attempt under which the missing members are to start; undefined: not now. */
  attemptFor(view: JobView): number | undefined {
    const { workers, inventory, clock } = this.dependencies;
    // Members that are on their machines but have not started yet wait for a replacement under the same attempt.
    let highestAttempt = 0;
    let placedAttempt: number | undefined;
    let lastHeardAt = Infinity;
    for (const [, placement] of view.knownPlacements()) {
      if (placement.kind === 'done') return undefined;
      highestAttempt = Math.max(highestAttempt, placement.attempt);
      if (placement.kind === 'placed') {
        if (placement.gracePeriodS !== null || (placedAttempt !== undefined && placedAttempt !== placement.attempt))
          return undefined;
        placedAttempt = placement.attempt;
        lastHeardAt = Math.min(lastHeardAt, inventory.get(placement.machineId)?.heardAt ?? -Infinity);
      }
    }
    if (placedAttempt === undefined) {
      this.incompleteSince.delete(view.jobId);
      return highestAttempt + 1;
    }
    // Had it started, the others notice the loss and exit; only if they are seen to stay were they still waiting.
    const now = clock.now();
    const since = this.incompleteSince.get(view.jobId) ?? now;
    this.incompleteSince.set(view.jobId, since);
    const { gangPeerTimeoutMs, heartbeatIntervalMs } = workers;
    const noticedAt = since + gangPeerTimeoutMs + heartbeatIntervalMs;
    return lastHeardAt > noticedAt && now - since > gangPeerTimeoutMs + 3 * heartbeatIntervalMs
      ? placedAttempt
      : undefined;
  }

  /** The gang is whole: its next loss is told anew. */
  forget(jobId: string): void {
    this.incompleteSince.delete(jobId);
  }

  /** Forgets the gangs that are over. */
  prune(isLive: (jobId: string) => boolean): void {
    for (const jobId of this.incompleteSince.keys()) if (!isLive(jobId)) this.incompleteSince.delete(jobId);
  }
}
