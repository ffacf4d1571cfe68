/** Amounts of the resources that machines offer and tasks use. */

/** Amounts of resources, not necessarily integers. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
  /** Bytes of the worker's reports, which name every task of the machine. */
  reportBytes: number;
}

/** Amounts that differ by less count as equal, since sums of decimal amounts are inexact. */
const TOLERANCE = 1e-6;

/** Rounds to a millionth, so that rounding errors of sums of decimal amounts do not accumulate. */
export const roundAmount = (amount: number): number => Math.round(amount * 1e6) / 1e6;

/** Whether one task fits the free resources. */
export const fits = (task: Resources, free: Resources): boolean =>
  task.cpus <= free.cpus + TOLERANCE &&
  task.gpus <= free.gpus + TOLERANCE &&
  task.memoryGb <= free.memoryGb + TOLERANCE &&
  task.reportBytes <= free.reportBytes + TOLERANCE;

/** Whether no resource is overallocated. */
export const isNonNegative = (free: Resources): boolean =>
  free.cpus >= -TOLERANCE && free.gpus >= -TOLERANCE && free.memoryGb >= -TOLERANCE && free.reportBytes >= -TOLERANCE;

/** Extracts the resource fields of an object. */
export const resourcesOf = (spec: Resources): Resources => ({
  cpus: spec.cpus,
  gpus: spec.gpus,
  memoryGb: spec.memoryGb,
  reportBytes: spec.reportBytes,
});

/** Subtracts the resources of `taskCount` tasks from `free` in place; a negative count adds them. */
export function subtractResources(free: Resources, task: Resources, taskCount = 1): void {
  free.cpus -= task.cpus * taskCount;
  free.gpus -= task.gpus * taskCount;
  free.memoryGb -= task.memoryGb * taskCount;
  free.reportBytes -= task.reportBytes * taskCount;
}

/** How many equal tasks fit the free resources at the same time. */
export const countFittingTasks = (free: Resources, task: Resources): number => {
  if (!fits(task, free)) return 0;
  let count = free.cpus / task.cpus;
  if (task.memoryGb > 0) count = Math.min(count, free.memoryGb / task.memoryGb);
  if (task.gpus > 0) count = Math.min(count, free.gpus / task.gpus);
  if (task.reportBytes > 0) count = Math.min(count, free.reportBytes / task.reportBytes);
  return Math.floor(count + TOLERANCE);
};
