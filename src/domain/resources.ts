/** Amounts of what machines have and tasks take. */

/** Amounts of what a machine has and tasks take of it. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

/** Amounts are decimal; what differs by less counts as equal. */
const EPS = 1e-6;

/** Amounts are decimal; sums are kept to a millionth so that they don't drift apart. */
export const roundAmount = (x: number): number => Math.round(x * 1e6) / 1e6;

export const fits = (task: Resources, room: Resources): boolean =>
  task.cpus <= room.cpus + EPS && task.gpus <= room.gpus + EPS && task.memoryGb <= room.memoryGb + EPS;

/** Is no more given away than there was? */
export const isNonNegative = (left: Resources): boolean =>
  left.cpus >= -EPS && left.gpus >= -EPS && left.memoryGb >= -EPS;

export const resourcesOf = (spec: Resources): Resources => ({
  cpus: spec.cpus,
  gpus: spec.gpus,
  memoryGb: spec.memoryGb,
});

/** Takes the room of so many tasks away; a negative number gives it back. */
export function subtractResources(room: Resources, spec: Resources, tasks = 1): void {
  room.cpus -= spec.cpus * tasks;
  room.gpus -= spec.gpus * tasks;
  room.memoryGb -= spec.memoryGb * tasks;
}

/** How many tasks of a job have room together. */
export const countFittingTasks = (room: Resources, spec: Resources): number => {
  if (!fits(spec, room)) return 0;
  let count = room.cpus / spec.cpus;
  if (spec.memoryGb > 0) count = Math.min(count, room.memoryGb / spec.memoryGb);
  if (spec.gpus > 0) count = Math.min(count, room.gpus / spec.gpus);
  return Math.floor(count + 1e-6);
};
