/** Finds machines that can't be used: failed, never booted, or quarantined for long. */
import type { ListedMachine } from '../cloud/cloud-wire-codec.js';
import { QUARANTINE_PATIENCE_MS } from '../constants/autoscaling.js';
import type { MachineInfo } from '../domain/machine-state.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { MachineListReader } from './machine-list-reader.js';
import { bootLimitMs } from './scale-out-decision.js';

/** Where machines and their tasks are read from. */
export interface UnusableMachineDetectorDependencies {
  clusterState: ClusterState;
  inventory: MachineInventory;
  machineList: MachineListReader;
  clock: Clock;
}

/** Joins the cloud's list with what is known of machines in use; remembers since when each machine is quarantined. */
export class UnusableMachineDetector {
  private readonly quarantinedSinceMs = new Map<string, number>();

  constructor(private readonly dependencies: UnusableMachineDetectorDependencies) {}

  /** Ids of machines that failed, never came up, or fail all their tasks and hold none now. */
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
    return machine.ageS * 1000 > bootLimitMs(this.dependencies.inventory.catalog.get(machine.machineType));
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
      if (nowMs - sinceMs >= QUARANTINE_PATIENCE_MS && clusterState.taskCountOn(machineId) === 0) found.push(machineId);
    }
    return found;
  }
}
