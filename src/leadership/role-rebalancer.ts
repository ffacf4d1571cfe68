/** Releases partitions to their preferred nodes, and to other nodes if their workers can't reach this one. */
import {
  AVOID_ROLE_MS,
  LEADER_FAULT_SHARE,
  MIN_SILENT_WORKERS,
  PREFERRED_NODE_UP_MS,
  STORE_LEASE_TTL_MS,
} from '../constants/leadership.js';
import { partitionRole } from '../domain/role.js';
import type { Settings } from '../domain/settings.js';
import { unresponsiveAfterMs } from '../domain/worker-deadlines.js';
import type { PeerDirectory } from '../gossip/peer-directory.js';
import type { Clock } from '../net/clock.js';
import type { RoleLeadership } from './role-leadership.js';

/** The workers that have sent heartbeats to this node; `lastHeartbeatAt`: monotonic ms of the last one. */
export interface PartitionWorkers {
  ofPartition(partition: number): Iterable<{ machineId: string; lastHeartbeatAt: number }>;
}

/** Inputs of the decision to move roles. */
export interface RoleRebalancerDependencies {
  settings: Settings;
  leadership: RoleLeadership;
  workers: PartitionWorkers;
  peerDirectory: PeerDirectory;
  clock: Clock;
}

/** Moves roles between nodes, not tasks. `RoleLeadership` releases the role and avoids reacquiring it for a while. */
export class RoleRebalancer {
  constructor(private readonly dependencies: RoleRebalancerDependencies) {}

  /** Checks once each partition that this node leads. */
  rebalance(): void {
    const { leadership } = this.dependencies;
    if (!leadership.hasRecentStoreContact) return;
    for (const partition of leadership.ledPartitions()) {
      const role = partitionRole(partition);
      if (this.isPreferredNodeReady(partition))
        void leadership.release(role, 'preferred node is back', STORE_LEASE_TTL_MS);
      else if (this.isBetterReachedElsewhere(partition))
        void leadership.release(role, 'workers reach other nodes only', AVOID_ROLE_MS);
    }
  }

  /** Whether another node is preferred, has been up for a while, reaches the store and does not avoid the role. */
  private isPreferredNodeReady(partition: number): boolean {
    const { settings, leadership, peerDirectory } = this.dependencies;
    const preferredNode = leadership.preferredNodeOf(partition);
    const isReady =
      peerDirectory.uptimeMs(preferredNode) > PREFERRED_NODE_UP_MS && peerDirectory.reachesStore(preferredNode);
    return (
      preferredNode !== settings.node && isReady && !peerDirectory.avoidsRole(preferredNode, partitionRole(partition))
    );
  }

  /** Whether many of the partition's workers are silent here, and most of those have since sent heartbeats to other nodes. */
  private isBetterReachedElsewhere(partition: number): boolean {
    const { settings, workers, peerDirectory, clock } = this.dependencies;
    const now = clock.now();
    const limitMs = unresponsiveAfterMs(settings.cluster.workers);
    const partitionWorkers = [...workers.ofPartition(partition)];
    const silent = partitionWorkers.filter((worker) => now - worker.lastHeartbeatAt > limitMs);
    if (silent.length < MIN_SILENT_WORKERS || silent.length <= partitionWorkers.length * LEADER_FAULT_SHARE)
      return false;
    const seenElsewhere = silent.filter((worker) =>
      peerDirectory.hasMisroutedHeartbeatSince(worker.machineId, worker.lastHeartbeatAt),
    );
    return seenElsewhere.length * 2 > silent.length;
  }
}
