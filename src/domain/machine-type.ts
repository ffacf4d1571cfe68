/** The machine types that the cloud offers. */
import { MAX_REPORTED_TASKS_BYTES } from '../constants/worker-report.js';
import type { JobSpec } from './job.js';
import { countFittingTasks, type Resources } from './resources.js';

/** A machine type of the cloud's catalog. */
export interface MachineType {
  name: string;
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Size of the machine's image cache. */
  imageCacheGb: number;
  /** Bandwidth of image fetches. */
  fetchGbPerS: number;
  hourlyPrice: number;
  spotHourlyPrice: number;
  /** Typical boot time: most machines take 0.6 to 1.5 times as long, some several times. */
  bootS: number;
  /** The zones in which the cloud offers it. */
  zones: string[];
}

/** The resources of a machine of this type without tasks. */
export const resourcesOfMachineType = (machineType: MachineType): Resources => ({
  cpus: machineType.cpus,
  gpus: machineType.gpus,
  memoryGb: machineType.memoryGb,
  reportBytes: MAX_REPORTED_TASKS_BYTES,
});

/** How many tasks of a job fit on a machine of this type without other tasks. */
export const tasksPerMachine = (machineType: MachineType, spec: JobSpec): number =>
  countFittingTasks(resourcesOfMachineType(machineType), spec);
