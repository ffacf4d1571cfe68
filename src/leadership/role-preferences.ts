/** Which roles there are, and which node each partition prefers: the same at every node, since all sort the same names. */
import { CLUSTER_LEADER_ROLE, partitionRole } from '../domain/role.js';
import type { Settings } from '../domain/settings.js';

/** The preferences that follow from the settings; they do not change while the process runs. */
export class RolePreferences {
  readonly partitionCount: number;
  /** The partition that prefers this node. */
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

  /** All roles, in the order in which this node prefers them. */
  roles(): string[] {
    const others = this.partitions().filter((partition) => partition !== this.preferredPartition);
    return [partitionRole(this.preferredPartition), CLUSTER_LEADER_ROLE, ...others.map(partitionRole)];
  }
}
