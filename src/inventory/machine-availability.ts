/** Whether new tasks may be placed on a machine, and if not, why. */
import { GOSSIP_STALE_MS } from '../constants/gossip.js';
import { SILENT_HEARTBEATS } from '../constants/workers.js';
import type { MachineInfo } from '../domain/machine-state.js';
import type { MachineType } from '../domain/machine-type.js';
import type { Settings } from '../domain/settings.js';
import type { Clock } from '../net/clock.js';
import { leaderOfMachine, ownLeadershipOver, type PartitionLeadership } from './machine-leadership.js';
import type { PeerMachineReports } from './peer-machine-reports.js';

/** Why a machine takes no new tasks; logged by the cluster leader as counts. */
export type UnavailableReason =
  'unknown_machine_type' | 'spot_notice' | 'quarantined' | 'slow' | 'unreached' | 'backoff' | 'scaling_in' | 'silent';

/** What MachineAvailability works with. */
export interface MachineAvailabilityDependencies {
  settings: Settings;
  leadership: PartitionLeadership;
  peerReports: PeerMachineReports;
  /** By name. */
  catalog: ReadonlyMap<string, MachineType>;
  /** Machines that are being returned to the cloud. */
  scalingIn: ReadonlySet<string>;
  clock: Clock;
}

/** Applies the rules of availability to one machine at a time. */
export class MachineAvailability {
  constructor(private readonly dependencies: MachineAvailabilityDependencies) {}

  /** The first reason that applies; undefined: new tasks may be placed there. */
  unavailableReasonOf(machine: MachineInfo): UnavailableReason | undefined {
    const { catalog, scalingIn } = this.dependencies;
    if (!catalog.has(machine.machineType)) return 'unknown_machine_type';
    const reason = statedReasonOf(machine);
    if (reason !== undefined) return reason;
    if (scalingIn.has(machine.machineId)) return 'scaling_in';
    return this.isSilent(machine) ? 'silent' : undefined;
  }

  /** Whether heartbeats are missing that should have been known here by now. */
  isSilent({ machineId, lastHeartbeatAt, partitionLeader }: MachineInfo): boolean {
    const { settings, leadership, peerReports, clock } = this.dependencies;
    const allowedMs = SILENT_HEARTBEATS * settings.cluster.workers.heartbeatIntervalMs;
    const now = clock.now();
    if (ownLeadershipOver(leadership, machineId) !== undefined) return now - lastHeartbeatAt > allowedMs;
    const statedAt = peerReports.statedAtOf(machineId);
    // No gossip of a leader that is still the leader: the nodes are cut off from each other, which says nothing of its machines.
    if (now - statedAt > GOSSIP_STALE_MS && leaderOfMachine(leadership, machineId) === partitionLeader)
      return statedAt - lastHeartbeatAt > allowedMs;
    return now - lastHeartbeatAt > allowedMs + GOSSIP_STALE_MS / 2;
  }
}

/** What the leader of the machine's partition has stated against it. */
function statedReasonOf(machine: MachineInfo): UnavailableReason | undefined {
  if (machine.spotTerminationAt !== null) return 'spot_notice';
  if (machine.isQuarantined) return 'quarantined';
  if (machine.isSlow) return 'slow';
  if (machine.isUnreached) return 'unreached';
  return machine.isBackingOff ? 'backoff' : undefined;
}
