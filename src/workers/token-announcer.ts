import { type Count, maxCount } from '../domain/count.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { AnnouncementTarget } from './fencing-token-sender.js';

/** Known endpoints of machines without contact to this node. */
export interface EndpointDirectory {
  endpointOf(machineId: string): string | undefined;
}

/** The part of the worker manager that announcements need. */
export interface AnnouncingWorkerManager {
  readonly workers: { has(machineId: string): boolean };
  roleOf(machineId: string): string;
  announceToken(target: AnnouncementTarget): Promise<void>;
}

/** The machines in use, their endpoints, and the manager that sends them the token. */
export interface TokenAnnouncerDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  workerManager: AnnouncingWorkerManager;
  endpoints: EndpointDirectory;
}

/**
 * Announces this node's fencing token to the workers of machines in use with which it has had no contact since it took
 * over their partition.
 */
export class TokenAnnouncer {
  constructor(private readonly dependencies: TokenAnnouncerDependencies) {}

  /** Checks all machines in use; the sender limits how many announcements are in flight. */
  announce(): void {
    const { leadership, clusterState, workerManager, endpoints } = this.dependencies;
    if (!leadership.hasRecentStoreContact) return;
    for (const machineId of clusterState.usedMachines()) {
      if (!this.needsAnnouncement(machineId)) continue;
      const endpoint = endpoints.endpointOf(machineId);
      if (endpoint === undefined) continue;
      void workerManager.announceToken({ machineId, endpoint, agentEpoch: this.newestAgentEpoch(machineId) });
    }
  }

  private needsAnnouncement(machineId: string): boolean {
    const { leadership, workerManager } = this.dependencies;
    if (workerManager.workers.has(machineId)) return false;
    return leadership.leadershipOf(workerManager.roleOf(machineId)) !== undefined;
  }

  /** The newest agent epoch among the placements on the machine; 0 if there are none. */
  private newestAgentEpoch(machineId: string): Count {
    let newest: Count = 0;
    for (const { placement } of this.dependencies.clusterState.tasksOn(machineId)) {
      newest = maxCount(newest, placement.agentEpoch);
    }
    return newest;
  }
}
