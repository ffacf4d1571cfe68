/** Gives partitions back to the nodes that prefer them, and partitions whose workers can't reach this node to others. */
import {
  AVOID_ROLE_MS,
  PREFERRED_NODE_UP_MS,
  STORE_LEASE_TTL_MS,
  LEAST_SILENT_WORKERS,
  SELF_SUSPECT_SHARE,
} from '../constants/leadership.js';
import type { Settings } from '../domain/settings.js';
import { silenceLimitMs } from '../domain/worker-deadlines.js';
import { partitionRole } from '../domain/role.js';
import type { RoleLeadership } from './role-leadership.js';
import type { PeerDirectory } from '../gossip/peer-directory.js';
import type { Clock } from '../net/clock.js';

/** The workers that have reported to this node, with the steady ms. */
export interface PartitionWorkers {
  ofPartition(partition: number): Iterable<{ machineId: string; lastHeartbeatAt: number }>;
}

export interface RoleRebalancerDependencies {
  settings: Settings;
  leadership: RoleLeadership;
  workers: PartitionWorkers;
  peerDirectory: PeerDirectory;
  clock: Clock;
}

export class RoleRebalancer {
  constructor(private readonly dependencies: RoleRebalancerDependencies) {}

  /** One look at each partition that this node owns. */
  rebalance(): void {
    const { leadership } = this.dependencies;
    if (!leadership.isInTouchWithStore) return;
    for (const partition of leadership.ledPartitions()) {
      const role = partitionRole(partition);
      if (this.isWantedAtHome(partition)) void leadership.release(role, 'its own node is back', STORE_LEASE_TTL_MS);
      else if (this.isOutOfReach(partition))
        void leadership.release(role, 'its workers reach other nodes only', AVOID_ROLE_MS);
    }
  }

  /** The partition belongs to another node, which has been up for a while and does not avoid it. */
  private isWantedAtHome(partition: number): boolean {
    const { settings, leadership, peerDirectory } = this.dependencies;
    const home = leadership.preferredNodeOf(partition);
    const isReady = peerDirectory.uptimeMs(home) > PREFERRED_NODE_UP_MS && peerDirectory.reachesStore(home);
    return home !== settings.node && isReady && !peerDirectory.avoidsRole(home, partitionRole(partition));
  }

  /** Many of the partition's workers are silent here, and most of these have been seen at other nodes since. */
  private isOutOfReach(partition: number): boolean {
    const { settings, workers, peerDirectory, clock } = this.dependencies;
    const now = clock.now();
    const limit = silenceLimitMs(settings.cluster.workers);
    const known = [...workers.ofPartition(partition)];
    const silent = known.filter((worker) => now - worker.lastHeartbeatAt > limit);
    if (silent.length < LEAST_SILENT_WORKERS || silent.length <= known.length * SELF_SUSPECT_SHARE) return false;
    const seenElsewhere = silent.filter((worker) =>
      peerDirectory.hasReportedElsewhere(worker.machineId, worker.lastHeartbeatAt),
    );
    return seenElsewhere.length * 2 > silent.length;
  }
}
