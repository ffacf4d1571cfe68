/** Applies the succession rule to what this node knows about the other nodes. */
import { type Candidate, designateSuccessor, type PauseGuard } from '@dewlatch/standby';

import { partitionOfRole } from '../domain/role.js';
import type { Settings } from '../domain/settings.js';
import type { PeerDirectory } from '../gossip/peer-directory.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { LeadershipHistory } from './leadership-history.js';
import type { RoleLeadership } from './role-leadership.js';

/** Inputs of the choice of a successor. */
export interface SuccessorDesignationDependencies {
  settings: Settings;
  leadership: RoleLeadership;
  peerDirectory: PeerDirectory;
  clusterState: ClusterState;
  guard: PauseGuard;
  history: LeadershipHistory;
}

/** Nodes with different information may designate different successors; the store lets only one of them acquire the role. */
export class SuccessorDesignation {
  constructor(private readonly dependencies: SuccessorDesignationDependencies) {}

  /**
   * The node that should acquire a vacant role first; undefined if no former leader is known: after a restart of all controllers
   * each one acquires its preferred partition.
   */
  successorOf(role: string): string | undefined {
    const former = this.dependencies.history.formerLeaderOf(role);
    return former === undefined ? undefined : this.designate(role, former.node);
  }

  /** The nodes whose roles this node should be ready to take over. */
  leadersToFollow(): Set<string> {
    const { settings, clusterState } = this.dependencies;
    const nodes = new Set<string>();
    for (const [role, { record }] of clusterState.leadershipRecords) {
      if (record.node !== settings.node && this.designate(role, record.node) === settings.node) nodes.add(record.node);
    }
    return nodes;
  }

  private designate(role: string, leader: string | undefined): string | undefined {
    const { leadership } = this.dependencies;
    const partition = partitionOfRole(role);
    const preferredNode = partition === undefined ? undefined : leadership.preferredNodeOf(partition);
    return designateSuccessor({ role, leader, preferredNode }, this.candidates(role));
  }

  private candidates(role: string): Candidate[] {
    const { settings, leadership, peerDirectory, clusterState, guard } = this.dependencies;
    const leaders = [...clusterState.leadershipRecords.values()].map(({ record }) => record.node);
    const ledRoleCountOf = (node: string) => leaders.filter((leader) => leader === node).length;
    const own: Candidate = {
      node: settings.node,
      zone: settings.zone,
      isServing: leadership.hasRecentStoreContact && guard.isLeaseConfirmed,
      avoidsRole: leadership.avoidedRoles().includes(role),
      ledRoleCount: ledRoleCountOf(settings.node),
    };
    const others = settings.peers.map(({ node, zone }): Candidate => ({
      node,
      zone,
      isServing: peerDirectory.reachesStore(node),
      avoidsRole: peerDirectory.avoidsRole(node, role),
      ledRoleCount: ledRoleCountOf(node),
    }));
    return [own, ...others];
  }
}
