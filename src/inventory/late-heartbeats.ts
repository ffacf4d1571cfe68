/** Recognises late copies among the heartbeats of workers whose partitions other nodes lead. */
import { MISROUTED_WORKERS_KEPT } from '../constants/inventory.js';
import type { MachineInfo } from '../domain/machine-state.js';
import { isNewerThan, type WorkerStatus } from '../workers/worker-wire-codec.js';

type HeartbeatVersion = Pick<WorkerStatus, 'agentEpoch' | 'sequence'>;

/** Remembers the newest heartbeat of each of the last MISROUTED_WORKERS_KEPT such workers. */
export class LateHeartbeats {
  /** The worker that sent least recently comes first. */
  private readonly newest = new Map<string, HeartbeatVersion>();

  /** Whether the heartbeat is no newer than one known here, or to the leader by its gossip (`reported`). Remembers a newer one. */
  isLate({ machineId, agentEpoch, sequence }: WorkerStatus, reported: MachineInfo | undefined): boolean {
    const heartbeat = { agentEpoch, sequence };
    const isKnown = (known: HeartbeatVersion | undefined): boolean =>
      known !== undefined && !isNewerThan(heartbeat, known);
    if (isKnown(reported) || isKnown(this.newest.get(machineId))) return true;
    this.remember(machineId, heartbeat);
    return false;
  }

  private remember(machineId: string, heartbeat: HeartbeatVersion): void {
    this.newest.delete(machineId);
    this.newest.set(machineId, heartbeat);
    if (this.newest.size <= MISROUTED_WORKERS_KEPT) return;
    const [leastRecent] = this.newest.keys();
    this.newest.delete(leastRecent!);
  }
}
