/** Detects delayed copies of heartbeats from workers whose partition another node leads. */
import { MISROUTED_WORKERS_KEPT } from '../constants/inventory.js';
import type { MachineInfo } from '../domain/machine-state.js';
import { isNewerThan, type WorkerStatus } from '../workers/worker-wire-codec.js';

type HeartbeatVersion = Pick<WorkerStatus, 'agentEpoch' | 'sequence'>;

/** Stores the newest heartbeat version of the MISROUTED_WORKERS_KEPT such workers that sent a heartbeat most recently. */
export class LateHeartbeats {
  /** By machine id; the worker whose heartbeat is least recent comes first. */
  private readonly newestByMachine = new Map<string, HeartbeatVersion>();

  /** Whether the heartbeat is no newer than one received here or reported by the leader's gossip (`reported`). Stores a newer one. */
  isLate({ machineId, agentEpoch, sequence }: WorkerStatus, reported: MachineInfo | undefined): boolean {
    const heartbeat = { agentEpoch, sequence };
    const isNotNewerThan = (known: HeartbeatVersion | undefined): boolean =>
      known !== undefined && !isNewerThan(heartbeat, known);
    if (isNotNewerThan(reported) || isNotNewerThan(this.newestByMachine.get(machineId))) return true;
    this.remember(machineId, heartbeat);
    return false;
  }

  private remember(machineId: string, heartbeat: HeartbeatVersion): void {
    this.newestByMachine.delete(machineId);
    this.newestByMachine.set(machineId, heartbeat);
    if (this.newestByMachine.size <= MISROUTED_WORKERS_KEPT) return;
    const [leastRecent] = this.newestByMachine.keys();
    this.newestByMachine.delete(leastRecent!);
  }
}
