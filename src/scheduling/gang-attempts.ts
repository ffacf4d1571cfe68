/** Under which attempt the missing members of a gang start: all anew, or as replacements in an attempt that has not begun. */
import type { WorkerTimings } from '../domain/settings.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { Clock } from '../net/clock.js';
import type { JobView } from '../records/cluster-state.js';
import { gangStateOf } from './decisions/gang-state.js';

/** The workers' timings decide how long a gang is watched; the inventory tells when its machines were last heard. */
export interface GangAttemptsDependencies {
  workers: WorkerTimings;
  inventory: MachineInventory;
  clock: Clock;
}

/** Remembers since when each gang lacks members. */
export class GangAttempts {
  /** Steady ms since when a gang with members on their machines is seen to lack others, by job id. */
  private readonly incompleteSinceMs = new Map<string, number>();

  constructor(private readonly dependencies: GangAttemptsDependencies) {}

  /** The attempt under which the missing members are to start; undefined: not now. */
  attemptFor(view: JobView): number | undefined {
    const { inventory } = this.dependencies;
    const heardAtMsOf = (machineId: string) => inventory.get(machineId)?.lastHeartbeatAt ?? -Infinity;
    const state = gangStateOf(view.knownPlacements(), heardAtMsOf);
    switch (state.kind) {
      case 'unsettled':
        return undefined;
      case 'unplaced':
        this.incompleteSinceMs.delete(view.jobId);
        return state.nextAttempt;
      case 'placed':
        return this.isWaitingForReplacement(view.jobId, state.heardAtMs) ? state.attempt : undefined;
    }
  }

  /** The gang is whole: its next loss is told anew. */
  forget(jobId: string): void {
    this.incompleteSinceMs.delete(jobId);
  }

  /** Forgets the gangs that are over. */
  prune(isLive: (jobId: string) => boolean): void {
    for (const jobId of this.incompleteSinceMs.keys()) if (!isLive(jobId)) this.incompleteSinceMs.delete(jobId);
  }

  /**
   * Members that are on their machines but have not started yet wait for a replacement under the same attempt. Had the gang
   * started, they would notice the loss and exit; only if they are seen to stay were they still waiting.
   */
  private isWaitingForReplacement(jobId: string, heardAtMs: number): boolean {
    const { workers, clock } = this.dependencies;
    const nowMs = clock.now();
    const sinceMs = this.incompleteSinceMs.get(jobId) ?? nowMs;
    this.incompleteSinceMs.set(jobId, sinceMs);
    const { gangPeerTimeoutMs, heartbeatIntervalMs } = workers;
    const noticedAtMs = sinceMs + gangPeerTimeoutMs + heartbeatIntervalMs;
    return heardAtMs > noticedAtMs && nowMs - sinceMs > gangPeerTimeoutMs + 3 * heartbeatIntervalMs;
  }
}
