/** Amounts of what machines have and tasks take. */

/** Decimal amounts, not necessarily whole. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Amounts that differ by less count as equal, since sums of decimal amounts are inexact. */
const TOLERANCE = 1e-6;

/** Rounds to a millionth: sums of decimal amounts would otherwise drift apart. */
export const roundAmount = (amount: number): number => Math.round(amount * 1e6) / 1e6;

/** Whether one task fits the free resources. */
export const fits = (task: Resources, free: Resources): boolean =>
  task.cpus <= free.cpus + TOLERANCE &&
  task.gpus <= free.gpus + TOLERANCE &&
  task.memoryGb <= free.memoryGb + TOLERANCE;

/** Whether no more has been allocated than there was. */
export const isNonNegative = (free: Resources): boolean =>
  free.cpus >= -TOLERANCE && free.gpus >= -TOLERANCE && free.memoryGb >= -TOLERANCE;

/** The resources alone, of whatever has some. */
export const resourcesOf = (spec: Resources): Resources => ({
  cpus: spec.cpus,
  gpus: spec.gpus,
  memoryGb: spec.memoryGb,
});

/** Allocates so many tasks from `free`, which is changed; a negative number releases them. */
export function subtractResources(free: Resources, task: Resources, taskCount = 1): void {
  free.cpus -= task.cpus * taskCount;
  free.gpus -= task.gpus * taskCount;
  free.memoryGb -= task.memoryGb * taskCount;
}

/** How many tasks of one size fit the free resources together. */
export const countFittingTasks = (free: Resources, task: Resources): number => {
  if (!fits(task, free)) return 0;
  let count = free.cpus / task.cpus;
  if (task.memoryGb > 0) count = Math.min(count, free.memoryGb / task.memoryGb);
  if (task.gpus > 0) count = Math.min(count, free.gpus / task.gpus);
  return Math.floor(count + TOLERANCE);
};
