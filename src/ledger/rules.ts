import type { Team } from '../config/settings.js';
import type { JobRecord, JobSpec, Placed, Slot, TeamRecord } from './records.js';

/** What the rules need to know of a machine. */
export interface Machine {
  host: string;
  flavor: string;
  site: string;
  reclaimable: boolean;
  tenure: number;
}

export interface Room {
  cpus: number;
  cards: number;
  memGb: number;
}

const EPS = 1e-6;

/** Amounts are decimal; sums are kept to a millionth so that they don't drift apart. */
export const round = (x: number): number => Math.round(x * 1e6) / 1e6;

export const fits = (task: JobSpec, room: Room): boolean =>
  task.Cpus <= room.cpus + EPS && task.Cards <= room.cards + EPS && task.MemGb <= room.memGb + EPS;

/** Is no more given away than there was? */
export const isWithin = (left: Room): boolean => left.cpus >= -EPS && left.cards >= -EPS && left.memGb >= -EPS;

export const roomOf = (spec: JobSpec): Room => ({ cpus: spec.Cpus, cards: spec.Cards, memGb: spec.MemGb });

/** Takes the room of so many tasks away; a negative number gives it back. */
export function takeRoom(room: Room, spec: JobSpec, tasks = 1): void {
  room.cpus -= spec.Cpus * tasks;
  room.cards -= spec.Cards * tasks;
  room.memGb -= spec.MemGb * tasks;
}

/** May a task of this job ever run on such a machine? */
export const allowedOn = (job: JobSpec, machine: Pick<Machine, 'flavor' | 'site' | 'reclaimable'>): boolean =>
  (job.Flavors === null || job.Flavors.includes(machine.flavor)) &&
  (job.Site === null || job.Site === machine.site) &&
  (job.Reclaimable || !machine.reclaimable);

/** Tasks of a spread job that one zone may hold. */
export const spreadLimit = (job: JobSpec): number => Math.ceil(job.Shards / 2);

/** Tasks of the job in each zone, counted until their exit is known. */
export function zonesOf(slots: Iterable<Slot>): Map<string, number> {
  const zones = new Map<string, number>();
  for (const slot of slots) if (slot.kind === 'placed') zones.set(slot.site, (zones.get(slot.site) ?? 0) + 1);
  return zones;
}

/** May one more task start in the zone, given where the job's other tasks are? */
export function zoneAllows(job: JobSpec, zones: ReadonlyMap<string, number>, site: string): boolean {
  if (job.Spread && (zones.get(site) ?? 0) >= spreadLimit(job)) return false;
  if (job.OneZone) for (const [other, count] of zones) if (count > 0 && other !== site) return false;
  return true;
}

/** Does the team's committed use, with this added, stay within its limit? 0 means no limit. */
export const quotaAllows = (team: Team, use: TeamRecord, cpus: number, cards: number): boolean =>
  (team.cpus_max === 0 || cpus === 0 || use.cpus + cpus <= team.cpus_max + EPS) &&
  (team.gpus_max === 0 || cards === 0 || use.cards + cards <= team.gpus_max + EPS);

/** Does the team have any limit that this job counts against? Without one its use is not recorded. */
export const isLimited = (team: Team, job: JobSpec): boolean =>
  (team.cpus_max > 0 && job.Cpus > 0) || (team.gpus_max > 0 && job.Cards > 0);

/** Everything compared in the transaction of a start, and nothing else. */
export interface StartFacts {
  job: JobRecord | undefined;
  slot: Slot;
  /** All other slots of the job where Spread or OneZone asks for them. */
  others: Iterable<Slot>;
  team: Team;
  use: TeamRecord;
  machine: Machine;
  attempt: number;
}

/** The one check of every start: undefined if it may be committed, else the rule in its way. */
export function whyNotStart(facts: StartFacts): string | undefined {
  const { job, slot, team, use, machine } = facts;
  if (job === undefined) return 'no such job';
  if (job.phase === 'waiting') return 'waits for other jobs';
  if (job.phase !== 'active') return 'withdrawn';
  if (slot.kind === 'done') return 'done already';
  if (slot.kind === 'placed') return 'placed already';
  if (facts.attempt < slot.attempt || (facts.attempt === slot.attempt && job.spec.Shape !== 'ensemble')) {
    return 'attempt used before';
  }
  if (!allowedOn(job.spec, machine)) return 'machine not allowed';
  if (!zoneAllows(job.spec, zonesOf(facts.others), machine.site)) return 'zone not allowed';
  if (!quotaAllows(team, use, job.spec.Cpus, job.spec.Cards)) return 'over the limit of its team';
  return undefined;
}

/** Why a place is free. Nothing else proves it. */
export type Proof =
  | { kind: 'exited'; attempt: number; tenure: number }
  | { kind: 'tenure'; tenure: number }
  | { kind: 'gone' }
  /** The session's lease is over; it says nothing of what the machine is given in its next one. */
  | { kind: 'lease'; tenure: number };

/** Does the proof free exactly this place? */
export function proves(proof: Proof, slot: Placed): boolean {
  switch (proof.kind) {
    case 'exited':
      return proof.attempt === slot.attempt && proof.tenure === slot.tenure;
    case 'tenure':
      return proof.tenure > slot.tenure;
    case 'gone':
      return true;
    case 'lease':
      return proof.tenure >= slot.tenure;
  }
}
