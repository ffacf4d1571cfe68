/** Reports about machines from the peers' gossip. All times are monotonic ms of this node. */
import { GOSSIP_STALE_MS } from '../constants/gossip.js';
import { FORGET_MACHINE_MS } from '../constants/inventory.js';
import type { MachineInfo, MachineRefresh } from '../domain/machine-state.js';

/** Stores the newest report about each machine, received from its partition's leader or relayed by another node. */
export class PeerMachineReports {
  // Two maps with the same keys, since every inventory view copies the first one.
  private readonly reports = new Map<string, MachineInfo>();
  /** When the leader of the machine's partition made the report. */
  private readonly reportTimes = new Map<string, number>();

  /** By machine id, in the order in which the machines were first reported. */
  get machines(): ReadonlyMap<string, MachineInfo> {
    return this.reports;
  }

  /** Returns -Infinity if there is no report about the machine. */
  reportedAtOf(machineId: string): number {
    return this.reportTimes.get(machineId) ?? -Infinity;
  }

  /** Stores a report unless the stored one is as new or newer. */
  apply(machine: MachineInfo, reportedAt: number): void {
    if (this.reportedAtOf(machine.machineId) >= reportedAt) return;
    this.reportTimes.set(machine.machineId, reportedAt);
    this.reports.set(machine.machineId, machine);
  }

  /** Updates only the last heartbeat. Returns false unless the stored report is from the same leader and without a spot notice. */
  refresh({ machineId, partitionLeader, lastHeartbeatAt, sequence }: MachineRefresh, now: number): boolean {
    const machine = this.reports.get(machineId);
    if (machine?.partitionLeader !== partitionLeader || machine.spotTerminationAt !== null) return false;
    machine.lastHeartbeatAt = lastHeartbeatAt;
    machine.sequence = sequence;
    this.reportTimes.set(machineId, now);
    return true;
  }

  /** The reports newer than GOSSIP_STALE_MS. */
  *recent(now: number): Iterable<{ machine: MachineInfo; reportedAt: number }> {
    for (const [machineId, machine] of this.reports) {
      const reportedAt = this.reportTimes.get(machineId)!;
      if (now - reportedAt < GOSSIP_STALE_MS) yield { machine, reportedAt };
    }
  }

  remove(machineId: string): void {
    this.reports.delete(machineId);
    this.reportTimes.delete(machineId);
  }

  /** Removes the machines without a report for FORGET_MACHINE_MS. */
  prune(now: number): void {
    for (const [machineId, reportedAt] of this.reportTimes) {
      if (now - reportedAt >= FORGET_MACHINE_MS) this.remove(machineId);
    }
  }
}
