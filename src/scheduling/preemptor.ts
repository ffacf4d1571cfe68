import { IMAGE_FETCH_COST, PREEMPT_PERIOD_MS, PLANNING_TIME_SHARE } from '../constants/scheduling.js';
import type { Settings } from '../domain/settings.js';
import type { Team, TeamUsage } from '../domain/team.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { JobSpec } from '../domain/job.js';
import { subtractResources } from '../domain/resources.js';
import { isZoneAllowed } from '../records/placement-rules.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { MachineInfo } from '../domain/machine-state.js';
import type { Clock } from '../net/clock.js';
import { guaranteedResourceOf, isBorrowed, isOwedGuarantee } from './decisions/queue-order.js';
import {
  compareEvictionCost,
  findEvictionOption,
  priorityIndexOf,
  requirementKeyOf,
  type MachineLoad,
  type EvictionOption,
  type EvictionCandidate,
} from './decisions/eviction-options.js';
import type { PendingTask } from './task-placer.js';
import type { PlacementPlanner } from './placement-planner.js';
import type { EvictionMarker } from './eviction-marker.js';

type LoadedMachine = MachineLoad<MachineInfo>;

/** Evicts the cheapest tasks for pending tasks of a higher priority, or of a team within its guarantee. */
export class Preemptor {
  private readonly teams: Map<string, Team>;
  private pausedUntil = -Infinity;

  constructor(
    settings: Settings,
    private readonly clusterState: ClusterState,
    private readonly inventory: MachineInventory,
    private readonly planner: PlacementPlanner,
    private readonly evictionMarker: EvictionMarker,
    private readonly clock: Clock,
  ) {
    this.teams = new Map(settings.cluster.teams.map((team) => [team.name, team]));
  }

  round(): void {
    const startedAt = this.clock.now();
    if (startedAt < this.pausedUntil || this.planner.unplacedTasks.length === 0) return;
    const hasEvicted = this.evictForUnplacedTasks();
    const now = this.clock.now();
    // The exits of the last round must have been seen; and a full cluster must not take the processor for looking alone.
    this.pausedUntil =
      now + Math.max(hasEvicted ? PREEMPT_PERIOD_MS : 0, (now - startedAt) * (1 / PLANNING_TIME_SHARE - 1));
  }

  private evictForUnplacedTasks(): boolean {
    const usages = this.planner.teamUsages();
    const demands = this.teamDemands();
    const pendingByJob = new Map<string, PendingTask[]>();
    const lowestIndex = this.lowestPriorityIndex();
    for (const each of this.planner.unplacedTasks) {
      const { spec } = each.view.record;
      // Most of a full cluster waits behind its like: whom nobody could make room for is told apart before any machine
      // is looked at.
      const isByPriority = spec.priority !== 'low' && priorityIndexOf(spec) < lowestIndex;
      if (each.placement.failures >= 2 || (!isByPriority && !this.canReclaimAny(spec, demands, usages))) continue;
      const group = pendingByJob.get(spec.id);
      if (group === undefined) pendingByJob.set(spec.id, [each]);
      else group.push(each);
    }
    if (pendingByJob.size === 0) return false;
    const loads = this.machineLoads();
    const impossibleKeys = new Set<string>();
    let hasEvicted = false;
    for (const pendingTasks of pendingByJob.values())
      if (this.evictFor(pendingTasks, loads, usages, demands, impossibleKeys)) hasEvicted = true;
    return hasEvicted;
  }

  private evictFor(
    pendingTasks: readonly PendingTask[],
    loads: readonly LoadedMachine[],
    usages: Map<string, TeamUsage>,
    demands: ReadonlyMap<string, TeamUsage>,
    impossibleKeys: Set<string>,
  ): boolean {
    const { view } = pendingTasks[0]!;
    const { spec } = view.record;
    const isOwed = this.isOwed(spec, demands);
    const canEvict = (evictedSpec: JobSpec) =>
      priorityIndexOf(evictedSpec) > priorityIndexOf(spec) || (isOwed && this.canReclaim(spec, evictedSpec, usages));
    const requirementKey = `${requirementKeyOf(spec)} ${isOwed ? spec.team : ''}`;
    if (impossibleKeys.has(requirementKey)) return false;
    const { tasksPerZone } = view;
    const options = new Map<LoadedMachine, EvictionOption<LoadedMachine>>();
    const evaluate = (load: LoadedMachine) => {
      const option = findEvictionOption(spec, load, canEvict, IMAGE_FETCH_COST);
      if (option === undefined) options.delete(load);
      else options.set(load, option);
    };
    for (const load of loads) evaluate(load);
    if (options.size === 0) impossibleKeys.add(requirementKey);
    let hasEvicted = false;
    for (let index = 0; index < pendingTasks.length; index++) {
      let best: EvictionOption<LoadedMachine> | undefined;
      for (const option of options.values()) {
        if (best !== undefined && option.cost >= best.cost) continue;
        if (isZoneAllowed(spec, tasksPerZone, option.load.machine.zone)) best = option;
      }
      if (best === undefined) break;
      const { load, evicted } = best;
      for (const { placedTask, spec: evictedSpec } of evicted) {
        subtractResources(load.free, evictedSpec, -1);
        const usage = usages.get(evictedSpec.team);
        if (usage !== undefined) {
          usage.cpus -= evictedSpec.cpus;
          usage.gpus -= evictedSpec.gpus;
        }
        this.evictionMarker.evict(
          placedTask,
          evictedSpec,
          spec.priority === 'prod' ? 0 : evictedSpec.checkpointS,
          `preempted for ${view.jobId}`,
        );
        hasEvicted = true;
      }
      const evictedTasks = new Set(evicted);
      load.tasks = load.tasks.filter((task) => !evictedTasks.has(task));
      subtractResources(load.free, spec);
      tasksPerZone.set(load.machine.zone, (tasksPerZone.get(load.machine.zone) ?? 0) + 1);
      evaluate(load);
    }
    return hasEvicted;
  }

  /** Every open machine with its free room; room that stopping tasks will leave counts as free, since it is on its way. */
  private machineLoads(): LoadedMachine[] {
    const machines = this.inventory.openMachines();
    const freeByMachine = this.planner.freeResources(machines);
    return machines.map((machine) => {
      const free = freeByMachine.get(machine.machineId)!;
      const tasks: EvictionCandidate[] = [];
      for (const placedTask of this.clusterState.tasksOn(machine.machineId)) {
        const spec = this.clusterState.jobs.get(placedTask.jobId)?.record.spec;
        if (spec === undefined) continue;
        if (this.evictionMarker.isStopping(placedTask)) subtractResources(free, spec, -1);
        else tasks.push({ placedTask, spec });
      }
      return { machine, free, tasks: tasks.sort(compareEvictionCost) };
    });
  }

  private lowestPriorityIndex(): number {
    let lowestIndex = -1;
    for (const view of this.clusterState.jobs.values()) {
      if (view.placed > 0) lowestIndex = Math.max(lowestIndex, priorityIndexOf(view.record.spec));
    }
    return lowestIndex;
  }

  /** What all unfinished jobs of each team ask for together. */
  private teamDemands(): Map<string, TeamUsage> {
    const demands = new Map<string, TeamUsage>();
    for (const view of this.clusterState.jobs.values()) {
      const { spec, state } = view.record;
      const remaining = state === 'active' ? spec.taskCount - view.done : view.placed;
      const sum = demands.get(spec.team) ?? { cpus: 0, gpus: 0 };
      demands.set(spec.team, { cpus: sum.cpus + remaining * spec.cpus, gpus: sum.gpus + remaining * spec.gpus });
    }
    return demands;
  }

  /** Is the job's team entitled to resources for it? */
  private isOwed(spec: JobSpec, demands: ReadonlyMap<string, TeamUsage>): boolean {
    const team = this.teams.get(spec.team);
    const demand = demands.get(spec.team);
    return team !== undefined && demand !== undefined && isOwedGuarantee(team, demand, spec);
  }

  /** Does any other team run so much beyond its guarantee that the job's could have something back? */
  private canReclaimAny(
    spec: JobSpec,
    demands: ReadonlyMap<string, TeamUsage>,
    usages: ReadonlyMap<string, TeamUsage>,
  ): boolean {
    const claimant = this.teams.get(spec.team);
    const resource = claimant === undefined ? undefined : guaranteedResourceOf(claimant, spec);
    if (resource === undefined || !this.isOwed(spec, demands)) return false;
    for (const [name, usage] of usages) {
      const team = this.teams.get(name);
      if (name !== spec.team && team !== undefined && usage[resource] > team.guaranteed[resource]) return true;
    }
    return false;
  }

  /** For a team's guarantee, tasks of any priority may be stopped that another team runs beyond its own. */
  private canReclaim(spec: JobSpec, evictedSpec: JobSpec, usages: ReadonlyMap<string, TeamUsage>): boolean {
    const claimant = this.teams.get(spec.team);
    const team = this.teams.get(evictedSpec.team);
    const usage = usages.get(evictedSpec.team);
    const resource = claimant === undefined ? undefined : guaranteedResourceOf(claimant, spec);
    if (resource === undefined || team === undefined || usage === undefined || evictedSpec.team === spec.team)
      return false;
    return isBorrowed(team, usage, evictedSpec, resource);
  }
}
