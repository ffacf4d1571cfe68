/** What the peers' gossip states of the machines in their partitions. All times are monotonic ms of this node. */
import { GOSSIP_STALE_MS } from '../constants/gossip.js';
import { FORGET_MACHINE_MS } from '../constants/inventory.js';
import type { MachineInfo, MachineRefresh } from '../domain/machine-state.js';

/** The newest statement of each machine, by the leader itself or relayed. */
export class PeerMachineReports {
  // Two maps with the same keys, since every view of the inventory copies the first.
  private readonly byMachine = new Map<string, MachineInfo>();
  /** As of when the leader of the machine's partition stated it. */
  private readonly statedAt = new Map<string, number>();

  /** In the order in which the machines were first reported. */
  get machines(): ReadonlyMap<string, MachineInfo> {
    return this.byMachine;
  }

  /** -Infinity: nothing was ever stated of the machine. */
  statedAtOf(machineId: string): number {
    return this.statedAt.get(machineId) ?? -Infinity;
  }

  /** Stores a statement, unless a newer one is known. */
  apply(machine: MachineInfo, statedAt: number): void {
    if (this.statedAtOf(machine.machineId) >= statedAt) return;
    this.statedAt.set(machine.machineId, statedAt);
    this.byMachine.set(machine.machineId, machine);
  }

  /** Updates the last heartbeat alone. False: what the leader stated of the machine before is not known here. */
  refresh({ machineId, partitionLeader, lastHeartbeatAt, sequence }: MachineRefresh, now: number): boolean {
    const machine = this.byMachine.get(machineId);
    if (machine?.partitionLeader !== partitionLeader || machine.spotTerminationAt !== null) return false;
    machine.lastHeartbeatAt = lastHeartbeatAt;
    machine.sequence = sequence;
    this.statedAt.set(machineId, now);
    return true;
  }

  /** The statements that are not stale. */
  *recent(now: number): Iterable<{ machine: MachineInfo; knownAt: number }> {
    for (const [machineId, machine] of this.byMachine) {
      const knownAt = this.statedAt.get(machineId)!;
      if (now - knownAt < GOSSIP_STALE_MS) yield { machine, knownAt };
    }
  }

  /** Forgets one machine. */
  remove(machineId: string): void {
    this.byMachine.delete(machineId);
    this.statedAt.delete(machineId);
  }

  /** Forgets the machines that no peer has stated anything of for FORGET_MACHINE_MS. */
  prune(now: number): void {
    for (const [machineId, statedAt] of this.statedAt) {
      if (now - statedAt >= FORGET_MACHINE_MS) this.remove(machineId);
    }
  }
}
