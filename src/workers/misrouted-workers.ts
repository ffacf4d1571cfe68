/**
 * Workers that report to this node although another one owns them: evidence for the others that they live, and a sign that they
 * can't reach their owner.
 */
import { MISROUTED_HEARTBEAT_VALID_MS } from '../constants/gossip.js';
import { REDIRECT_AGAIN_MS } from '../constants/workers.js';
import type { WorkerStatus } from './worker-wire-codec.js';

export class MisroutedWorkers {
  /** Steady ms of the last report of each. */
  private readonly reportedAt = new Map<string, number>();
  /** Steady ms since when each is taken for cut off from its owner. */
  private readonly strandedSince = new Map<string, number>();

  has(machineId: string): boolean {
    return this.reportedAt.has(machineId);
  }

  /** Each of them, with the steady ms of its last report. */
  entries(): IterableIterator<[string, number]> {
    return this.reportedAt.entries();
  }

  /** Takes a report in. True: its worker can't get to its owner, so that the report is better passed on. */
  note(workerStatus: WorkerStatus, ownersToken: number | undefined, now: number): boolean {
    const isStranded = this.isStranded(workerStatus, ownersToken, now);
    this.reportedAt.set(workerStatus.machineId, now);
    return isStranded;
  }

  /** Forgets those that have not been here for a while. */
  prune(now: number): void {
    for (const [machineId, at] of this.reportedAt) {
      if (now - at <= MISROUTED_HEARTBEAT_VALID_MS) continue;
      this.reportedAt.delete(machineId);
      this.strandedSince.delete(machineId);
    }
  }

  /**
   * A worker that shows the present owner's token has been with it, and is here because it can't get there. Now and then
   * it is sent home all the same, so that it does not stay once the way is open again.
   */
  private isStranded({ machineId, fencingToken }: WorkerStatus, ownersToken: number | undefined, now: number): boolean {
    const wasServed = fencingToken === ownersToken;
    if (!wasServed && !this.has(machineId)) return false;
    const since = this.strandedSince.get(machineId) ?? now;
    this.strandedSince.set(machineId, since);
    if (now - since < REDIRECT_AGAIN_MS) return true;
    this.strandedSince.delete(machineId);
    return false;
  }
}
