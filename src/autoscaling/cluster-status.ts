/** The "cluster status" log line, which shows an operator how full the cluster is and how many tasks are pending. */
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';

/** Sources of machines and pending tasks. */
export interface ClusterStatusDependencies {
  inventory: MachineInventory;
  planner: PlacementPlanner;
}

/** Counts of machines, tasks and CPUs at one moment. */
export interface ClusterStatus {
  machineCount: number;
  /** Machines that take new tasks. */
  openMachineCount: number;
  /** Machines that take no new tasks, by reason. */
  closedMachineCounts: Record<string, number>;
  /** CPUs of the machines that take new tasks. */
  totalCpus: number;
  /** Free CPUs of the machines that take new tasks, rounded. */
  freeCpus: number;
  /** Pending tasks by priority. */
  pendingTaskCounts: Record<string, number>;
}

/** Computes the status from the inventory and the pending tasks. */
export function clusterStatus({ inventory, planner }: ClusterStatusDependencies): ClusterStatus {
  const machines = [...inventory.machines().values()];
  const schedulable = inventory.schedulableMachines();
  let totalCpus = 0;
  let freeCpus = 0;
  for (const [machineId, free] of planner.freeResources(schedulable)) {
    totalCpus += inventory.catalog.get(inventory.get(machineId)!.machineType)!.cpus;
    freeCpus += free.cpus;
  }
  return {
    machineCount: machines.length,
    openMachineCount: schedulable.length,
    closedMachineCounts: countBy(machines.map((machine) => inventory.unavailableReasonOf(machine))),
    totalCpus,
    freeCpus: Math.round(freeCpus),
    pendingTaskCounts: countBy(planner.unplaceableTasks.map(({ view }) => view.record.spec.priority)),
  };
}

/** Counts the occurrences of each value except undefined. */
function countBy(values: Iterable<string | undefined>): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const value of values) if (value !== undefined) counts[value] = (counts[value] ?? 0) + 1;
  return counts;
}
