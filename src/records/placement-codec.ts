/**
 * Codec of task placements. A stored chunk holds an entry for each of several consecutive tasks of a job: 0 for a task that was
 * never placed, 1 for a done task, `[attempt, failures]` for a task that is queued for another attempt, and
 * `[attempt, failures, machine, agent epoch, grace period in s or -1, zone]` for a placed task.
 */
import { isCount } from '../domain/count.js';
import type { ActivePlacement, TaskPlacement } from '../domain/task.js';
import { stringifyJson } from '../net/json.js';
import { cacheJsonLength, jsonLength } from '../store/json-size.js';
import { CorruptRecordError, isNonNegativeInteger } from './records.js';

const NEVER_PLACED: TaskPlacement = { kind: 'queued', attempt: 0, failures: 0 };
const DONE: TaskPlacement = { kind: 'done' };

const RAW_NEVER_PLACED = 0;
const RAW_DONE = 1;
const RAW_NO_GRACE_PERIOD = -1;
/** Number of fields in the entry of a task that is queued for another attempt. */
const RAW_QUEUED_LENGTH = 2;

/** The entry of a placed task, with its `unknown` fields not validated yet; that of a queued task has only the first two. */
type RawAttempt = [
  attempt: number,
  failures: number,
  machineId: unknown,
  agentEpoch: unknown,
  grace: unknown,
  zone: unknown,
];

interface RawChunk {
  s: unknown[];
  /** Zone names of a compact chunk; its entries refer to them by index. */
  z?: string[];
}

/** Whether the entry equals the previous placement. Most do, and the previous object is kept to mark them as unchanged. */
function isUnchanged(previous: TaskPlacement | undefined, raw: RawAttempt, zone: unknown): previous is ActivePlacement {
  const [attempt, failures, machineId, agentEpoch, grace] = raw;
  return (
    previous?.kind === 'placed' &&
    previous.attempt === attempt &&
    previous.machineId === machineId &&
    previous.agentEpoch === agentEpoch &&
    previous.gracePeriodS === (grace === RAW_NO_GRACE_PERIOD ? null : grace) &&
    previous.zone === zone &&
    previous.failures === failures
  );
}

function decodePlacement(raw: unknown, zones: readonly string[], previous?: TaskPlacement): TaskPlacement {
  if (raw === RAW_NEVER_PLACED) return NEVER_PLACED;
  if (raw === RAW_DONE) return DONE;
  const placement = isRawAttempt(raw) ? decodeAttempt(raw, zones, previous) : undefined;
  if (placement === undefined) throw new CorruptRecordError(`task placement ${stringifyJson(raw)}`);
  return placement;
}

const isRawAttempt = (raw: unknown): raw is RawAttempt =>
  Array.isArray(raw) && isNonNegativeInteger(raw[0]) && isNonNegativeInteger(raw[1]);

/** Decodes the entry of a task that was placed at least once; undefined: the entry is invalid. */
function decodeAttempt(raw: RawAttempt, zones: readonly string[], previous?: TaskPlacement): TaskPlacement | undefined {
  const [attempt, failures, machineId, agentEpoch, grace, rawZone] = raw;
  const zone = typeof rawZone === 'number' ? zones[rawZone] : rawZone;
  if (isUnchanged(previous, raw, zone)) return previous;
  if ((raw as unknown[]).length === RAW_QUEUED_LENGTH) return { kind: 'queued', attempt, failures };
  if (typeof machineId !== 'string' || !isCount(agentEpoch)) return undefined;
  if (typeof grace !== 'number' || typeof zone !== 'string') return undefined;
  return { kind: 'placed', attempt, failures, machineId, agentEpoch, gracePeriodS: grace < 0 ? null : grace, zone };
}

function encodePlacement(placement: TaskPlacement, zones?: readonly string[]): unknown {
  switch (placement.kind) {
    case 'done':
      return RAW_DONE;
    case 'queued': {
      const { attempt, failures } = placement;
      return attempt === 0 && failures === 0 ? RAW_NEVER_PLACED : [attempt, failures];
    }
    case 'placed': {
      const { attempt, failures, machineId, agentEpoch, gracePeriodS, zone } = placement;
      return [attempt, failures, machineId, agentEpoch, gracePeriodS ?? RAW_NO_GRACE_PERIOD, encodeZone(zone, zones)];
    }
  }
}

/** The zone's index in the zones of a compact chunk, or its name if it is not among them. */
function encodeZone(zone: string, zones: readonly string[] | undefined): string | number {
  const index = zones?.indexOf(zone) ?? -1;
  return index < 0 ? zone : index;
}

/** Stored records are never changed in place, so the decoded form of each chunk is cached by identity. */
const decodedChunks = new WeakMap<object, readonly TaskPlacement[]>();

/**
 * Decodes a chunk of `size` tasks; the tasks of a missing chunk were never placed. `previous`: the chunk's placements before
 * the change, where known; unchanged ones are kept. Throws `CorruptRecordError` if the value is not a chunk of that size.
 */
export function decodeChunk(
  value: unknown,
  size: number,
  previous?: readonly TaskPlacement[],
): readonly TaskPlacement[] {
  if (value === undefined) return Array.from({ length: size }, () => NEVER_PLACED);
  const { s: raw, z: zones = [] } = (value ?? {}) as Partial<RawChunk>;
  if (!Array.isArray(raw) || raw.length !== size || !Array.isArray(zones))
    throw new CorruptRecordError('chunk of task placements');
  const cached = decodedChunks.get(value as object);
  if (cached !== undefined) return cached;
  const placements = raw.map((each, offset) => decodePlacement(each, zones, previous?.[offset]));
  decodedChunks.set(value as object, placements);
  return placements;
}

/** Whether a chunk of any job holds no placed task; false for a chunk that can't be decoded, since it may hold one. */
export function hasNoActivePlacements(value: unknown): boolean {
  const { s: raw } = (value ?? {}) as Partial<RawChunk>;
  if (!Array.isArray(raw)) return false;
  return raw.every((each) => typeof each === 'number' || (Array.isArray(each) && each.length === RAW_QUEUED_LENGTH));
}

/** The stored chunk with one placement replaced; the others are not decoded, encoded or measured again. */
export function withPlacement(value: unknown, size: number, offset: number, placement: TaskPlacement): unknown {
  const placements = [...decodeChunk(value, size)];
  const stored: RawChunk =
    value === undefined ? { s: Array<unknown>(size).fill(RAW_NEVER_PLACED) } : (value as RawChunk);
  const raw = [...stored.s];
  const previousRaw = raw[offset];
  raw[offset] = encodePlacement(placement, stored.z);
  placements[offset] = placement;
  const next: RawChunk = { ...stored, s: raw };
  decodedChunks.set(next, placements);
  cacheJsonLength(next, jsonLength(stored) + jsonLength(raw[offset]) - jsonLength(previousRaw));
  return next;
}

/**
 * The same chunk with the name of each zone stored once, which takes about 25 bytes per placement instead of 40. Chunks written
 * by a version that expected a higher size limit of values may need it. Only versions that read `RECORD_FORMAT` 2 can decode the
 * result.
 */
export function compactChunk(value: unknown): unknown {
  const placements = decodeChunk(value, (value as RawChunk).s.length);
  const active = placements.filter((placement) => placement.kind === 'placed');
  const zones = [...new Set(active.map(({ zone }) => zone))];
  const next: RawChunk = { z: zones, s: placements.map((placement) => encodePlacement(placement, zones)) };
  decodedChunks.set(next, placements);
  return next;
}
