/** The rules of starts and of releases: which task may start on which machine, and what proves that one has left it. */
import type { JobSpec } from '../domain/job.js';
import type { Machine } from '../domain/machine.js';
import type { ActivePlacement, TaskPlacement } from '../domain/task.js';
import type { Team, TeamUsage } from '../domain/team.js';
import type { JobRecord } from './records.js';

/** May a task of this job ever run on such a machine? */
export const isAllowedOn = (job: JobSpec, machine: Pick<Machine, 'machineType' | 'zone' | 'isSpot'>): boolean =>
  (job.machineTypes === null || job.machineTypes.includes(machine.machineType)) &&
  (job.zone === null || job.zone === machine.zone) &&
  (job.allowsSpot || !machine.isSpot);

/** The most tasks that one zone may hold, of a job that is spread across zones. */
const spreadLimit = (job: JobSpec): number => Math.ceil(job.taskCount / 2);

/** Tasks of the job in each zone; a task counts until its exit is known. */
export function countTasksPerZone(placements: Iterable<TaskPlacement>): Map<string, number> {
  const zones = new Map<string, number>();
  for (const placement of placements)
    if (placement.kind === 'placed') zones.set(placement.zone, (zones.get(placement.zone) ?? 0) + 1);
  return zones;
}

/** May one more task start in the zone, given where the job's other tasks are? */
export function isZoneAllowed(job: JobSpec, zones: ReadonlyMap<string, number>, zone: string): boolean {
  if (job.spreadAcrossZones && (zones.get(zone) ?? 0) >= spreadLimit(job)) return false;
  if (job.singleZone) for (const [other, count] of zones) if (count > 0 && other !== zone) return false;
  return true;
}

/** Amounts are decimal; what differs by less counts as equal. */
const TOLERANCE = 1e-6;

/** Does the team's recorded usage, with this added, stay within its limit? 0 means no limit. */
export const isWithinQuota = ({ limit }: Team, use: TeamUsage, cpus: number, gpus: number): boolean =>
  (limit.cpus === 0 || cpus === 0 || use.cpus + cpus <= limit.cpus + TOLERANCE) &&
  (limit.gpus === 0 || gpus === 0 || use.gpus + gpus <= limit.gpus + TOLERANCE);

/** Does the team have any limit that this job counts against? Without one its usage is not recorded. */
export const isLimited = ({ limit }: Team, job: JobSpec): boolean =>
  (limit.cpus > 0 && job.cpus > 0) || (limit.gpus > 0 && job.gpus > 0);

/** Everything compared in the transaction of a start, and nothing else. */
export interface StartFacts {
  job: JobRecord | undefined;
  placement: TaskPlacement;
  /** Placements of the job's other tasks, where a rule on zones asks for them. */
  others: Iterable<TaskPlacement>;
  team: Team;
  teamUsage: TeamUsage;
  machine: Machine;
  attempt: number;
}

/** The rule that a start would break. */
export type StartRefusal =
  | 'no_such_job'
  | 'waiting_for_dependencies'
  | 'cancelled'
  | 'already_done'
  | 'already_placed'
  | 'attempt_used'
  | 'machine_not_allowed'
  | 'zone_not_allowed'
  | 'over_quota';

/** The one check of every start: undefined if it may be committed, else the rule that it would break. */
export function findStartRefusal(facts: StartFacts): StartRefusal | undefined {
  const { job } = facts;
  if (job === undefined) return 'no_such_job';
  return findJobRefusal(job) ?? findPlacementRefusal(job.spec, facts) ?? findMachineRefusal(job.spec, facts);
}

function findJobRefusal({ state }: JobRecord): StartRefusal | undefined {
  switch (state) {
    case 'waiting':
      return 'waiting_for_dependencies';
    case 'cancelled':
      return 'cancelled';
    case 'active':
      return undefined;
  }
}

function findPlacementRefusal(job: JobSpec, { placement, attempt }: StartFacts): StartRefusal | undefined {
  if (placement.kind === 'done') return 'already_done';
  if (placement.kind === 'placed') return 'already_placed';
  // All tasks of a gang start with one attempt, also those that have not used it.
  const isUsed = attempt < placement.attempt || (attempt === placement.attempt && job.kind !== 'gang');
  return isUsed ? 'attempt_used' : undefined;
}

function findMachineRefusal(job: JobSpec, facts: StartFacts): StartRefusal | undefined {
  const { machine, others, team, teamUsage } = facts;
  if (!isAllowedOn(job, machine)) return 'machine_not_allowed';
  if (!isZoneAllowed(job, countTasksPerZone(others), machine.zone)) return 'zone_not_allowed';
  return isWithinQuota(team, teamUsage, job.cpus, job.gpus) ? undefined : 'over_quota';
}

/** Why a task has left its machine. Nothing else proves it. */
export type ReleaseProof =
  /** The agent has reported the end of this attempt. */
  | { kind: 'exited'; attempt: number; agentEpoch: number }
  /** The agent has begun another epoch, and with it ended what ran before. */
  | { kind: 'newer_agent_epoch'; agentEpoch: number }
  /** The cloud has confirmed that the machine is terminated. */
  | { kind: 'machine_terminated' }
  /** The lease of the agent's epoch has expired; it says nothing of what the machine is given in its next one. */
  | { kind: 'lease_expired'; agentEpoch: number };

/** Does the proof release exactly this placement? */
export function provesFree(proof: ReleaseProof, placement: ActivePlacement): boolean {
  switch (proof.kind) {
    case 'exited':
      return proof.attempt === placement.attempt && proof.agentEpoch === placement.agentEpoch;
    case 'newer_agent_epoch':
      return proof.agentEpoch > placement.agentEpoch;
    case 'machine_terminated':
      return true;
    case 'lease_expired':
      return proof.agentEpoch >= placement.agentEpoch;
  }
}
