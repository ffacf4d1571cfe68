/**
 * Workers that report to this node although another one owns them: evidence for the others that they live, and a sign that they
 * can't reach their owner.
 */
import { MISROUTED_HEARTBEAT_VALID_MS } from '../constants/gossip.js';
import { REDIRECT_AGAIN_MS } from '../constants/workers.js';
import type { WorkerStatus } from './worker-wire-codec.js';

export class MisroutedWorkers {
  /** Steady ms of the last report of each. */
  private readonly lastHeartbeatAt = new Map<string, number>();
  /** Steady ms since when each is taken for cut off from its owner. */
  private readonly cutOffSince = new Map<string, number>();

  has(machineId: string): boolean {
    return this.lastHeartbeatAt.has(machineId);
  }

  /** Each of them, with the steady ms of its last report. */
  entries(): IterableIterator<[string, number]> {
    return this.lastHeartbeatAt.entries();
  }

  /** Takes a report in. True: its worker can't get to its owner, so that the report is better passed on. */
  recordHeartbeat(workerStatus: WorkerStatus, leaderToken: number | undefined, now: number): boolean {
    const isCutOff = this.isCutOff(workerStatus, leaderToken, now);
    this.lastHeartbeatAt.set(workerStatus.machineId, now);
    return isCutOff;
  }

  /** Forgets those that have not been here for a while. */
  prune(now: number): void {
    for (const [machineId, at] of this.lastHeartbeatAt) {
      if (now - at <= MISROUTED_HEARTBEAT_VALID_MS) continue;
      this.lastHeartbeatAt.delete(machineId);
      this.cutOffSince.delete(machineId);
    }
  }

  /**
   * A worker that shows the present owner's token has been with it, and is here because it can't get there. Now and then
   * it is sent home all the same, so that it does not stay once the way is open again.
   */
  private isCutOff({ machineId, fencingToken }: WorkerStatus, leaderToken: number | undefined, now: number): boolean {
    const wasServed = fencingToken === leaderToken;
    if (!wasServed && !this.has(machineId)) return false;
    const since = this.cutOffSince.get(machineId) ?? now;
    this.cutOffSince.set(machineId, since);
    if (now - since < REDIRECT_AGAIN_MS) return true;
    this.cutOffSince.delete(machineId);
    return false;
  }
}
