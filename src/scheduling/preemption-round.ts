/** One round of preemption: for each job in turn, evicts tasks from the machines where this costs least. */
import { IMAGE_FETCH_COST } from '../constants/scheduling.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineInfo } from '../domain/machine-state.js';
import { subtractResources } from '../domain/resources.js';
import type { TeamUsage } from '../domain/team.js';
import type { JobView } from '../records/cluster-state.js';
import { isZoneAllowed } from '../records/placement-rules.js';
import {
  type EvictionOption,
  findEvictionOption,
  type MachineLoad,
  priorityIndexOf,
  requirementKeyOf,
} from './decisions/eviction-options.js';
import type { GuaranteeClaims } from './decisions/guarantee-claims.js';
import type { EvictionMarker } from './eviction-marker.js';
import type { PendingTask } from './task-placer.js';

/** A machine of the inventory with its free resources and the tasks that could be evicted from it. */
export type LoadedMachine = MachineLoad<MachineInfo>;

/** The snapshot that the round works on and updates with its decisions, and the marker that carries out the evictions. */
export interface PreemptionRoundDependencies {
  loads: readonly LoadedMachine[];
  usages: Map<string, TeamUsage>;
  claims: GuaranteeClaims;
  evictionMarker: EvictionMarker;
}

/** The search for one job: the machines on which evictions would make one more of its tasks fit. */
interface EvictionSearch {
  view: JobView;
  /** The job's tasks by zone, including those for which tasks have been evicted in this round. */
  tasksPerZone: Map<string, number>;
  canEvict: (candidate: JobSpec) => boolean;
  options: Map<LoadedMachine, EvictionOption<LoadedMachine>>;
}

/** Evicts tasks for one job after the other; each job sees the snapshot as the previous ones left it. */
export class PreemptionRound {
  /** Whether any task has been evicted in this round. */
  hasEvicted = false;
  /** Requirements that no machine can meet even by evictions. In a full cluster, most pending jobs share their requirements. */
  private readonly impossibleRequirementKeys = new Set<string>();

  constructor(private readonly dependencies: PreemptionRoundDependencies) {}

  /** Evicts tasks to make as many of the job's pending tasks fit as possible. */
  evictFor(pendingTasks: readonly PendingTask[]): void {
    const { view } = pendingTasks[0]!;
    const { spec } = view.record;
    const isEntitled = this.dependencies.claims.isEntitled(spec);
    const requirementKey = `${requirementKeyOf(spec)} ${isEntitled ? spec.team : ''}`;
    if (this.impossibleRequirementKeys.has(requirementKey)) return;
    const search = this.startSearch(view, isEntitled);
    if (search.options.size === 0) this.impossibleRequirementKeys.add(requirementKey);
    let remaining = pendingTasks.length;
    while (remaining > 0 && this.evictForOneTask(search)) remaining--;
  }

  private startSearch(view: JobView, isEntitled: boolean): EvictionSearch {
    const { loads, claims } = this.dependencies;
    const { spec } = view.record;
    const canEvict = (candidate: JobSpec) =>
      priorityIndexOf(candidate) > priorityIndexOf(spec) || (isEntitled && claims.canReclaim(spec, candidate));
    const search: EvictionSearch = { view, tasksPerZone: view.tasksPerZone, canEvict, options: new Map() };
    for (const load of loads) this.updateOption(search, load);
    return search;
  }

  private updateOption({ view, canEvict, options }: EvictionSearch, load: LoadedMachine): void {
    const option = findEvictionOption(view.record.spec, load, canEvict, IMAGE_FETCH_COST);
    if (option === undefined) options.delete(load);
    else options.set(load, option);
  }

  /** Makes one more task of the job fit; returns false if no machine is left where evictions could do so. */
  private evictForOneTask(search: EvictionSearch): boolean {
    const option = this.cheapestOption(search);
    if (option === undefined) return false;
    const { load } = option;
    const { spec } = search.view.record;
    this.evict(option, search.view);
    subtractResources(load.free, spec);
    search.tasksPerZone.set(load.machine.zone, (search.tasksPerZone.get(load.machine.zone) ?? 0) + 1);
    this.updateOption(search, load);
    return true;
  }

  private cheapestOption({ view, tasksPerZone, options }: EvictionSearch): EvictionOption<LoadedMachine> | undefined {
    let cheapest: EvictionOption<LoadedMachine> | undefined;
    for (const option of options.values()) {
      if (cheapest !== undefined && option.cost >= cheapest.cost) continue;
      if (isZoneAllowed(view.record.spec, tasksPerZone, option.load.machine.zone)) cheapest = option;
    }
    return cheapest;
  }

  /** Evicts the tasks of the option and returns their resources to the snapshot. */
  private evict({ load, evicted }: EvictionOption<LoadedMachine>, view: JobView): void {
    const { usages, evictionMarker } = this.dependencies;
    for (const { placedTask, spec } of evicted) {
      subtractResources(load.free, spec, -1);
      const usage = usages.get(spec.team);
      if (usage !== undefined) {
        usage.cpus -= spec.cpus;
        usage.gpus -= spec.gpus;
      }
      const gracePeriodS = view.record.spec.priority === 'prod' ? 0 : spec.checkpointS;
      evictionMarker.evict(placedTask, spec, gracePeriodS, `preempted for ${view.jobId}`);
      this.hasEvicted = true;
    }
    const evictedTasks = new Set(evicted);
    load.tasks = load.tasks.filter((task) => !evictedTasks.has(task));
  }
}
