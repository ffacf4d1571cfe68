import { jsonLength, noteLength } from '../state/sizes.js';

/**
 * The records that dewlatch keeps in the state service, and their codec. Everything that can still change lives under
 * `live/`, so that one ordered watch keeps a whole copy; final states move to `ended/`, where they never change.
 */
export const LIVE = 'live/';

export const claimKey = (role: string): string => `${LIVE}claim/${role}`;
export const JOB_PREFIX = `${LIVE}job/`;
export const jobKey = (ref: string): string => `${JOB_PREFIX}${ref}`;
export const LEDGER_PREFIX = `${LIVE}ledger/`;
export const chunkPrefix = (ref: string): string => `${LEDGER_PREFIX}${ref}/`;
export const chunkKey = (ref: string, chunk: number): string => `${chunkPrefix(ref)}${String(chunk).padStart(4, '0')}`;
export const teamKey = (team: string): string => `${LIVE}team/${team}`;
export const flavorKey = (sku: string): string => `${LIVE}flavor/${encodeURIComponent(sku)}`;
export const hireKey = (name: string): string => `${LIVE}hire/${name}`;
export const ENDED_PREFIX = 'ended/';
export const endedKey = (ref: string): string => `${ENDED_PREFIX}${ref}`;
/** Kept under its hold by each process that reads the present form of records. */
export const formatKey = (node: string): string => `${LIVE}format/node/${node}`;
/** There once all controllers have been seen to read the present form of records; never dropped. */
export const FORMAT_COMPLETE_KEY = `${LIVE}format/complete`;
/** Version of the form of records that this program reads: 2 knows compact ledger chunks. */
export const RECORD_FORMAT = 2;
/** Kept under its hold by each process that reads the warm standby's stream. */
export const standbyKey = (node: string): string => `${LIVE}standby/${node}`;

export type Shape = 'array' | 'ensemble' | 'service';
export type Rank = 'prod' | 'high' | 'normal' | 'low';
export const RANKS: readonly Rank[] = ['prod', 'high', 'normal', 'low'];

export interface JobSpec {
  Ref: string;
  Jobclass: string;
  Owner: string;
  Shape: Shape;
  Rank: Rank;
  Shards: number;
  Cpus: number;
  Cards: number;
  MemGb: number;
  Bundle: string;
  SizeGb: number;
  Flavors: string[] | null;
  Site: string | null;
  OneZone: boolean;
  Spread: boolean;
  Reclaimable: boolean;
  GuessS: number;
  SnapshotEveryS: number;
  SnapshotS: number;
  DueS: number | null;
}

export interface JobRecord {
  spec: JobSpec;
  /** `waiting`: until its predecessors are done; versions without pipelines can't read such a record, and start nothing. */
  phase: 'waiting' | 'active' | 'withdrawn';
  /** Time of day of the submission, ms; orders jobs and sets deadlines, never safety. */
  at: number;
  /** Shards in one ledger chunk of this job. */
  chunk: number;
  /** Jobs that must be done before this one may start, of one that waits for them. */
  awaits?: readonly string[];
  /** Time of day when the last predecessor was seen to be done, ms; absent where there was none. */
  releasedAt?: number;
}

/** Time of day from which the job may run, ms. */
export const runnableSince = (job: JobRecord): number => job.releasedAt ?? job.at;

/** Does a record, as it is written, call its job off? */
export const isWithdrawal = (key: string, value: unknown): boolean =>
  key.startsWith(JOB_PREFIX) && (value as JobRecord | undefined)?.phase === 'withdrawn';

/** A controller's process that reads records of this form; of the hold that keeps the record. */
export interface FormatRecord {
  format: number;
  latch: number;
}

export interface StandbyRecord {
  /** The process, as its gossip names it. */
  life: number;
  latch: number;
}

export interface EndedRecord {
  phase: 'done' | 'withdrawn';
  shards: number;
}

export interface ClaimRecord {
  node: string;
  /** The hold that the claim lives on; tells two lives of one node apart. */
  latch: number;
}

/** A rental as it is kept: written before the request is sent, so that no leader asks twice for one need. */
export interface HireRecord {
  name: string;
  flavor: string;
  site: string;
  reclaimable: boolean;
  count: number;
  /** Time of day, ms. */
  at: number;
  /** null: not answered yet. */
  hosts: string[] | null;
}

export interface TeamRecord {
  cpus: number;
  cards: number;
}

/** Where one shard stands. */
export type Slot =
  | { kind: 'queued'; attempt: number; fails: number }
  | { kind: 'placed'; attempt: number; fails: number; host: string; tenure: number; stop: number | null; site: string }
  | { kind: 'done' };
export type Placed = Extract<Slot, { kind: 'placed' }>;

const FRESH: Slot = { kind: 'queued', attempt: 0, fails: 0 };
const DONE: Slot = { kind: 'done' };

/** A record that can't be read. Nothing is decided on it. */
export class CorruptRecord extends Error {}

const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

/** A ledger chunk as it is stored. */
interface RawChunk {
  s: unknown[];
  /** Of a compact chunk: the zones, which its slots name by their index. */
  z?: string[];
}

/** `like` is what stood there before: mostly nothing has changed, and then the very same object is kept. */
function decodeSlot(raw: unknown, zones: readonly string[], like?: Slot): Slot {
  if (raw === 0) return FRESH;
  if (raw === 1) return DONE;
  if (Array.isArray(raw) && isCount(raw[0]) && isCount(raw[1])) {
    const [attempt, fails, host, tenure, stop, zone] = raw as [number, number, unknown, unknown, unknown, unknown];
    const site = typeof zone === 'number' ? zones[zone] : zone;
    if (like?.kind === 'placed' && like.attempt === attempt && like.host === host && like.tenure === tenure) {
      if (like.stop === (stop === -1 ? null : stop) && like.site === site && like.fails === fails) return like;
    }
    if (raw.length === 2) return { kind: 'queued', attempt, fails };
    if (typeof host === 'string' && isCount(tenure) && typeof stop === 'number' && typeof site === 'string') {
      return { kind: 'placed', attempt, fails, host, tenure, stop: stop < 0 ? null : stop, site };
    }
  }
  throw new CorruptRecord(`ledger entry ${JSON.stringify(raw)}`);
}

function encodeSlot(slot: Slot, zones?: readonly string[]): unknown {
  switch (slot.kind) {
    case 'done':
      return 1;
    case 'queued':
      return slot.attempt === 0 && slot.fails === 0 ? 0 : [slot.attempt, slot.fails];
    case 'placed':
      return [slot.attempt, slot.fails, slot.host, slot.tenure, slot.stop ?? -1, zoneIn(slot.site, zones)];
  }
}

/** A zone by its index, where it is among the zones of a compact chunk; else by its name. */
function zoneIn(site: string, zones: readonly string[] | undefined): string | number {
  const index = zones?.indexOf(site) ?? -1;
  return index < 0 ? site : index;
}

/** Records are never changed in place, so a chunk is decoded once, however many decisions look at it. */
const decoded = new WeakMap<object, readonly Slot[]>();

/** A missing chunk stands for shards that were never placed. `like` are the chunk's slots before, as far as known. */
export function decodeChunk(value: unknown, size: number, like?: readonly Slot[]): readonly Slot[] {
  if (value === undefined) return Array.from({ length: size }, () => FRESH);
  const { s: raw, z: zones = [] } = (value ?? {}) as Partial<RawChunk>;
  if (!Array.isArray(raw) || raw.length !== size || !Array.isArray(zones)) throw new CorruptRecord('ledger chunk');
  const known = decoded.get(value as object);
  if (known !== undefined) return known;
  const slots = raw.map((each, at) => decodeSlot(each, zones, like?.[at]));
  decoded.set(value as object, slots);
  return slots;
}

/** Does a chunk, of whatever job, hold no place? One that can't be read may hold any. */
export function isWithoutPlaces(value: unknown): boolean {
  const { s: raw } = (value ?? {}) as Partial<RawChunk>;
  if (!Array.isArray(raw)) return false;
  return raw.every((slot) => typeof slot === 'number' || (Array.isArray(slot) && slot.length === 2));
}

/** The record of a chunk with one slot changed: the others are neither decoded nor encoded nor measured again. */
export function withSlot(value: unknown, size: number, at: number, slot: Slot): unknown {
  const slots = [...decodeChunk(value, size)];
  const stored: RawChunk = value === undefined ? { s: Array<unknown>(size).fill(0) } : (value as RawChunk);
  const raw = [...stored.s];
  const old = raw[at];
  raw[at] = encodeSlot(slot, stored.z);
  slots[at] = slot;
  const next: RawChunk = { ...stored, s: raw };
  decoded.set(next, slots);
  noteLength(next, jsonLength(stored) + jsonLength(raw[at]) - jsonLength(old));
  return next;
}

/**
 * The same chunk with its zones named once, for stores that take less than the version that made the chunk counted on: an
 * entry then takes some 25 bytes in place of 40. Only for readers of `RECORD_FORMAT` 2.
 */
export function compactChunk(value: unknown): unknown {
  const slots = decodeChunk(value, (value as RawChunk).s.length);
  const zones = [...new Set(slots.flatMap((slot) => (slot.kind === 'placed' ? [slot.site] : [])))];
  const next: RawChunk = { z: zones, s: slots.map((slot) => encodeSlot(slot, zones)) };
  decoded.set(next, slots);
  return next;
}

const PHASES: readonly JobRecord['phase'][] = ['waiting', 'active', 'withdrawn'];

const isListOfJobs = (value: unknown): boolean =>
  value === undefined || (Array.isArray(value) && value.every((each) => typeof each === 'string'));

export function decodeJob(value: unknown): JobRecord {
  const job = value as JobRecord | null;
  const spec = job?.spec;
  if (
    spec === undefined ||
    typeof spec.Ref !== 'string' ||
    !isCount(spec.Shards) ||
    !isCount(job!.chunk) ||
    job!.chunk < 1 ||
    !PHASES.includes(job!.phase) ||
    !RANKS.includes(spec.Rank) ||
    !isListOfJobs(job!.awaits) ||
    (job!.phase === 'waiting' && job!.awaits === undefined) ||
    !['number', 'undefined'].includes(typeof job!.releasedAt)
  ) {
    throw new CorruptRecord('job');
  }
  return job!;
}

export function decodeHire(value: unknown): HireRecord {
  const hire = value as HireRecord | null;
  const texts = [hire?.name, hire?.flavor, hire?.site].every((each) => typeof each === 'string');
  if (!texts || !isCount(hire!.count) || typeof hire!.at !== 'number') throw new CorruptRecord('rental');
  if (hire!.hosts !== null && !Array.isArray(hire!.hosts)) throw new CorruptRecord('rental');
  return hire!;
}

export function decodeTeam(value: unknown): TeamRecord {
  if (value === undefined) return { cpus: 0, cards: 0 };
  const team = value as TeamRecord | null;
  if (typeof team?.cpus !== 'number' || typeof team.cards !== 'number') throw new CorruptRecord('team');
  return team;
}

export function decodeEnded(value: unknown): EndedRecord {
  const ended = value as EndedRecord | null;
  if (ended?.phase !== 'done' && ended?.phase !== 'withdrawn') throw new CorruptRecord('ended job');
  return ended;
}

export const chunkCount = (job: JobRecord): number => Math.ceil(job.spec.Shards / job.chunk);
export const chunkSize = (job: JobRecord, chunk: number): number =>
  Math.min(job.chunk, job.spec.Shards - chunk * job.chunk);
export const shardName = (ref: string, shard: number): string => `${ref}/${shard}`;

export function parseShard(name: string): { ref: string; shard: number } | undefined {
  const slash = name.lastIndexOf('/');
  const shard = Number(name.slice(slash + 1));
  return slash > 0 && Number.isSafeInteger(shard) && shard >= 0 ? { ref: name.slice(0, slash), shard } : undefined;
}
