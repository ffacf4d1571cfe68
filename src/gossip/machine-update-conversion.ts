/** Converts between a machine as a node knows it and as gossip states it: instants become ages, since no two nodes share a clock. */
import type { MachineInfo } from '../domain/machine-state.js';
import type { MachineUpdate } from './messages.js';

/** Stands for no number: the sender does not refer to the machine in later messages. */
const UNNUMBERED = -1;

/** `now`, and `knownAt` as of when the partition's leader stated this, in monotonic ms of this node. */
export const toMachineUpdate = (
  { lastHeartbeatAt, spotTerminationAt, ...state }: MachineInfo,
  now: number,
  knownAt: number,
): MachineUpdate => ({
  ...state,
  number: UNNUMBERED,
  heartbeatAgeMs: now - lastHeartbeatAt,
  stateAgeMs: now - knownAt,
  spotNoticeMs: spotTerminationAt === null ? null : spotTerminationAt - now,
});

/** `now` in monotonic ms of this node. */
export const fromMachineUpdate = (
  { heartbeatAgeMs, spotNoticeMs, ...state }: MachineUpdate,
  now: number,
): MachineInfo => ({
  ...state,
  lastHeartbeatAt: now - heartbeatAgeMs,
  spotTerminationAt: spotNoticeMs === null ? null : now + spotNoticeMs,
});
