/** What of a machine update is compared and counted before it is sent. */
import { MACHINE_UPDATE_BYTES } from '../constants/gossip.js';
import type { MachineUpdate } from './messages.js';

/** All that a machine update states besides what every heartbeat changes; equal texts mean that nothing needs to be sent again. */
export function stableContentOf(machine: MachineUpdate): string {
  const { endpoint, machineType, zone, agentEpoch, partitionLeader, images, failedJobs } = machine;
  const { isSpot, isQuarantined, isBackingOff, isUnreached, isSlow, isMute } = machine;
  const flags = [isSpot, isQuarantined, isBackingOff, isUnreached, isSlow, isMute].map(Number).join('');
  const fields = [endpoint, machineType, zone, agentEpoch, flags, partitionLeader, ...images, '', ...failedJobs];
  return fields.join(' ');
}

/** A safe upper bound of the bytes that a machine takes in a message. */
export const maxBytesOf = ({ machineId, images, failedJobs }: MachineUpdate, stableContent: string): number =>
  MACHINE_UPDATE_BYTES + Buffer.byteLength(stableContent) + machineId.length + images.length + failedJobs.length;
