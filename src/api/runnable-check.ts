/** Detects well-formed submissions of jobs that could never run. */
import type { JobSpec } from '../domain/job.js';
import { type MachineType, resourcesOfMachineType } from '../domain/machine-type.js';
import { fits } from '../domain/resources.js';
import type { Team } from '../domain/team.js';
import { isWithinQuota } from '../records/placement-rules.js';

/** Returns the reason for the user if the job can never run, otherwise undefined. */
export function checkRunnable(
  spec: JobSpec,
  team: Team | undefined,
  catalog: Iterable<MachineType>,
): string | undefined {
  if (team === undefined) return 'unknown team';
  const fitsAnyMachineType = [...catalog].some(
    (machineType) =>
      (spec.machineTypes === null || spec.machineTypes.includes(machineType.name)) &&
      (spec.zone === null || machineType.zones.length === 0 || machineType.zones.includes(spec.zone)) &&
      fits(spec, resourcesOfMachineType(machineType)),
  );
  if (!fitsAnyMachineType) return 'a task fits no allowed machine type';
  // An array runs as many tasks at a time as the quota allows; a gang or service must fit as a whole.
  const minTasks = spec.kind === 'array' ? 1 : spec.taskCount;
  if (!isWithinQuota(team, { cpus: 0, gpus: 0 }, spec.cpus * minTasks, spec.gpus * minTasks)) {
    return "more than the team's limit";
  }
  return undefined;
}
