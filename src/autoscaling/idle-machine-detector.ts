/** Finds idle machines that the reserve of free resources does not need. */
import { IDLE_CHECK_PERIOD_MS, IDLE_SCALE_IN_MS } from '../constants/autoscaling.js';
import type { MachineInfo } from '../domain/machine-state.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { PlacementPlanner } from '../scheduling/placement-planner.js';
import { isBelowReserve } from './scale-out-decision.js';

/** Where tasks, machines and free resources are read from. */
export interface IdleMachineDetectorDependencies {
  clusterState: ClusterState;
  inventory: MachineInventory;
  planner: PlacementPlanner;
  clock: Clock;
}

/** Remembers since when each machine is idle; the memory passes to the next leader. */
export class IdleMachineDetector {
  private readonly idleSinceMs = new Map<string, number>();
  private nextCheckAtMs = -Infinity;

  constructor(private readonly dependencies: IdleMachineDetectorDependencies) {}

  /** Ids of machines to be scaled in; none between two checks, since idle machines are kept for minutes anyway. */
  find(): string[] {
    const nowMs = this.dependencies.clock.now();
    if (nowMs < this.nextCheckAtMs) return [];
    this.nextCheckAtMs = nowMs + IDLE_CHECK_PERIOD_MS;
    return this.check(nowMs);
  }

  /** Machines that were idle at the last check, with the steady ms since when. */
  recentlyIdle(): Iterable<{ machineId: string; at: number }> {
    return [...this.idleSinceMs].map(([machineId, at]) => ({ machineId, at }));
  }

  /** Takes over from a former leader. An entry stands only as long as the machine is seen idle: the next check drops it otherwise. */
  restore(machineId: string, atMs: number): void {
    this.idleSinceMs.set(machineId, Math.min(atMs, this.idleSinceMs.get(machineId) ?? Infinity));
  }

  private check(nowMs: number): string[] {
    const { clusterState, inventory } = this.dependencies;
    const open = inventory.schedulableMachines();
    let { freeCpus, totalCpus } = this.cpusOf(open);
    const found: string[] = [];
    for (const { machineId, machineType } of open) {
      if (clusterState.taskCountOn(machineId) > 0) {
        this.idleSinceMs.delete(machineId);
        continue;
      }
      const sinceMs = this.idleSinceMs.get(machineId) ?? nowMs;
      this.idleSinceMs.set(machineId, sinceMs);
      const { cpus } = inventory.catalog.get(machineType)!;
      // Hysteresis: scaled out below one reserve, scaled in only above twice as much.
      if (nowMs - sinceMs < IDLE_SCALE_IN_MS || isBelowReserve((freeCpus - cpus) / 2, totalCpus - cpus)) continue;
      freeCpus -= cpus;
      totalCpus -= cpus;
      found.push(machineId);
    }
    return found;
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
