/** All roles, and the preferred node of each partition: the same on every node, since all sort the same node names. */
import { CLUSTER_LEADER_ROLE, partitionRole } from '../domain/role.js';
import type { Settings } from '../domain/settings.js';

/** Preferences derived from the settings; constant while the process runs. */
export class RolePreferences {
  readonly partitionCount: number;
  /** The partition whose preferred node is this one. */
  readonly preferredPartition: number;
  private readonly sortedNodes: readonly string[];

  constructor(settings: Settings) {
    this.partitionCount = settings.cluster.size;
    this.sortedNodes = [settings.node, ...settings.peers.map((peer) => peer.node)].sort();
    this.preferredPartition = this.sortedNodes.indexOf(settings.node) % this.partitionCount;
  }

  preferredNodeOf(partition: number): string {
    return this.sortedNodes[partition % this.sortedNodes.length]!;
  }

  partitions(): number[] {
    return Array.from({ length: this.partitionCount }, (_, partition) => partition);
  }

  /** All roles, in this node's order of preference. */
  roles(): string[] {
    const others = this.partitions().filter((partition) => partition !== this.preferredPartition);
    return [partitionRole(this.preferredPartition), CLUSTER_LEADER_ROLE, ...others.map(partitionRole)];
  }
}
