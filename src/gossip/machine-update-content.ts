/** Derives from a machine update the text that is compared before sending, and an upper bound of its size. */
import { MACHINE_UPDATE_BYTES } from '../constants/gossip.js';
import { escapeSpaces } from '../domain/escape-spaces.js';
import type { MachineUpdate } from './messages.js';

/** The content of a machine update without the fields that every heartbeat changes. The update is not resent while it stays equal. */
export function stableContentOf(machine: MachineUpdate): string {
  const { endpoint, machineType, zone, agentEpoch, partitionLeader, images, failedJobs } = machine;
  const { isSpot, isQuarantined, isBackingOff, isUnreached, isSlow, isMute } = machine;
  const flags = [isSpot, isQuarantined, isBackingOff, isUnreached, isSlow, isMute].map(Number).join('');
  const names = [endpoint, machineType, zone, partitionLeader, ...images, '', ...failedJobs];
  return [flags, agentEpoch, ...names.map(escapeSpaces)].join(' ');
}

/** A safe upper bound for the encoded size of a machine update. */
export const maxBytesOf = ({ machineId, images, failedJobs }: MachineUpdate, stableContent: string): number =>
  MACHINE_UPDATE_BYTES + Buffer.byteLength(stableContent) + machineId.length + images.length + failedJobs.length;
