/** Finds machines that have stopped responding, based on the partition leaders' reports of their heartbeats. */
import { UNSEEN_MACHINE_SILENCE_FACTOR, ZONE_RECOVERY_MS } from '../constants/autoscaling.js';
import type { Count } from '../domain/count.js';
import type { MachineInfo } from '../domain/machine-state.js';
import { partitionRole } from '../domain/role.js';
import type { Settings } from '../domain/settings.js';
import { heartbeatLateMs, unresponsiveAfterMs } from '../domain/worker-deadlines.js';
import type { PeerDirectory } from '../gossip/peer-directory.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';
import { findIsolatedZones, findMachinesToReplace, type MonitoredMachine } from './replacement-decision.js';

/** Sources of heartbeats, leaders and placements. */
export interface UnresponsiveMachineDetectorDependencies {
  settings: Settings;
  leadership: RoleLeadership;
  clusterState: ClusterState;
  inventory: MachineInventory;
  peerDirectory: PeerDirectory;
  clock: Clock;
}

/** Monitors heartbeats, and tracks which zones were recently isolated and when each role got its current leader. */
export class UnresponsiveMachineDetector {
  /** By role: when its current leader was first seen. */
  private readonly leaderSince = new Map<string, { leaseId: Count; atMs: number }>();
  /** By zone: when it was last seen isolated. */
  private readonly zoneIsolatedAtMs = new Map<string, number>();

  constructor(private readonly dependencies: UnresponsiveMachineDetectorDependencies) {}

  /** Ids of the unresponsive machines to scale in, unless so many are affected that the machines are not at fault. */
  find(machines: ReadonlyMap<string, MachineInfo>): string[] {
    const nowMs = this.dependencies.clock.now();
    const monitored = [...this.collectReported(machines, nowMs), ...this.collectUnreported(machines, nowMs)];
    for (const zone of findIsolatedZones(monitored)) this.zoneIsolatedAtMs.set(zone, nowMs);
    for (const [zone, atMs] of this.zoneIsolatedAtMs)
      if (nowMs - atMs > ZONE_RECOVERY_MS) this.zoneIsolatedAtMs.delete(zone);
    return findMachinesToReplace(monitored, new Set(this.zoneIsolatedAtMs.keys()));
  }

  private collectReported(machines: ReadonlyMap<string, MachineInfo>, nowMs: number): MonitoredMachine[] {
    const monitored: MonitoredMachine[] = [];
    for (const machine of machines.values()) {
      if (this.isReportedByItsLeader(machine)) monitored.push(this.describeReported(machine, nowMs));
    }
    return monitored;
  }

  /** Only the current leader's report counts: a former, cut-off leader would report all its machines as unresponsive. */
  private isReportedByItsLeader({ machineId, partitionLeader }: MachineInfo): boolean {
    const { leadership, inventory } = this.dependencies;
    const leader = leadership.leaderOf(partitionRole(leadership.partitionOf(machineId)));
    return partitionLeader === leader && !inventory.terminated.has(machineId) && inventory.hasCurrentState(machineId);
  }

  private describeReported(machine: MachineInfo, nowMs: number): MonitoredMachine {
    const { settings, leadership, peerDirectory } = this.dependencies;
    const { machineId, zone, lastHeartbeatAt } = machine;
    const { workers } = settings.cluster;
    const ageMs = nowMs - lastHeartbeatAt;
    // A mute machine's lease has expired, so nothing runs on it any more, but only its termination proves that at once.
    const isUnresponsive =
      machine.isMute ||
      (ageMs > unresponsiveAfterMs(workers) && !peerDirectory.hasMisroutedHeartbeatSince(machineId, lastHeartbeatAt));
    return {
      machineId,
      partition: leadership.partitionOf(machineId),
      zone,
      unresponsiveMs: isUnresponsive ? Math.max(ageMs, 1) : 0,
      isLate: isUnresponsive || ageMs > heartbeatLateMs(workers),
    };
  }

  /**
   * Machines with tasks that have sent no heartbeat since the current leaders of their partitions took over. If a machine
   * failed while all controllers were down, no former leader reports it, and its tasks would otherwise wait until its
   * lease has provably expired.
   */
  private collectUnreported(machines: ReadonlyMap<string, MachineInfo>, nowMs: number): MonitoredMachine[] {
    const { clusterState, inventory } = this.dependencies;
    this.trackLeaderChanges(nowMs);
    const monitored: MonitoredMachine[] = [];
    for (const machineId of clusterState.usedMachines()) {
      if (machines.has(machineId) || inventory.terminated.has(machineId)) continue;
      const machine = this.describeUnreported(machineId, nowMs);
      if (machine !== undefined) monitored.push(machine);
    }
    return monitored;
  }

  private trackLeaderChanges(nowMs: number): void {
    for (const [role, { record }] of this.dependencies.clusterState.leadershipRecords) {
      const since = this.leaderSince.get(role);
      if (since?.leaseId !== record.leaseId) this.leaderSince.set(role, { leaseId: record.leaseId, atMs: nowMs });
    }
  }

  /** The state of an unreported machine; undefined if the partition's leader is unreachable or the machine holds no task. */
  private describeUnreported(machineId: string, nowMs: number): MonitoredMachine | undefined {
    const { settings, leadership, clusterState, peerDirectory } = this.dependencies;
    const { workers } = settings.cluster;
    const partition = leadership.partitionOf(machineId);
    const role = partitionRole(partition);
    const [placedTask] = clusterState.tasksOn(machineId);
    if (!this.isReachable(leadership.leaderOf(role)) || placedTask === undefined) return undefined;
    const ageMs = nowMs - this.leaderSince.get(role)!.atMs;
    const isUnresponsive =
      ageMs > UNSEEN_MACHINE_SILENCE_FACTOR * unresponsiveAfterMs(workers) &&
      !peerDirectory.hasMisroutedHeartbeatSince(machineId, -Infinity);
    return {
      machineId,
      partition,
      zone: placedTask.placement.zone,
      unresponsiveMs: isUnresponsive ? ageMs : 0,
      isLate: ageMs > heartbeatLateMs(workers),
    };
  }

  private isReachable(node: string | undefined): boolean {
    const { settings, peerDirectory } = this.dependencies;
    return node === settings.node || (node !== undefined && peerDirectory.reachablePeers().includes(node));
  }
}
