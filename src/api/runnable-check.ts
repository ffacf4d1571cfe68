/** Which well-formed submissions are refused, because the job could never run. */
import type { Team } from '../domain/team.js';
import type { JobSpec } from '../domain/job.js';
import { fits } from '../domain/resources.js';
import { isWithinQuota } from '../records/placement-rules.js';
import type { MachineType } from '../domain/machine-type.js';

/** Why the job can never run, or undefined. */
export function whyNeverRunnable(
  spec: JobSpec,
  team: Team | undefined,
  catalog: Iterable<MachineType>,
): string | undefined {
  if (team === undefined) return 'unknown team';
  const suits = [...catalog].some(
    (machineType) =>
      (spec.machineTypes === null || spec.machineTypes.includes(machineType.name)) &&
      (spec.zone === null || machineType.zones.length === 0 || machineType.zones.includes(spec.zone)) &&
      fits(spec, machineType),
  );
  if (!suits) return 'a task fits no allowed machine type';
  const tasks = spec.kind === 'array' ? 1 : spec.taskCount;
  if (!isWithinQuota(team, { cpus: 0, gpus: 0 }, spec.cpus * tasks, spec.gpus * tasks)) {
    return "more than the team's limit";
  }
  return undefined;
}
