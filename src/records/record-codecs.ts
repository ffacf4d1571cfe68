/** Codecs of the records in the store, except task placements, which have a codec of their own. */
import type { Count } from '../domain/count.js';
import { JOB_PRIORITIES } from '../domain/job.js';
import type { TeamUsage } from '../domain/team.js';
import { decodeJobSpec, encodeJobSpec, type WireJobSpec } from './job-spec-codec.js';
import { JOB_PREFIX } from './record-keys.js';
import {
  CorruptRecordError,
  type FinalJobRecord,
  type FormatRecord,
  isNonNegativeInteger,
  type JobRecord,
  type LeadershipRecord,
  type RentalRecord,
  type StandbyRecord,
} from './records.js';

type StoredPhase = 'waiting' | 'active' | 'withdrawn';

/** The order of the fields is their order in the store. */
interface StoredJob {
  spec: WireJobSpec;
  phase: StoredPhase;
  at: number;
  chunk: number;
  awaits?: readonly string[];
  releasedAt?: number;
}

const STATE_OF_PHASE: Record<StoredPhase, JobRecord['state']> = {
  waiting: 'waiting',
  active: 'active',
  withdrawn: 'cancelled',
};
const PHASE_OF_STATE: Record<JobRecord['state'], StoredPhase> = {
  waiting: 'waiting',
  active: 'active',
  cancelled: 'withdrawn',
};

const isOptionalIdList = (value: unknown): boolean =>
  value === undefined || (Array.isArray(value) && value.every((each) => typeof each === 'string'));

function isStoredJob(value: unknown): value is StoredJob {
  const job = value as StoredJob | null | undefined;
  if (job?.spec === undefined || !isStoredSpec(job.spec)) return false;
  const hasChunkSize = isNonNegativeInteger(job.chunk) && job.chunk >= 1;
  return hasChunkSize && Object.hasOwn(STATE_OF_PHASE, job.phase) && hasValidDependencies(job);
}

const isStoredSpec = (spec: WireJobSpec): boolean =>
  typeof spec.Ref === 'string' && isNonNegativeInteger(spec.Shards) && JOB_PRIORITIES.includes(spec.Rank);

/** A waiting job must name its dependencies; only jobs that have waited have a release time. */
const hasValidDependencies = ({ phase, awaits, releasedAt }: StoredJob): boolean =>
  isOptionalIdList(awaits) &&
  (phase !== 'waiting' || awaits !== undefined) &&
  (releasedAt === undefined || typeof releasedAt === 'number');

/** Stored records are never changed in place, so the decoded form of each is cached by identity. */
const decodedJobs = new WeakMap<object, JobRecord>();

/** Throws `CorruptRecordError` if the value is not a job record. */
export function decodeJobRecord(value: unknown): JobRecord {
  const cached = typeof value === 'object' && value !== null ? decodedJobs.get(value) : undefined;
  if (cached !== undefined) return cached;
  if (!isStoredJob(value)) throw new CorruptRecordError('job record');
  const { spec, phase, at, chunk, awaits, releasedAt } = value;
  const record: JobRecord = {
    spec: decodeJobSpec(spec),
    state: STATE_OF_PHASE[phase],
    submittedAtMs: at,
    tasksPerChunk: chunk,
    ...(awaits === undefined ? {} : { dependencies: awaits }),
    ...(releasedAt === undefined ? {} : { releasedAtMs: releasedAt }),
  };
  decodedJobs.set(value, record);
  return record;
}

/** Writes the fields in their order in the store. */
export function encodeJobRecord(record: JobRecord): unknown {
  const { spec, state, submittedAtMs, tasksPerChunk, dependencies, releasedAtMs } = record;
  const stored: StoredJob = {
    spec: encodeJobSpec(spec),
    phase: PHASE_OF_STATE[state],
    at: submittedAtMs,
    chunk: tasksPerChunk,
    ...(dependencies === undefined ? {} : { awaits: dependencies }),
    ...(releasedAtMs === undefined ? {} : { releasedAt: releasedAtMs }),
  };
  decodedJobs.set(stored, record);
  return stored;
}

/** The stored record of a job with its state set to cancelled; all other fields are unchanged. */
export const cancelStoredJob = (stored: unknown): unknown => ({ ...(stored as StoredJob), phase: 'withdrawn' });

/** Whether this is the stored record of a cancelled job that has not ended yet. */
export const isStoredCancellation = (key: string, value: unknown): boolean =>
  key.startsWith(JOB_PREFIX) && (value as StoredJob | undefined)?.phase === 'withdrawn';

/** Removes the machine types from the record of a cancelled job, none of whose tasks can start any more. */
export function withoutMachineTypes(stored: unknown): unknown {
  const job = stored as StoredJob;
  return job.phase === 'withdrawn' ? { ...job, spec: { ...job.spec, Flavors: null } } : job;
}

interface StoredFinalJob {
  phase: 'done' | 'withdrawn';
  shards: number;
}

/** Throws `CorruptRecordError` if the value is not a final job record. */
export function decodeFinalJobRecord(value: unknown): FinalJobRecord {
  const stored = value as StoredFinalJob | null;
  if (stored?.phase !== 'done' && stored?.phase !== 'withdrawn') throw new CorruptRecordError('final job record');
  return { state: stored.phase === 'done' ? 'done' : 'cancelled', taskCount: stored.shards };
}

export const encodeFinalJobRecord = ({ state, taskCount }: FinalJobRecord): unknown =>
  ({ phase: state === 'done' ? 'done' : 'withdrawn', shards: taskCount }) satisfies StoredFinalJob;

interface StoredLeadership {
  node: string;
  latch: Count;
}

/** Undefined: no node leads the role. */
export function decodeLeadershipRecord(value: unknown): LeadershipRecord | undefined {
  if (value === undefined) return undefined;
  const { node, latch } = value as StoredLeadership;
  return { node, leaseId: latch };
}

export const encodeLeadershipRecord = ({ node, leaseId }: LeadershipRecord): unknown =>
  ({ node, latch: leaseId }) satisfies StoredLeadership;

interface StoredRental {
  name: string;
  flavor: string;
  site: string;
  reclaimable: boolean;
  count: number;
  at: number;
  hosts: string[] | null;
}

/** Throws `CorruptRecordError` if the value is not a rental record. */
export function decodeRentalRecord(value: unknown): RentalRecord {
  const stored = value as StoredRental | null;
  const hasNames = [stored?.name, stored?.flavor, stored?.site].every((each) => typeof each === 'string');
  if (!hasNames || !isNonNegativeInteger(stored!.count) || typeof stored!.at !== 'number')
    throw new CorruptRecordError('rental record');
  if (stored!.hosts !== null && !Array.isArray(stored!.hosts)) throw new CorruptRecordError('rental record');
  const { name, flavor, site, reclaimable, count, at, hosts } = stored!;
  return {
    rentalId: name,
    machineType: flavor,
    zone: site,
    isSpot: reclaimable,
    count,
    requestedAtMs: at,
    machineIds: hosts,
  };
}

export const encodeRentalRecord = (record: RentalRecord): unknown =>
  ({
    name: record.rentalId,
    flavor: record.machineType,
    site: record.zone,
    reclaimable: record.isSpot,
    count: record.count,
    at: record.requestedAtMs,
    hosts: record.machineIds,
  }) satisfies StoredRental;

interface StoredTeamUsage {
  cpus: number;
  cards: number;
}

/** A team without a record has no usage. Throws `CorruptRecordError` if the value is not a team's usage record. */
export function decodeTeamUsage(value: unknown): TeamUsage {
  if (value === undefined) return { cpus: 0, gpus: 0 };
  const stored = value as StoredTeamUsage | null;
  if (typeof stored?.cpus !== 'number' || typeof stored.cards !== 'number')
    throw new CorruptRecordError('team usage record');
  return { cpus: stored.cpus, gpus: stored.cards };
}

export const encodeTeamUsage = ({ cpus, gpus }: TeamUsage): unknown =>
  ({ cpus, cards: gpus }) satisfies StoredTeamUsage;

interface StoredFormat {
  format: number;
  latch: Count;
}

/** Undefined: no process of the node has announced its record format. */
export function decodeFormatRecord(value: unknown): FormatRecord | undefined {
  if (value === undefined) return undefined;
  const { format, latch } = value as StoredFormat;
  return { format, leaseId: latch };
}

export const encodeFormatRecord = ({ format, leaseId }: FormatRecord): unknown =>
  ({ format, latch: leaseId }) satisfies StoredFormat;

/** The record which states that all controllers read the format. */
export const encodeFormatCompleteRecord = (format: number): unknown => ({ format });

interface StoredStandby {
  life: number;
  latch: Count;
}

/** Undefined: no process of the node has announced that it reads the standby's stream. */
export function decodeStandbyRecord(value: unknown): StandbyRecord | undefined {
  if (value === undefined) return undefined;
  const { life, latch } = value as StoredStandby;
  return { incarnation: life, leaseId: latch };
}

export const encodeStandbyRecord = ({ incarnation, leaseId }: StandbyRecord): unknown =>
  ({ life: incarnation, latch: leaseId }) satisfies StoredStandby;
