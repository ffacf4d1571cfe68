/** Finds unusable machines: those that failed, didn't boot, or have been quarantined for long. */
import type { ListedMachine } from '../cloud/cloud-wire-codec.js';
import { FAULTY_MACHINE_SCALE_IN_MS } from '../constants/autoscaling.js';
import type { MachineInfo } from '../domain/machine-state.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { MachineListReader } from './machine-list-reader.js';
import { bootTimeoutMs } from './scale-out-decision.js';

/** Sources of machines and their tasks. */
export interface UnusableMachineDetectorDependencies {
  clusterState: ClusterState;
  inventory: MachineInventory;
  machineList: MachineListReader;
  clock: Clock;
}

/** Combines the cloud's list with the inventory, and tracks since when each machine has been quarantined. */
export class UnusableMachineDetector {
  private readonly quarantinedSinceMs = new Map<string, number>();

  constructor(private readonly dependencies: UnusableMachineDetectorDependencies) {}

  /** Ids of machines that failed, didn't boot in time, or have been quarantined for long and hold no task now. */
  find(machines: ReadonlyMap<string, MachineInfo>): string[] {
    return [...this.findFailed(machines), ...this.findQuarantined(machines)];
  }

  private findFailed(machines: ReadonlyMap<string, MachineInfo>): string[] {
    const { inventory, machineList } = this.dependencies;
    return [...machineList.machines.values()]
      .filter(({ machineId }) => !inventory.terminated.has(machineId))
      .filter((machine) => machine.state === 'failed' || this.hasNeverBooted(machine, machines))
      .map(({ machineId }) => machineId);
  }

  private hasNeverBooted(machine: ListedMachine, machines: ReadonlyMap<string, MachineInfo>): boolean {
    if (machine.state !== 'starting' || machines.has(machine.machineId)) return false;
    return machine.ageS * 1000 > bootTimeoutMs(this.dependencies.inventory.catalog.get(machine.machineType));
  }

  private findQuarantined(machines: ReadonlyMap<string, MachineInfo>): string[] {
    const { clusterState, inventory, clock } = this.dependencies;
    const nowMs = clock.now();
    for (const machineId of this.quarantinedSinceMs.keys())
      if (machines.get(machineId)?.isQuarantined !== true) this.quarantinedSinceMs.delete(machineId);
    const found: string[] = [];
    for (const { machineId, isQuarantined } of machines.values()) {
      if (!isQuarantined || inventory.terminated.has(machineId)) continue;
      const sinceMs = this.quarantinedSinceMs.get(machineId) ?? nowMs;
      this.quarantinedSinceMs.set(machineId, sinceMs);
      if (nowMs - sinceMs >= FAULTY_MACHINE_SCALE_IN_MS && clusterState.taskCountOn(machineId) === 0)
        found.push(machineId);
    }
    return found;
  }
}
