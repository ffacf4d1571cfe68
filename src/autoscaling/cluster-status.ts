/** The status line by which an operator sees how full the cluster is and who waits. */
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';

/** Where machines and pending tasks are read from. */
export interface ClusterStatusDependencies {
  inventory: MachineInventory;
  planner: PlacementPlanner;
}

/** Counts of machines, tasks and CPUs at one moment. */
export interface ClusterStatus {
  machineCount: number;
  /** Machines that take new work. */
  openMachineCount: number;
  /** Machines that take no new work, by the reason. */
  closedMachineCounts: Record<string, number>;
  /** CPUs of the machines that take new work. */
  totalCpus: number;
  /** CPUs free on them, rounded. */
  freeCpus: number;
  /** Tasks without a placement, by their priority. */
  pendingTaskCounts: Record<string, number>;
}

/** Sums up the inventory and the tasks without a placement. */
export function clusterStatus({ inventory, planner }: ClusterStatusDependencies): ClusterStatus {
  const machines = [...inventory.machines().values()];
  const open = inventory.schedulableMachines();
  let totalCpus = 0;
  let freeCpus = 0;
  for (const [machineId, free] of planner.freeResources(open)) {
    totalCpus += inventory.catalog.get(inventory.get(machineId)!.machineType)!.cpus;
    freeCpus += free.cpus;
  }
  return {
    machineCount: machines.length,
    openMachineCount: open.length,
    closedMachineCounts: countBy(machines.map((machine) => inventory.unavailableReasonOf(machine))),
    totalCpus,
    freeCpus: Math.round(freeCpus),
    pendingTaskCounts: countBy(planner.unplaceableTasks.map(({ view }) => view.record.spec.priority)),
  };
}

/** How often each value occurs; undefined is not counted. */
function countBy(values: Iterable<string | undefined>): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const value of values) if (value !== undefined) counts[value] = (counts[value] ?? 0) + 1;
  return counts;
}
