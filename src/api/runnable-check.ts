/** Which well-formed submissions are refused, because the job could never run. */
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine-type.js';
import { fits } from '../domain/resources.js';
import type { Team } from '../domain/team.js';
import { isWithinQuota } from '../records/placement-rules.js';

/** Why the job can never run, in words for the user; undefined: it can. */
export function whyNeverRunnable(
  spec: JobSpec,
  team: Team | undefined,
  catalog: Iterable<MachineType>,
): string | undefined {
  if (team === undefined) return 'unknown team';
  const hasMachineType = [...catalog].some(
    (machineType) =>
      (spec.machineTypes === null || spec.machineTypes.includes(machineType.name)) &&
      (spec.zone === null || machineType.zones.length === 0 || machineType.zones.includes(spec.zone)) &&
      fits(spec, machineType),
  );
  if (!hasMachineType) return 'a task fits no allowed machine type';
  // An array's tasks run in whatever number the quota allows; a gang or service must fit whole.
  const minTasks = spec.kind === 'array' ? 1 : spec.taskCount;
  if (!isWithinQuota(team, { cpus: 0, gpus: 0 }, spec.cpus * minTasks, spec.gpus * minTasks)) {
    return "more than the team's limit";
  }
  return undefined;
}
