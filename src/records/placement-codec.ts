/**
 * The stored form of task placements. A chunk holds those of consecutive tasks of one job: 0 for a task that was never placed, 1
 * for one that is done, `[attempt, failures]` for one that waits for another attempt, and for one that is on a machine
 * `[attempt, failures, machine, agent epoch, grace period in s or -1, zone]`.
 */
import type { ActivePlacement, TaskPlacement } from '../domain/task.js';
import { jsonLength, noteLength } from '../store/json-size.js';
import { CorruptRecordError, isNonNegativeInteger } from './records.js';

const NEVER_PLACED: TaskPlacement = { kind: 'queued', attempt: 0, failures: 0 };
const DONE: TaskPlacement = { kind: 'done' };

const RAW_NEVER_PLACED = 0;
const RAW_DONE = 1;
const RAW_NOT_STOPPED = -1;
/** Fields of a task that waits for another attempt. */
const RAW_QUEUED_LENGTH = 2;

/** A task on a machine, with fields that are not checked yet; the first two also stand for one that is queued again. */
type RawActive = [
  attempt: number,
  failures: number,
  machineId: unknown,
  agentEpoch: unknown,
  grace: unknown,
  zone: unknown,
];

interface RawChunk {
  s: unknown[];
  /** Of a compact chunk: the zones, which its placements name by their index. */
  z?: string[];
}

/** Is it the placement from before? Mostly nothing has changed, and then the very same object is kept. */
function isSame(before: TaskPlacement | undefined, raw: RawActive, zone: unknown): before is ActivePlacement {
  const [attempt, failures, machineId, agentEpoch, grace] = raw;
  return (
    before?.kind === 'placed' &&
    before.attempt === attempt &&
    before.machineId === machineId &&
    before.agentEpoch === agentEpoch &&
    before.gracePeriodS === (grace === RAW_NOT_STOPPED ? null : grace) &&
    before.zone === zone &&
    before.failures === failures
  );
}

function decodePlacement(raw: unknown, zones: readonly string[], before?: TaskPlacement): TaskPlacement {
  if (raw === RAW_NEVER_PLACED) return NEVER_PLACED;
  if (raw === RAW_DONE) return DONE;
  const placement = isRawAttempt(raw) ? decodeAttempt(raw, zones, before) : undefined;
  if (placement === undefined) throw new CorruptRecordError(`task placement ${JSON.stringify(raw)}`);
  return placement;
}

const isRawAttempt = (raw: unknown): raw is RawActive =>
  Array.isArray(raw) && isNonNegativeInteger(raw[0]) && isNonNegativeInteger(raw[1]);

/** A task that has been placed once at least; undefined: it can't be decoded. */
function decodeAttempt(raw: RawActive, zones: readonly string[], before?: TaskPlacement): TaskPlacement | undefined {
  const [attempt, failures, machineId, agentEpoch, grace, rawZone] = raw;
  const zone = typeof rawZone === 'number' ? zones[rawZone] : rawZone;
  if (isSame(before, raw, zone)) return before;
  if ((raw as unknown[]).length === RAW_QUEUED_LENGTH) return { kind: 'queued', attempt, failures };
  if (typeof machineId !== 'string' || !isNonNegativeInteger(agentEpoch)) return undefined;
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
      return [attempt, failures, machineId, agentEpoch, gracePeriodS ?? RAW_NOT_STOPPED, encodeZone(zone, zones)];
    }
  }
}

/** A zone by its index, where it is among the zones of a compact chunk; else by its name. */
function encodeZone(zone: string, zones: readonly string[] | undefined): string | number {
  const index = zones?.indexOf(zone) ?? -1;
  return index < 0 ? zone : index;
}

/** Records are never changed in place, so a chunk is decoded once, however many decisions look at it. */
const decodedChunks = new WeakMap<object, readonly TaskPlacement[]>();

/**
 * A missing chunk stands for tasks that were never placed. `before` are the chunk's placements before, as far as known. Throws
 * `CorruptRecord` for what is no chunk of that size.
 */
export function decodeChunk(value: unknown, size: number, before?: readonly TaskPlacement[]): readonly TaskPlacement[] {
  if (value === undefined) return Array.from({ length: size }, () => NEVER_PLACED);
  const { s: raw, z: zones = [] } = (value ?? {}) as Partial<RawChunk>;
  if (!Array.isArray(raw) || raw.length !== size || !Array.isArray(zones))
    throw new CorruptRecordError('chunk of task placements');
  const known = decodedChunks.get(value as object);
  if (known !== undefined) return known;
  const placements = raw.map((each, at) => decodePlacement(each, zones, before?.[at]));
  decodedChunks.set(value as object, placements);
  return placements;
}

/** Does a chunk, of whatever job, hold no task that is on a machine? One that can't be decoded may hold any. */
export function hasNoActivePlacements(value: unknown): boolean {
  const { s: raw } = (value ?? {}) as Partial<RawChunk>;
  if (!Array.isArray(raw)) return false;
  return raw.every((each) => typeof each === 'number' || (Array.isArray(each) && each.length === RAW_QUEUED_LENGTH));
}

/** The stored chunk with one placement changed: the others are neither decoded nor encoded nor measured again. */
export function withPlacement(value: unknown, size: number, at: number, placement: TaskPlacement): unknown {
  const placements = [...decodeChunk(value, size)];
  const stored: RawChunk =
    value === undefined ? { s: Array<unknown>(size).fill(RAW_NEVER_PLACED) } : (value as RawChunk);
  const raw = [...stored.s];
  const old = raw[at];
  raw[at] = encodePlacement(placement, stored.z);
  placements[at] = placement;
  const next: RawChunk = { ...stored, s: raw };
  decodedChunks.set(next, placements);
  noteLength(next, jsonLength(stored) + jsonLength(raw[at]) - jsonLength(old));
  return next;
}

/**
 * The same chunk with its zones named once, for stores that take less than the version that made the chunk counted on: a
 * placement then takes some 25 bytes in place of 40. Only for readers of `RECORD_FORMAT` 2.
 */
export function compactChunk(value: unknown): unknown {
  const placements = decodeChunk(value, (value as RawChunk).s.length);
  const active = placements.filter((placement) => placement.kind === 'placed');
  const zones = [...new Set(active.map(({ zone }) => zone))];
  const next: RawChunk = { z: zones, s: placements.map((placement) => encodePlacement(placement, zones)) };
  decodedChunks.set(next, placements);
  return next;
}
