/** Kinds of machines that the cloud rents. */

import { JobSpec } from './job.js';
import { Resources, countFittingTasks } from './resources.js';

/** A machine type of the cloud's catalogue. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** What the machine's image cache holds. */
  imageCacheGb: number;
  fetchGbPerS: number;
  hourlyPrice: number;
  spotHourlyPrice: number;
  bootS: number;
  zones: string[];
}

/** What an empty machine of the type has. */
export const resourcesOfMachineType = (machineType: MachineType): Resources => ({
  cpus: machineType.cpus,
  gpus: machineType.gpus,
  memoryGb: machineType.memoryGb,
});

/** How many tasks of a job an empty machine of the type has room for. */
export const tasksPerMachine = (machineType: MachineType, spec: JobSpec): number =>
  countFittingTasks(resourcesOfMachineType(machineType), spec);
