import type { Team, TeamUsage } from '../domain/team.js';
import type { JobRecord } from './records.js';
import type { JobSpec } from '../domain/job.js';
import type { ActivePlacement, TaskPlacement } from '../domain/task.js';
import { Machine } from '../domain/machine.js';

/** May a task of this job ever run on such a machine? */
export const isAllowedOn = (job: JobSpec, machine: Pick<Machine, 'machineType' | 'zone' | 'isSpot'>): boolean =>
  (job.machineTypes === null || job.machineTypes.includes(machine.machineType)) &&
  (job.zone === null || job.zone === machine.zone) &&
  (job.allowsSpot || !machine.isSpot);

/** Tasks of a spread job that one zone may hold. */
export const spreadLimit = (job: JobSpec): number => Math.ceil(job.taskCount / 2);

/** Tasks of the job in each zone, counted until their exit is known. */
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
const EPS = 1e-6;

/** Does the team's committed use, with this added, stay within its limit? 0 means no limit. */
export const isWithinQuota = ({ limit }: Team, use: TeamUsage, cpus: number, gpus: number): boolean =>
  (limit.cpus === 0 || cpus === 0 || use.cpus + cpus <= limit.cpus + EPS) &&
  (limit.gpus === 0 || gpus === 0 || use.gpus + gpus <= limit.gpus + EPS);

/** Does the team have any limit that this job counts against? Without one its use is not recorded. */
export const isLimited = ({ limit }: Team, job: JobSpec): boolean =>
  (limit.cpus > 0 && job.cpus > 0) || (limit.gpus > 0 && job.gpus > 0);

/** Everything compared in the transaction of a start, and nothing else. */
export interface StartFacts {
  job: JobRecord | undefined;
  placement: TaskPlacement;
  /** All other slots of the job where Spread or OneZone asks for them. */
  others: Iterable<TaskPlacement>;
  team: Team;
  teamUsage: TeamUsage;
  machine: Machine;
  attempt: number;
}

/** The one check of every start: undefined if it may be committed, else the rule in its way. */
export function whyNotStartable(facts: StartFacts): string | undefined {
  const { job, placement, team, teamUsage, machine } = facts;
  if (job === undefined) return 'no such job';
  if (job.state === 'waiting') return 'waits for other jobs';
  if (job.state !== 'active') return 'cancelled';
  if (placement.kind === 'done') return 'done already';
  if (placement.kind === 'placed') return 'placed already';
  if (facts.attempt < placement.attempt || (facts.attempt === placement.attempt && job.spec.kind !== 'gang')) {
    return 'attempt used before';
  }
  if (!isAllowedOn(job.spec, machine)) return 'machine not allowed';
  if (!isZoneAllowed(job.spec, countTasksPerZone(facts.others), machine.zone)) return 'zone not allowed';
  if (!isWithinQuota(team, teamUsage, job.spec.cpus, job.spec.gpus)) return 'over the limit of its team';
  return undefined;
}

/** Why a place is free. Nothing else proves it. */
export type Proof =
  | { kind: 'exited'; attempt: number; agentEpoch: number }
  | { kind: 'newer_agent_epoch'; agentEpoch: number }
  | { kind: 'machine_terminated' }
  /** The session's lease is over; it says nothing of what the machine is given in its next one. */
  | { kind: 'lease_expired'; agentEpoch: number };

/** Does the proof free exactly this place? */
export function provesFree(proof: Proof, placement: ActivePlacement): boolean {
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
