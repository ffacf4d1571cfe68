/** Tells this node's fencing token to workers that have not been heard since it took their partition over. */
import type { ClusterState } from '../records/cluster-state.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { WorkerManager } from './worker-manager.js';

/** Where machines that have not reported to this node are known to listen. */
export interface EndpointDirectory {
  endpointOf(machineId: string): string | undefined;
}

export interface TokenAnnouncerDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  workerManager: WorkerManager;
  endpoints: EndpointDirectory;
}

export class TokenAnnouncer {
  constructor(private readonly dependencies: TokenAnnouncerDependencies) {}

  announce(): void {
    const { leadership, clusterState, workerManager } = this.dependencies;
    if (!leadership.isInTouchWithStore) return;
    for (const machineId of clusterState.usedMachines()) {
      if (
        workerManager.workers.has(machineId) ||
        leadership.leadershipOf(workerManager.roleOf(machineId)) === undefined
      )
        continue;
      const endpoint = this.endpointOf(machineId);
      if (endpoint === undefined) continue;
      let agentEpoch = 0;
      for (const placedTask of clusterState.tasksOn(machineId))
        agentEpoch = Math.max(agentEpoch, placedTask.placement.agentEpoch);
      void workerManager.announceToken({ machineId, endpoint, agentEpoch });
    }
  }

  private endpointOf(machineId: string): string | undefined {
    return this.dependencies.endpoints.endpointOf(machineId);
  }
}
