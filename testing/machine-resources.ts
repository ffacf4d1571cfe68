/** The resources by which a machine accepts tasks. */
import type { Resources } from '../src/domain/resources.js';

/** Amounts that a worker compares with the request of a task. */
export type MachineResources = Omit<Resources, 'reportBytes'>;

/** A copy of the amounts alone. */
export const machineResourcesOf = ({ cpus, gpus, memoryGb }: MachineResources): MachineResources => ({
  cpus,
  gpus,
  memoryGb,
});

/** Subtracts a task's request from the free amounts in place. */
export function subtractTask(free: MachineResources, task: MachineResources): void {
  free.cpus -= task.cpus;
  free.gpus -= task.gpus;
  free.memoryGb -= task.memoryGb;
}
