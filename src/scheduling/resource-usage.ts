/** Free resources of machines and usage of teams, in-flight starts included. */
import type { MachineInfo } from '../domain/machine-state.js';
import { resourcesOfMachineType } from '../domain/machine-type.js';
import { isNonNegative, type Resources, subtractResources } from '../domain/resources.js';
import type { TeamUsage } from '../domain/team.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { InFlightStarts } from './in-flight-starts.js';

/** The state that usage is computed from. */
export interface ResourceUsageDependencies {
  clusterState: ClusterState;
  inventory: MachineInventory;
  inFlight: InFlightStarts;
}

/** Computes usage anew at each call, from the cluster state and the in-flight starts of this node. */
export class ResourceUsage {
  constructor(private readonly dependencies: ResourceUsageDependencies) {}

  /**
   * Free resources by machine id: those of the machine type, minus the usage of placed tasks and in-flight starts. Machines of
   * an unknown type are omitted. The caller owns the result and may change it.
   */
  freeResources(machines: Iterable<MachineInfo>): Map<string, Resources> {
    const { clusterState, inventory, inFlight } = this.dependencies;
    const freeByMachine = new Map<string, Resources>();
    for (const machine of machines) {
      const machineType = inventory.catalog.get(machine.machineType);
      if (machineType === undefined) continue;
      const free = resourcesOfMachineType(machineType);
      const used = clusterState.usedResourcesOn(machine.machineId);
      if (used !== undefined) subtractResources(free, used);
      freeByMachine.set(machine.machineId, free);
    }
    for (const start of inFlight.all()) {
      const free = freeByMachine.get(start.machineId);
      if (free !== undefined) subtractResources(free, start.spec);
    }
    return freeByMachine;
  }

  /**
   * Whether the machine still has resources for all in-flight starts on it. While a start is queued for the store, another
   * node may fill the machine. The worker would then refuse the task, which costs two more record changes and closes the
   * machine to starts for a while.
   */
  canHoldInFlightStarts(machine: MachineInfo): boolean {
    const free = this.freeResources([machine]).get(machine.machineId);
    return free !== undefined && isNonNegative(free);
  }

  /** Usage of each team's placed tasks and in-flight starts. The caller owns the result and may change it. */
  teamUsages(): Map<string, TeamUsage> {
    const { clusterState, inFlight } = this.dependencies;
    const usages = new Map<string, TeamUsage>();
    for (const [team, usage] of clusterState.teamUsages) usages.set(team, { ...usage });
    for (const { spec } of inFlight.all()) {
      const usage = usages.get(spec.team) ?? { cpus: 0, gpus: 0 };
      usages.set(spec.team, { cpus: usage.cpus + spec.cpus, gpus: usage.gpus + spec.gpus });
    }
    return usages;
  }
}
