/** Joins the manager of the workers to the parts that it asks, and that want to know of heartbeats and exits. */
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { HealthChecks } from '../scheduling/health-checks.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';
import type { WorkerManagerEvents } from '../workers/worker-manager-dependencies.js';

/** The parts that are built after the manager are asked for when they are needed. */
export interface WorkerManagerEventsDependencies {
  clusterState: ClusterState;
  healthChecks: HealthChecks;
  inventory: () => MachineInventory;
  planner: () => PlacementPlanner;
  /** A worker of the role's partition is being answered. */
  workerAnswered: (role: string) => void;
}

/** Connects what heartbeats report with the records and the scheduling. */
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
    knownImages: (machineId) => inventory().peerStateOf(machineId)?.images ?? [],
    cacheGb: (machineType) => inventory().catalog.get(machineType)?.imageCacheGb ?? Infinity,
    workerAnswered,
    heartbeatReceived: (workerStatus) => healthChecks.heartbeatReceived(workerStatus),
    taskCompleted: (placedTask, ranS) => {
      const spec = clusterState.jobs.get(placedTask.jobId)?.record.spec;
      if (spec !== undefined) planner().recordRunTime(spec, ranS);
    },
    taskDied: (placedTask) => healthChecks.taskDied(placedTask),
  };
}
