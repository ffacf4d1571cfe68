/** What capacity the tasks without a placement need, by job. */
import { FAILURES_WORTH_SCALING_OUT } from '../constants/autoscaling.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { ClusterState } from '../records/cluster-state.js';
import { isAllowedOn, isZoneAllowed } from '../records/placement-rules.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';
import type { PendingTask } from '../scheduling/task-placer.js';
import type { CapacityNeed } from './scale-out-decision.js';

/** Where pending tasks, their jobs and the machines are read from. */
export interface CapacityNeedsDependencies {
  clusterState: ClusterState;
  inventory: MachineInventory;
  planner: PlacementPlanner;
}

/** Pending tasks by job, in the planner's order, with the zones that their job leaves open. */
export function findCapacityNeeds({ clusterState, inventory, planner }: CapacityNeedsDependencies): CapacityNeed[] {
  const zones = [...new Set([...inventory.catalog.values()].flatMap((machineType) => machineType.zones))];
  const needs: CapacityNeed[] = [];
  for (const [jobId, pendingTasks] of groupByJob(planner.unplaceableTasks)) {
    const view = clusterState.jobs.get(jobId);
    if (view === undefined) continue;
    const { spec } = view.record;
    const taskCount = tasksToScaleOutFor(spec, pendingTasks, inventory);
    if (taskCount === 0) continue;
    const { tasksPerZone } = view;
    const allowed = zones.filter((zone) => isZoneAllowed(spec, tasksPerZone, zone));
    needs.push({ spec, taskCount, zones: allowed.length === zones.length ? [] : allowed });
  }
  return needs;
}

function groupByJob(pendingTasks: Iterable<PendingTask>): Map<string, PendingTask[]> {
  const byJob = new Map<string, PendingTask[]>();
  for (const each of pendingTasks) {
    const ofJob = byJob.get(each.view.jobId);
    if (ofJob === undefined) byJob.set(each.view.jobId, [each]);
    else ofJob.push(each);
  }
  return byJob;
}

/**
 * A job whose tasks fail again and again is worth no more than one machine to try on, but must have that. A gang has to be
 * whole, and the machines added for it serve its next attempts as well.
 */
function tasksToScaleOutFor(
  spec: JobSpec,
  pendingTasks: readonly PendingTask[],
  inventory: Pick<MachineInventory, 'schedulableMachines'>,
): number {
  const isFailing = pendingTasks.some((each) => each.placement.failures > FAILURES_WORTH_SCALING_OUT);
  if (!isFailing || spec.kind === 'gang') return pendingTasks.length;
  return inventory.schedulableMachines().some((machine) => isAllowedOn(spec, machine)) ? 0 : 1;
}
