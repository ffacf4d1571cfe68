/** Finds machines that have stopped responding, from what the partition leaders report of their heartbeats. */
import { UNSEEN_SILENCE_LIMITS, ZONE_HEAL_MS } from '../constants/autoscaling.js';
import type { MachineInfo } from '../domain/machine-state.js';
import { partitionRole } from '../domain/role.js';
import type { Settings } from '../domain/settings.js';
import { heartbeatLateMs, unresponsiveAfterMs } from '../domain/worker-deadlines.js';
import type { PeerDirectory } from '../gossip/peer-directory.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';
import { findCutZones, findMachinesToReplace, type WatchedMachine } from './unresponsive-machines.js';

/** Where heartbeats, leaders and placements are read from. */
export interface UnresponsiveMachineDetectorDependencies {
  settings: Settings;
  leadership: RoleLeadership;
  clusterState: ClusterState;
  inventory: MachineInventory;
  peerDirectory: PeerDirectory;
  clock: Clock;
}

/** Watches heartbeats over time; remembers which zones were cut off and since when each role has its present leader. */
export class UnresponsiveMachineDetector {
  /** When each role was first seen under its present leader, by role. */
  private readonly leaderSince = new Map<string, { leaseId: number; atMs: number }>();
  /** When each zone was last seen cut off. */
  private readonly zoneCutAtMs = new Map<string, number>();

  constructor(private readonly dependencies: UnresponsiveMachineDetectorDependencies) {}

  /** Ids of unresponsive machines to be scaled in, unless so many are affected that the fault is not theirs. */
  find(machines: ReadonlyMap<string, MachineInfo>): string[] {
    const nowMs = this.dependencies.clock.now();
    const watched = [...this.watchReported(machines, nowMs), ...this.watchNeverHeard(machines, nowMs)];
    for (const zone of findCutZones(watched)) this.zoneCutAtMs.set(zone, nowMs);
    for (const [zone, atMs] of this.zoneCutAtMs) if (nowMs - atMs > ZONE_HEAL_MS) this.zoneCutAtMs.delete(zone);
    return findMachinesToReplace(watched, new Set(this.zoneCutAtMs.keys()));
  }

  private watchReported(machines: ReadonlyMap<string, MachineInfo>, nowMs: number): WatchedMachine[] {
    const watched: WatchedMachine[] = [];
    for (const machine of machines.values()) {
      if (this.isReportedByItsLeader(machine)) watched.push(this.watch(machine, nowMs));
    }
    return watched;
  }

  /** Only the report of the present leader counts: a former one, cut off, would call all its machines unresponsive. */
  private isReportedByItsLeader({ machineId, partitionLeader }: MachineInfo): boolean {
    const { leadership, inventory } = this.dependencies;
    const leader = leadership.leaderOf(partitionRole(leadership.partitionOf(machineId)));
    return partitionLeader === leader && !inventory.terminated.has(machineId) && inventory.isCurrent(machineId);
  }

  private watch(machine: MachineInfo, nowMs: number): WatchedMachine {
    const { settings, leadership, peerDirectory } = this.dependencies;
    const { machineId, zone, lastHeartbeatAt } = machine;
    const { workers } = settings.cluster;
    const ageMs = nowMs - lastHeartbeatAt;
    // The lease of a mute machine has expired, so nothing runs there any more; only its termination proves that at once.
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
   * Machines with tasks that have not been heard since the present leaders of their partitions took over: of a machine that
   * failed while all controllers were down no former leader reports, and its tasks would else wait until its lease has
   * provably expired.
   */
  private watchNeverHeard(machines: ReadonlyMap<string, MachineInfo>, nowMs: number): WatchedMachine[] {
    const { clusterState, inventory } = this.dependencies;
    this.noteLeaders(nowMs);
    const watched: WatchedMachine[] = [];
    for (const machineId of clusterState.usedMachines()) {
      if (machines.has(machineId) || inventory.terminated.has(machineId)) continue;
      const machine = this.watchUnheard(machineId, nowMs);
      if (machine !== undefined) watched.push(machine);
    }
    return watched;
  }

  private noteLeaders(nowMs: number): void {
    for (const [role, { record }] of this.dependencies.clusterState.leadershipRecords) {
      const since = this.leaderSince.get(role);
      if (since?.leaseId !== record.leaseId) this.leaderSince.set(role, { leaseId: record.leaseId, atMs: nowMs });
    }
  }

  /** undefined: the partition's leader is out of reach, or the machine holds no task. */
  private watchUnheard(machineId: string, nowMs: number): WatchedMachine | undefined {
    const { settings, leadership, clusterState, peerDirectory } = this.dependencies;
    const { workers } = settings.cluster;
    const partition = leadership.partitionOf(machineId);
    const role = partitionRole(partition);
    const [placedTask] = clusterState.tasksOn(machineId);
    if (!this.isReachable(leadership.leaderOf(role)) || placedTask === undefined) return undefined;
    const ageMs = nowMs - this.leaderSince.get(role)!.atMs;
    const isUnresponsive =
      ageMs > UNSEEN_SILENCE_LIMITS * unresponsiveAfterMs(workers) &&
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
