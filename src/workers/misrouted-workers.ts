import { MISROUTED_HEARTBEAT_VALID_MS } from '../constants/gossip.js';
import { REDIRECT_AGAIN_MS } from '../constants/workers.js';
import type { Count } from '../domain/count.js';
import type { WorkerStatus } from './worker-wire-codec.js';

/**
 * Workers that send their heartbeats to this node although another one leads their partition. This is evidence for the
 * other nodes that the workers are alive, and a sign that they can't reach their leader. All times are monotonic ms.
 */
export class MisroutedWorkers {
  /** By machine id. */
  private readonly lastHeartbeatAt = new Map<string, number>();
  /** Since when each worker is considered cut off from its leader, by machine id. */
  private readonly cutOffSince = new Map<string, number>();

  /** Whether the machine's worker has recently sent a heartbeat here. */
  has(machineId: string): boolean {
    return this.lastHeartbeatAt.has(machineId);
  }

  /** Each machine id with the time of the last heartbeat here. */
  entries(): IterableIterator<[string, number]> {
    return this.lastHeartbeatAt.entries();
  }

  /**
   * Records a heartbeat; `leaderToken` is the present leader's fencing token, if there is a leader. Returns whether the
   * worker can't reach its leader, so that the heartbeat should be forwarded.
   */
  recordHeartbeat(workerStatus: WorkerStatus, leaderToken: Count | undefined, now: number): boolean {
    const isCutOff = this.updateCutOff(workerStatus, leaderToken, now);
    this.lastHeartbeatAt.set(workerStatus.machineId, now);
    return isCutOff;
  }

  /** Forgets workers that have sent no heartbeat here for a while. */
  prune(now: number): void {
    for (const [machineId, at] of this.lastHeartbeatAt) {
      if (now - at <= MISROUTED_HEARTBEAT_VALID_MS) continue;
      this.lastHeartbeatAt.delete(machineId);
      this.cutOffSince.delete(machineId);
    }
  }

  /**
   * Returns whether the worker counts as cut off: it reports the present leader's token, so it was in contact with that
   * leader before, or it sends heartbeats here repeatedly. It is still redirected every REDIRECT_AGAIN_MS, so that it
   * returns to the leader once that is reachable again.
   */
  private updateCutOff(workerStatus: WorkerStatus, leaderToken: Count | undefined, now: number): boolean {
    const { machineId, fencingToken } = workerStatus;
    const hasLeaderToken = fencingToken === leaderToken;
    if (!hasLeaderToken && !this.has(machineId)) return false;
    const since = this.cutOffSince.get(machineId) ?? now;
    this.cutOffSince.set(machineId, since);
    if (now - since < REDIRECT_AGAIN_MS) return true;
    this.cutOffSince.delete(machineId);
    return false;
  }
}
