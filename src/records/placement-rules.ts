/** Rules for starts and releases: which task may start on which machine, and what proves that a task has left its machine. */
import type { Count } from '../domain/count.js';
import type { JobSpec } from '../domain/job.js';
import type { Machine } from '../domain/machine.js';
import type { ActivePlacement, TaskPlacement } from '../domain/task.js';
import type { Team, TeamUsage } from '../domain/team.js';
import type { JobRecord } from './records.js';

/** Whether the job's constraints on machine type, zone and spot machines allow its tasks to run on the machine. */
export const isAllowedOn = (job: JobSpec, machine: Pick<Machine, 'machineType' | 'zone' | 'isSpot'>): boolean =>
  (job.machineTypes === null || job.machineTypes.includes(machine.machineType)) &&
  (job.zone === null || job.zone === machine.zone) &&
  (job.allowsSpot || !machine.isSpot);

/** Maximum number of placed tasks in one zone, for a job that is spread across zones. */
const maxTasksPerZone = (job: JobSpec): number => Math.ceil(job.taskCount / 2);

/** Number of placed tasks in each zone; a task counts until its exit is recorded. */
export function countTasksPerZone(placements: Iterable<TaskPlacement>): Map<string, number> {
  const tasksPerZone = new Map<string, number>();
  for (const placement of placements)
    if (placement.kind === 'placed') tasksPerZone.set(placement.zone, (tasksPerZone.get(placement.zone) ?? 0) + 1);
  return tasksPerZone;
}

/** Whether one more task of the job may start in the zone, given the zones of its placed tasks. */
export function isZoneAllowed(job: JobSpec, tasksPerZone: ReadonlyMap<string, number>, zone: string): boolean {
  if (job.spreadAcrossZones && (tasksPerZone.get(zone) ?? 0) >= maxTasksPerZone(job)) return false;
  if (job.singleZone) for (const [otherZone, count] of tasksPerZone) if (count > 0 && otherZone !== zone) return false;
  return true;
}

/** Amounts that differ by less count as equal, since sums of decimal amounts are inexact. */
const TOLERANCE = 1e-6;

/** Whether the team's usage stays within its limits with these amounts added. A limit of 0 means no limit. */
export const isWithinQuota = ({ limit }: Team, usage: TeamUsage, cpus: number, gpus: number): boolean =>
  (limit.cpus === 0 || cpus === 0 || usage.cpus + cpus <= limit.cpus + TOLERANCE) &&
  (limit.gpus === 0 || gpus === 0 || usage.gpus + gpus <= limit.gpus + TOLERANCE);

/** How many more tasks of the job the team's limits allow; Infinity if none limits it. */
export function countTasksWithinQuota({ limit }: Team, usage: TeamUsage, job: JobSpec): number {
  const countWithin = (limited: number, used: number, perTask: number): number =>
    limited === 0 || perTask === 0 ? Infinity : Math.max(0, Math.floor((limited - used + TOLERANCE) / perTask));
  return Math.min(countWithin(limit.cpus, usage.cpus, job.cpus), countWithin(limit.gpus, usage.gpus, job.gpus));
}

/** Whether the job counts against any limit of its team. The usage of other jobs is not recorded. */
export const isQuotaLimited = ({ limit }: Team, job: JobSpec): boolean =>
  (limit.cpus > 0 && job.cpus > 0) || (limit.gpus > 0 && job.gpus > 0);

/** The inputs of the start check. The records among them are conditions of the start's transaction. */
export interface StartCheckInput {
  job: JobRecord | undefined;
  placement: TaskPlacement;
  /** Placements of all tasks of the job, if a zone rule applies to it; otherwise empty. */
  jobPlacements: Iterable<TaskPlacement>;
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

/** The single check for starts: returns the rule that the start would break; undefined: it may be committed. */
export function findStartRefusal(input: StartCheckInput): StartRefusal | undefined {
  const { job } = input;
  if (job === undefined) return 'no_such_job';
  return findJobRefusal(job) ?? findPlacementRefusal(job.spec, input) ?? findMachineRefusal(job.spec, input);
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

function findPlacementRefusal(job: JobSpec, { placement, attempt }: StartCheckInput): StartRefusal | undefined {
  if (placement.kind === 'done') return 'already_done';
  if (placement.kind === 'placed') return 'already_placed';
  // All tasks of a gang start under the same attempt, including the replacement for a task lost from it.
  const isUsed = attempt < placement.attempt || (attempt === placement.attempt && job.kind !== 'gang');
  return isUsed ? 'attempt_used' : undefined;
}

function findMachineRefusal(job: JobSpec, input: StartCheckInput): StartRefusal | undefined {
  const { machine, jobPlacements, team, teamUsage } = input;
  if (!isAllowedOn(job, machine)) return 'machine_not_allowed';
  if (!isZoneAllowed(job, countTasksPerZone(jobPlacements), machine.zone)) return 'zone_not_allowed';
  return isWithinQuota(team, teamUsage, job.cpus, job.gpus) ? undefined : 'over_quota';
}

/** Proof that a task has left its machine; nothing else releases its placement. */
export type ReleaseProof =
  /** The agent has reported the exit of this attempt. */
  | { kind: 'exited'; attempt: number; agentEpoch: Count }
  /** The agent has begun a newer epoch, which ended all tasks of earlier epochs. */
  | { kind: 'newer_agent_epoch'; agentEpoch: Count }
  /** The cloud has confirmed that the machine is terminated. */
  | { kind: 'machine_terminated' }
  /** The lease of this agent epoch has expired; tasks placed in a later epoch are not affected. */
  | { kind: 'lease_expired'; agentEpoch: Count };

/** Whether the proof applies to this placement. */
export function provesRelease(proof: ReleaseProof, placement: ActivePlacement): boolean {
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
