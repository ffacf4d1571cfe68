import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import { taskIdOfPlaced } from './attempt-key.js';
import type { DesiredTask } from './reconciliation.js';

/** The desired state of a placed task on its machine. */
export function desiredTaskOf(clusterState: ClusterState, placedTask: PlacedTask): DesiredTask {
  const record = clusterState.jobs.get(placedTask.jobId)?.record;
  return { placedTask, isCancelled: record?.state === 'cancelled', isInGang: record?.spec.kind === 'gang' };
}

/** All tasks recorded on a machine, by task id. */
export function desiredTasksOn(clusterState: ClusterState, machineId: string): Map<string, DesiredTask> {
  const desired = new Map<string, DesiredTask>();
  for (const placedTask of clusterState.tasksOn(machineId)) {
    desired.set(taskIdOfPlaced(placedTask), desiredTaskOf(clusterState, placedTask));
  }
  return desired;
}
