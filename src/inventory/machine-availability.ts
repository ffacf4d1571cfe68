/** Decides whether new tasks may be placed on a machine, and if not, for which reason. */
import { GOSSIP_STALE_MS } from '../constants/gossip.js';
import { SILENT_AFTER_MISSED_HEARTBEATS } from '../constants/workers.js';
import type { MachineInfo } from '../domain/machine-state.js';
import type { MachineType } from '../domain/machine-type.js';
import type { Settings } from '../domain/settings.js';
import type { Clock } from '../net/clock.js';
import { leaderOfMachine, ownLeadershipOver, type PartitionLeadership } from './machine-leadership.js';
import type { PeerMachineReports } from './peer-machine-reports.js';

/** Why no new tasks are placed on a machine; the cluster leader logs the number of machines by reason. */
export type UnavailableReason =
  'unknown_machine_type' | 'spot_notice' | 'quarantined' | 'slow' | 'unreached' | 'backoff' | 'scaling_in' | 'silent';

/** Dependencies of MachineAvailability. */
export interface MachineAvailabilityDependencies {
  settings: Settings;
  leadership: PartitionLeadership;
  peerReports: PeerMachineReports;
  /** The machine types by name. */
  catalog: ReadonlyMap<string, MachineType>;
  /** Machines that are being returned to the cloud. */
  scalingIn: ReadonlySet<string>;
  clock: Clock;
}

/** Applies the availability rules to single machines. */
export class MachineAvailability {
  constructor(private readonly dependencies: MachineAvailabilityDependencies) {}

  /** The first reason that applies, or undefined if new tasks may be placed on the machine. */
  unavailableReasonOf(machine: MachineInfo): UnavailableReason | undefined {
    const { catalog, scalingIn } = this.dependencies;
    if (!catalog.has(machine.machineType)) return 'unknown_machine_type';
    const reason = reportedReasonOf(machine);
    if (reason !== undefined) return reason;
    if (scalingIn.has(machine.machineId)) return 'scaling_in';
    return this.isSilent(machine) ? 'silent' : undefined;
  }

  /** Whether the machine's last known heartbeat is older than allowed, including the delay of gossip for other nodes' machines. */
  isSilent({ machineId, lastHeartbeatAt, partitionLeader }: MachineInfo): boolean {
    const { settings, leadership, peerReports, clock } = this.dependencies;
    const allowedMs = SILENT_AFTER_MISSED_HEARTBEATS * settings.cluster.workers.heartbeatIntervalMs;
    const now = clock.now();
    if (ownLeadershipOver(leadership, machineId) !== undefined) return now - lastHeartbeatAt > allowedMs;
    const reportedAt = peerReports.reportedAtOf(machineId);
    // Missing gossip from a node that still leads shows a network partition between the nodes, and nothing about its machines.
    if (now - reportedAt > GOSSIP_STALE_MS && leaderOfMachine(leadership, machineId) === partitionLeader)
      return reportedAt - lastHeartbeatAt > allowedMs;
    return now - lastHeartbeatAt > allowedMs + GOSSIP_STALE_MS / 2;
  }
}

/** The first reason among those that the leader of the machine's partition reports. */
function reportedReasonOf(machine: MachineInfo): UnavailableReason | undefined {
  if (machine.spotTerminationAt !== null) return 'spot_notice';
  if (machine.isQuarantined) return 'quarantined';
  if (machine.isSlow) return 'slow';
  if (machine.isUnreached) return 'unreached';
  return machine.isBackingOff ? 'backoff' : undefined;
}
