import type { PlacedTask } from '../../records/cluster-state.js';
import { JOB_PRIORITIES, type JobSpec } from '../../domain/job.js';
import { fits, type Resources, subtractResources } from '../../domain/resources.js';
import { isAllowedOn } from '../../records/placement-rules.js';
import type { Machine } from '../../domain/machine.js';

export interface EvictionCandidate {
  placedTask: PlacedTask;
  spec: JobSpec;
}

/** A machine as a field of tasks that could be stopped: its free room, and its tasks, the cheapest to stop first. */
export interface MachineLoad<M extends Machine & { images: readonly string[] }> {
  machine: M;
  room: Resources;
  tasks: EvictionCandidate[];
}

export interface EvictionOption<F> {
  load: F;
  evicted: EvictionCandidate[];
  cost: number;
}

export const priorityIndexOf = (spec: JobSpec): number => JOB_PRIORITIES.indexOf(spec.priority);

/** Lowest rank first, then the shortest by its owner's estimate. */
export const cheapestFirst = (a: EvictionCandidate, b: EvictionCandidate): number =>
  priorityIndexOf(b.spec) - priorityIndexOf(a.spec) || a.spec.estimatedRunS - b.spec.estimatedRunS;

/** What it costs to make room for one task on a machine, or undefined where that can't be done. */
export function findEvictionOption<F extends MachineLoad<Machine & { images: readonly string[] }>>(
  spec: JobSpec,
  load: F,
  mayStop: (victim: JobSpec) => boolean,
  coldCost: number,
): EvictionOption<F> | undefined {
  if (!isAllowedOn(spec, load.machine)) return undefined;
  const room = { ...load.room };
  const evicted: EvictionCandidate[] = [];
  let cost = load.machine.images.includes(spec.image) ? 0 : coldCost;
  for (const victim of load.tasks) {
    if (fits(spec, room)) break;
    if (!mayStop(victim.spec)) continue;
    evicted.push(victim);
    subtractResources(room, victim.spec, -1);
    cost += (JOB_PRIORITIES.length - priorityIndexOf(victim.spec)) * (victim.spec.checkpointIntervalS > 0 ? 1 : 2);
  }
  return fits(spec, room) ? { load, evicted, cost } : undefined;
}

/** Specs with the same signature ask the same of a machine, its images apart. */
export const requirementKeyOf = (spec: JobSpec): string =>
  [
    spec.priority,
    spec.cpus,
    spec.gpus,
    spec.memoryGb,
    spec.machineTypes?.join(',') ?? '*',
    spec.zone ?? '*',
    spec.allowsSpot,
  ].join(' ');
