/** Gives partitions back to the nodes that prefer them, and partitions whose workers can't reach this node to others. */
import { AVOID_MS, HANDBACK_MS, HOLD_TTL_MS, LEAST_SILENT_WORKERS, SELF_SUSPECT_SHARE } from '../constants.js';
import type { Settings } from '../config/settings.js';
import type { Peers } from '../mesh/peers.js';
import type { Clock } from '../net/clock.js';
import { silenceLimitMs } from '../workers/worker.js';
import { partitionRole, type Claims } from './claims.js';
import type { Owner } from './owner.js';

export interface RebalancerDependencies {
  settings: Settings;
  claims: Claims;
  owner: Owner;
  peers: Peers;
  clock: Clock;
}

export class Rebalancer {
  constructor(private readonly dependencies: RebalancerDependencies) {}

  /** One look at each partition that this node owns. */
  rebalance(): void {
    const { claims } = this.dependencies;
    if (!claims.inTouch) return;
    for (const partition of claims.ownedPartitions()) {
      const role = partitionRole(partition);
      if (this.isWantedAtHome(partition)) void claims.cede(role, 'its own node is back', HOLD_TTL_MS);
      else if (this.isOutOfReach(partition)) void claims.cede(role, 'its workers reach other nodes only', AVOID_MS);
    }
  }

  /** The partition belongs to another node, which has been up for a while and does not avoid it. */
  private isWantedAtHome(partition: number): boolean {
    const { settings, claims, peers } = this.dependencies;
    const home = claims.homeOf(partition);
    const isReady = peers.upMs(home) > HANDBACK_MS && peers.hasStore(home);
    return home !== settings.node && isReady && !peers.avoids(home, partitionRole(partition));
  }

  /** Many of the partition's workers are silent here, and most of these have been seen at other nodes since. */
  private isOutOfReach(partition: number): boolean {
    const { settings, owner, peers, clock } = this.dependencies;
    const now = clock.now();
    const limit = silenceLimitMs(settings.cluster.workers);
    const workers = [...owner.workers.ofPartition(partition)];
    const silent = workers.filter((worker) => now - worker.reportedAt > limit);
    if (silent.length < LEAST_SILENT_WORKERS || silent.length <= workers.length * SELF_SUSPECT_SHARE) return false;
    const seenElsewhere = silent.filter((worker) => peers.knocked(worker.host, worker.reportedAt));
    return seenElsewhere.length * 2 > silent.length;
  }
}
