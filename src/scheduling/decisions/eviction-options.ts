/** Finds the tasks that could be evicted from a machine for a pending task, and the cost of doing so. */
import { JOB_PRIORITIES, type JobSpec } from '../../domain/job.js';
import type { Machine } from '../../domain/machine.js';
import { fits, type Resources, subtractResources } from '../../domain/resources.js';
import type { PlacedTask } from '../../records/cluster-state.js';
import { isAllowedOn } from '../../records/placement-rules.js';

/** A placed task that could be evicted. */
export interface EvictionCandidate {
  placedTask: PlacedTask;
  spec: JobSpec;
}

/** A machine with its free resources and the tasks on it that could be evicted, those that cost least first. */
export interface MachineLoad<M extends Machine & { images: readonly string[] }> {
  machine: M;
  free: Resources;
  tasks: EvictionCandidate[];
}

/** Evictions that make one more task fit on a machine. The cost has no unit; a low-priority task with checkpoints costs 1. */
export interface EvictionOption<L> {
  load: L;
  evicted: EvictionCandidate[];
  cost: number;
}

/** Index of the job's priority; 0 is the highest. */
export const priorityIndexOf = (spec: JobSpec): number => JOB_PRIORITIES.indexOf(spec.priority);

/** Orders tasks by eviction cost: the lowest priority first, then the shortest estimated run time. */
export const compareEvictionCost = (a: EvictionCandidate, b: EvictionCandidate): number =>
  priorityIndexOf(b.spec) - priorityIndexOf(a.spec) || a.spec.estimatedRunS - b.spec.estimatedRunS;

/** The tasks to evict so that one task of the job fits on the machine, with their cost; undefined if evictions can't do so. */
export function findEvictionOption<L extends MachineLoad<Machine & { images: readonly string[] }>>(
  spec: JobSpec,
  load: L,
  canEvict: (candidate: JobSpec) => boolean,
  imageFetchCost: number,
): EvictionOption<L> | undefined {
  if (!isAllowedOn(spec, load.machine)) return undefined;
  const free = { ...load.free };
  const evicted: EvictionCandidate[] = [];
  let cost = load.machine.images.includes(spec.image) ? 0 : imageFetchCost;
  for (const candidate of load.tasks) {
    if (fits(spec, free)) break;
    if (!canEvict(candidate.spec)) continue;
    evicted.push(candidate);
    subtractResources(free, candidate.spec, -1);
    cost +=
      (JOB_PRIORITIES.length - priorityIndexOf(candidate.spec)) * (candidate.spec.checkpointIntervalS > 0 ? 1 : 2);
  }
  return fits(spec, free) ? { load, evicted, cost } : undefined;
}

/** Jobs with the same key have the same priority and machine requirements; cached images are not compared. */
export const requirementKeyOf = (spec: JobSpec): string =>
  JSON.stringify([
    spec.priority,
    spec.cpus,
    spec.gpus,
    spec.memoryGb,
    spec.reportBytes,
    spec.machineTypes,
    spec.zone,
    spec.allowsSpot,
  ]);
