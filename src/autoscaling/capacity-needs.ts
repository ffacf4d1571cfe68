/** Finds the capacity that pending tasks need, by job. */
import { MAX_FAILURES_FOR_SCALE_OUT } from '../constants/autoscaling.js';
import { MAX_PLAN_TASKS } from '../constants/scheduling.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { ClusterState } from '../records/cluster-state.js';
import { isAllowedOn, isZoneAllowed } from '../records/placement-rules.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';
import type { PendingTask } from '../scheduling/task-placer.js';
import type { CapacityNeed } from './scale-out-decision.js';

/** Sources of pending tasks, their jobs and the machines. */
export interface CapacityNeedsDependencies {
  clusterState: ClusterState;
  inventory: MachineInventory;
  planner: PlacementPlanner;
}

/** One need per job with pending tasks, in the planner's order, with the zones that the job's placement rules allow. */
export function findCapacityNeeds({ clusterState, inventory, planner }: CapacityNeedsDependencies): CapacityNeed[] {
  const zones = [...new Set([...inventory.catalog.values()].flatMap((machineType) => machineType.zones))];
  const needs: CapacityNeed[] = [];
  for (const [jobId, pendingTasks] of groupByJob(planner.unplaceableTasks)) {
    const view = clusterState.jobs.get(jobId);
    if (view === undefined) continue;
    const { spec } = view.record;
    const isListCut = spec.kind !== 'gang' && pendingTasks.length >= MAX_PLAN_TASKS;
    const pendingCount = isListCut ? planner.countStartableTasks(view) : pendingTasks.length;
    const taskCount = countTasksToScaleOutFor(spec, { pendingTasks, pendingCount }, inventory);
    if (taskCount === 0) continue;
    const { tasksPerZone } = view;
    const allowedZones = zones.filter((zone) => isZoneAllowed(spec, tasksPerZone, zone));
    needs.push({ spec, taskCount, zones: allowedZones.length === zones.length ? [] : allowedZones });
  }
  return needs;
}

function groupByJob(pendingTasks: Iterable<PendingTask>): Map<string, PendingTask[]> {
  const byJob = new Map<string, PendingTask[]>();
  for (const task of pendingTasks) {
    const jobTasks = byJob.get(task.view.jobId);
    if (jobTasks === undefined) byJob.set(task.view.jobId, [task]);
    else jobTasks.push(task);
  }
  return byJob;
}

/**
 * Number of the job's pending tasks that machines are added for, of `pendingCount` in all, some of which the planner lists. A job whose tasks fail repeatedly gets at most one to retry
 * on, and only if it may use none of the schedulable machines. A gang needs machines for all its tasks, and its next attempts
 * use the added machines as well.
 */
function countTasksToScaleOutFor(
  spec: JobSpec,
  { pendingTasks, pendingCount }: { pendingTasks: readonly PendingTask[]; pendingCount: number },
  inventory: Pick<MachineInventory, 'schedulableMachines'>,
): number {
  const isFailing = pendingTasks.some((task) => task.placement.failures > MAX_FAILURES_FOR_SCALE_OUT);
  if (!isFailing || spec.kind === 'gang') return pendingCount;
  return inventory.schedulableMachines().some((machine) => isAllowedOn(spec, machine)) ? 0 : 1;
}
