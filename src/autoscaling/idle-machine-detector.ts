/** Finds idle machines that the reserve of free resources does not need. */
import { IDLE_CHECK_PERIOD_MS, IDLE_SCALE_IN_MS } from '../constants/autoscaling.js';
import type { MachineInfo } from '../domain/machine-state.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';
import { isBelowReserve } from './scale-out-decision.js';

/** Sources of tasks, machines and free resources. */
export interface IdleMachineDetectorDependencies {
  clusterState: ClusterState;
  inventory: MachineInventory;
  planner: PlacementPlanner;
  clock: Clock;
}

/** Tracks since when each machine has been idle; the next leader takes over this state. */
export class IdleMachineDetector {
  private readonly idleSinceMs = new Map<string, number>();
  private nextCheckAtMs = -Infinity;

  constructor(private readonly dependencies: IdleMachineDetectorDependencies) {}

  /** Ids of the machines to scale in; empty between two checks, since idle machines are kept for minutes anyway. */
  find(): string[] {
    const nowMs = this.dependencies.clock.now();
    if (nowMs < this.nextCheckAtMs) return [];
    this.nextCheckAtMs = nowMs + IDLE_CHECK_PERIOD_MS;
    return this.check(nowMs);
  }

  /** Machines that were idle at the last check; `at`: since when, monotonic ms. */
  recentlyIdle(): Iterable<{ machineId: string; at: number }> {
    return [...this.idleSinceMs].map(([machineId, at]) => ({ machineId, at }));
  }

  /** Restores an entry of a former leader. The next check drops the entry if tasks are placed on the machine. */
  restore(machineId: string, atMs: number): void {
    this.idleSinceMs.set(machineId, Math.min(atMs, this.idleSinceMs.get(machineId) ?? Infinity));
  }

  private check(nowMs: number): string[] {
    const { clusterState, inventory } = this.dependencies;
    const schedulable = inventory.schedulableMachines();
    let { freeCpus, totalCpus } = this.cpusOf(schedulable);
    const idleMachineIds: string[] = [];
    for (const { machineId, machineType } of schedulable) {
      if (clusterState.taskCountOn(machineId) > 0) {
        this.idleSinceMs.delete(machineId);
        continue;
      }
      const sinceMs = this.idleSinceMs.get(machineId) ?? nowMs;
      this.idleSinceMs.set(machineId, sinceMs);
      const { cpus } = inventory.catalog.get(machineType)!;
      // Hysteresis: machines are added below one reserve, and removed only above twice the reserve.
      if (nowMs - sinceMs < IDLE_SCALE_IN_MS || isBelowReserve((freeCpus - cpus) / 2, totalCpus - cpus)) continue;
      freeCpus -= cpus;
      totalCpus -= cpus;
      idleMachineIds.push(machineId);
    }
    return idleMachineIds;
  }

  private cpusOf(machines: readonly MachineInfo[]): { freeCpus: number; totalCpus: number } {
    const { inventory, planner } = this.dependencies;
    const freeResources = planner.freeResources(machines);
    let freeCpus = 0;
    let totalCpus = 0;
    for (const { machineId, machineType } of machines) {
      totalCpus += inventory.catalog.get(machineType)!.cpus;
      freeCpus += Math.max(0, freeResources.get(machineId)!.cpus);
    }
    return { freeCpus, totalCpus };
  }
}
