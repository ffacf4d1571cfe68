import { MISROUTED_HEARTBEAT_VALID_MS } from '../constants/gossip.js';
import { REDIRECT_AGAIN_MS } from '../constants/workers.js';
import type { WorkerStatus } from './worker-wire-codec.js';

/**
 * Workers that send their heartbeats to this node although another one leads their partition: evidence for the others that they
 * are up, and a sign that they can't reach their leader. All times are steady ms.
 */
export class MisroutedWorkers {
  /** By machine. */
  private readonly lastHeartbeatAt = new Map<string, number>();
  /** Since when each is taken to be cut off from its leader. */
  private readonly cutOffSince = new Map<string, number>();

  /** Did the machine's worker send a heartbeat here lately? */
  has(machineId: string): boolean {
    return this.lastHeartbeatAt.has(machineId);
  }

  /** Each machine, with the time of its last heartbeat here. */
  entries(): IterableIterator<[string, number]> {
    return this.lastHeartbeatAt.entries();
  }

  /**
   * Takes a heartbeat in; `leaderToken` is the present leader's fencing token, if there is one. True: its worker can't get to
   * its leader, so that the heartbeat is better forwarded.
   */
  recordHeartbeat(workerStatus: WorkerStatus, leaderToken: number | undefined, now: number): boolean {
    const isCutOff = this.updateCutOff(workerStatus, leaderToken, now);
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
   * A worker that shows the present leader's token has been with it, and is here because it can't get there. Now and then it
   * is redirected all the same, so that it does not stay once the way is open again.
   */
  private updateCutOff(workerStatus: WorkerStatus, leaderToken: number | undefined, now: number): boolean {
    const { machineId, fencingToken } = workerStatus;
    const wasServed = fencingToken === leaderToken;
    if (!wasServed && !this.has(machineId)) return false;
    const since = this.cutOffSince.get(machineId) ?? now;
    this.cutOffSince.set(machineId, since);
    if (now - since < REDIRECT_AGAIN_MS) return true;
    this.cutOffSince.delete(machineId);
    return false;
  }
}
