/** Connects the worker manager to the parts that it queries and to those that it notifies of heartbeats and exits. */
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { HealthChecks } from '../scheduling/health-checks.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';
import type { WorkerManagerEvents } from '../workers/worker-manager-dependencies.js';

/** The connected parts; those that are built after the worker manager are looked up when they are needed. */
export interface WorkerManagerEventsDependencies {
  clusterState: ClusterState;
  healthChecks: HealthChecks;
  inventory: () => MachineInventory;
  planner: () => PlacementPlanner;
  /** Called when a heartbeat of a worker in the role's partition is answered. */
  workerAnswered: (role: string) => void;
}

/** Connects the worker manager's queries and notifications with the records, the inventory and the scheduling. */
export function createWorkerManagerEvents({
  clusterState,
  healthChecks,
  inventory,
  planner,
  workerAnswered,
}: WorkerManagerEventsDependencies): WorkerManagerEvents {
  return {
    isTerminated: (machineId) => inventory().terminated.has(machineId),
    isLate: (workerStatus) => inventory().isLate(workerStatus),
    knownImages: (machineId) => inventory().peerReportOf(machineId)?.images ?? [],
    imageCacheGb: (machineType) => inventory().catalog.get(machineType)?.imageCacheGb ?? Infinity,
    workerAnswered,
    heartbeatReceived: (workerStatus) => healthChecks.heartbeatReceived(workerStatus),
    taskCompleted: (placedTask, ranS) => {
      const spec = clusterState.jobs.get(placedTask.jobId)?.record.spec;
      if (spec !== undefined) planner().recordRunTime(spec, ranS);
    },
    taskDied: (placedTask) => healthChecks.taskDied(placedTask),
  };
}
