/** Re-matching of all service tasks of a partition, as if none of them were placed. */
import type { JobSpec } from '../../domain/job.js';
import type { MachineInfo } from '../../domain/machine-state.js';
import { type Resources, resourcesOf, subtractResources } from '../../domain/resources.js';
import type { TaskPlacement } from '../../domain/task.js';
import { countTasksPerZone, isAllowedOn } from '../../records/placement-rules.js';
import { isZoneOpenFor } from './job-matching.js';
import { type MatchingMachine, type MatchingTask, StableMatching } from './matching.js';

/** A placed service task without a stop request. */
export interface RunningTask {
  taskId: string;
  jobId: string;
  taskIndex: number;
  machineId: string;
  attempt: number;
  spec: JobSpec;
}

/** The current state of a partition. */
export interface RematchingInput {
  runningTasks: readonly RunningTask[];
  machines: readonly MachineInfo[];
  /** Free resources by machine id. `beginRematching` modifies it: it adds the resources of the running tasks. */
  freeByMachine: ReadonlyMap<string, Resources>;
  /** All placements of a job, by task index. */
  placementsOf: (jobId: string) => Iterable<readonly [number, TaskPlacement]>;
}

/** The new matching, in which the caller places the tasks. */
export function beginRematching(input: RematchingInput): StableMatching {
  const { runningTasks, machines, freeByMachine } = input;
  // All service tasks of the partition are matched anew, so their resources count as free.
  for (const { machineId, spec } of runningTasks) {
    const free = freeByMachine.get(machineId);
    if (free !== undefined) subtractResources(free, spec, -1);
  }
  const specByJob = new Map(runningTasks.map(({ jobId, spec }) => [jobId, spec]));
  const machineById = new Map(machines.map((machine) => [machine.machineId, machine]));
  const tasksPerZoneElsewhere = countTasksElsewhere(input);
  return new StableMatching(runningTasks.map(matchingTaskOf), matchingMachinesOf(machines, freeByMachine), {
    isAllowed: (jobId, { id }) => {
      const machine = machineById.get(id)!;
      return isAllowedOn(specByJob.get(jobId)!, machine) && !machine.failedJobs.includes(jobId);
    },
    isZoneOpen: (jobId, zone, matchedPerZone) =>
      isZoneOpenFor(specByJob.get(jobId)!, zone, tasksPerZoneElsewhere.get(jobId), matchedPerZone),
    isMachineOpen: () => true,
    tierOf: () => 0,
  });
}

/** Number of tasks per zone of each job, without the tasks that are re-matched. */
function countTasksElsewhere({ runningTasks, placementsOf }: RematchingInput): Map<string, Map<string, number>> {
  const matchedIndexes = new Map<string, Set<number>>();
  for (const { jobId, taskIndex } of runningTasks) {
    const indexes = matchedIndexes.get(jobId);
    if (indexes === undefined) matchedIndexes.set(jobId, new Set([taskIndex]));
    else indexes.add(taskIndex);
  }
  const tasksPerZone = new Map<string, Map<string, number>>();
  for (const [jobId, indexes] of matchedIndexes) {
    const others = [...placementsOf(jobId)].filter(([taskIndex]) => !indexes.has(taskIndex));
    tasksPerZone.set(jobId, countTasksPerZone(others.map(([, placement]) => placement)));
  }
  return tasksPerZone;
}

/** Actual usage is not known here, so it is taken to equal the request. */
const matchingTaskOf = ({ taskId, jobId, spec }: RunningTask): MatchingTask => ({
  id: taskId,
  group: jobId,
  usage: resourcesOf(spec),
  requested: resourcesOf(spec),
});

const matchingMachinesOf = (
  machines: readonly MachineInfo[],
  freeByMachine: ReadonlyMap<string, Resources>,
): MatchingMachine[] =>
  machines.map(({ machineId, zone }) => ({ id: machineId, zone, free: freeByMachine.get(machineId)! }));
