/** Tells this node's fencing token to workers that have not been heard since it took their partition over. */
import type { ClusterState } from '../records/cluster-state.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { ClusterLeader } from '../autoscaling/cluster-leader.js';
import type { WorkerManager } from './worker-manager.js';

export interface WorkerGreeterDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  workerManager: WorkerManager;
  inventory: MachineInventory;
  leader: ClusterLeader;
}

export class TokenAnnouncer {
  constructor(private readonly dependencies: WorkerGreeterDependencies) {}

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
      void workerManager.announceToken(machineId, endpoint, agentEpoch);
    }
  }

  private endpointOf(machineId: string): string | undefined {
    const { inventory, leader } = this.dependencies;
    return inventory.peerReportOf(machineId)?.endpoint ?? leader.listing.get(machineId)?.endpoint;
  }
}
