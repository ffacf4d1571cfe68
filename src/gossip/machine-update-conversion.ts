/** Converts between a machine as a node knows it and as gossip states it: instants become ages, since no two nodes share a clock. */
import type { MachineInfo } from '../domain/machine-state.js';
import type { MachineUpdate } from './messages.js';

/** Stands for no number: the sender does not refer to the machine in later messages. */
const UNNUMBERED = -1;

/** `now`, and `knownAt` as of when the partition's leader stated this, in monotonic ms of this node. */
export const toMachineUpdate = (
  { heardAt, spotNoticeUntil, ...state }: MachineInfo,
  now: number,
  knownAt: number,
): MachineUpdate => ({
  ...state,
  number: UNNUMBERED,
  heartbeatAgeMs: now - heardAt,
  stateAgeMs: now - knownAt,
  spotNoticeMs: spotNoticeUntil === null ? null : spotNoticeUntil - now,
});

/** `now` in monotonic ms of this node. */
export const fromMachineUpdate = (
  { heartbeatAgeMs, spotNoticeMs, ...state }: MachineUpdate,
  now: number,
): MachineInfo => ({
  ...state,
  heardAt: now - heartbeatAgeMs,
  spotNoticeUntil: spotNoticeMs === null ? null : now + spotNoticeMs,
});
