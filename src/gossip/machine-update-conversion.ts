/** Converts machines between their local form with timestamps and their gossip form with ages, since nodes don't share a clock. */
import type { MachineInfo } from '../domain/machine-state.js';
import type { MachineUpdate } from './messages.js';

/** The `number` of a machine that the sender does not identify by a number in later messages. */
const UNNUMBERED = -1;

/** `now`, and `reportedAt` when the partition's leader described the machine, are monotonic ms of this node. */
export const toMachineUpdate = (
  { lastHeartbeatAt, spotTerminationAt, ...state }: MachineInfo,
  now: number,
  reportedAt: number,
): MachineUpdate => ({
  ...state,
  number: UNNUMBERED,
  heartbeatAgeMs: now - lastHeartbeatAt,
  stateAgeMs: now - reportedAt,
  spotNoticeMs: spotTerminationAt === null ? null : spotTerminationAt - now,
});

/** `now` is in monotonic ms of this node. */
export const fromMachineUpdate = (
  { heartbeatAgeMs, spotNoticeMs, ...state }: MachineUpdate,
  now: number,
): MachineInfo => ({
  ...state,
  lastHeartbeatAt: now - heartbeatAgeMs,
  spotTerminationAt: spotNoticeMs === null ? null : now + spotNoticeMs,
});
