import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { AnnouncementTarget } from './fencing-token-sender.js';

/** Where machines without contact to this node are known to listen. */
export interface EndpointDirectory {
  endpointOf(machineId: string): string | undefined;
}

/** The workers of this node, and the way to tell one of them the token. */
export interface AnnouncingWorkerManager {
  readonly workers: { has(machineId: string): boolean };
  roleOf(machineId: string): string;
  announceToken(target: AnnouncementTarget): Promise<void>;
}

/** Which machines are in use, where they listen, and who sends them the token. */
export interface TokenAnnouncerDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  workerManager: AnnouncingWorkerManager;
  endpoints: EndpointDirectory;
}

/** Tells this node's fencing token to workers in use that it has had no contact with since it took over their partition. */
export class TokenAnnouncer {
  constructor(private readonly dependencies: TokenAnnouncerDependencies) {}

  /** Looks through all machines in use; how many are told at once is limited by the sender. */
  announce(): void {
    const { leadership, clusterState, workerManager, endpoints } = this.dependencies;
    if (!leadership.hasRecentStoreContact) return;
    for (const machineId of clusterState.usedMachines()) {
      if (!this.isToBeTold(machineId)) continue;
      const endpoint = endpoints.endpointOf(machineId);
      if (endpoint === undefined) continue;
      void workerManager.announceToken({ machineId, endpoint, agentEpoch: this.newestAgentEpoch(machineId) });
    }
  }

  private isToBeTold(machineId: string): boolean {
    const { leadership, workerManager } = this.dependencies;
    if (workerManager.workers.has(machineId)) return false;
    return leadership.leadershipOf(workerManager.roleOf(machineId)) !== undefined;
  }

  /** The newest agent epoch that placements on the machine name; 0: none does. */
  private newestAgentEpoch(machineId: string): number {
    let newest = 0;
    for (const { placement } of this.dependencies.clusterState.tasksOn(machineId)) {
      newest = Math.max(newest, placement.agentEpoch);
    }
    return newest;
  }
}
