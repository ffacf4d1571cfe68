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
  cheapestFirst,
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

/** Makes room for waiting work of a higher rank, or of a team that is owed it, by stopping what costs least. */
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
    const began = this.clock.now();
    if (began < this.pausedUntil || this.planner.unplacedTasks.length === 0) return;
    const stopped = this.makeRoom();
    const now = this.clock.now();
    // The exits of the last round must have been seen; and a full cluster must not take the processor for looking alone.
    this.pausedUntil = now + Math.max(stopped ? PREEMPT_PERIOD_MS : 0, (now - began) * (1 / PLANNING_TIME_SHARE - 1));
  }

  private makeRoom(): boolean {
    const uses = this.planner.teamUsages();
    const demands = this.demands();
    const groups = new Map<string, PendingTask[]>();
    const lowest = this.lowestPriorityIndex();
    for (const each of this.planner.unplacedTasks) {
      const { spec } = each.view.record;
      // Most of a full cluster waits behind its like: whom nobody could make room for is told apart before any machine
      // is looked at.
      const isByPriority = spec.priority !== 'low' && priorityIndexOf(spec) < lowest;
      if (each.placement.failures >= 2 || (!isByPriority && !this.mayReclaimAny(spec, demands, uses))) continue;
      const group = groups.get(spec.id);
      if (group === undefined) groups.set(spec.id, [each]);
      else group.push(each);
    }
    if (groups.size === 0) return false;
    const loads = this.loads();
    const hopeless = new Set<string>();
    let any = false;
    for (const waiting of groups.values()) if (this.makeRoomFor(waiting, loads, uses, demands, hopeless)) any = true;
    return any;
  }

  private makeRoomFor(
    waiting: readonly PendingTask[],
    loads: readonly LoadedMachine[],
    uses: Map<string, TeamUsage>,
    demands: ReadonlyMap<string, TeamUsage>,
    hopeless: Set<string>,
  ): boolean {
    const { view } = waiting[0]!;
    const { spec } = view.record;
    const owed = this.isOwed(spec, demands);
    const mayStop = (victim: JobSpec) =>
      priorityIndexOf(victim) > priorityIndexOf(spec) || (owed && this.mayReclaim(spec, victim, uses));
    const signature = `${requirementKeyOf(spec)} ${owed ? spec.team : ''}`;
    if (hopeless.has(signature)) return false;
    const { tasksPerZone } = view;
    const options = new Map<LoadedMachine, EvictionOption<LoadedMachine>>();
    const look = (load: LoadedMachine) => {
      const option = findEvictionOption(spec, load, mayStop, IMAGE_FETCH_COST);
      if (option === undefined) options.delete(load);
      else options.set(load, option);
    };
    for (const load of loads) look(load);
    if (options.size === 0) hopeless.add(signature);
    let any = false;
    for (let count = 0; count < waiting.length; count++) {
      let best: EvictionOption<LoadedMachine> | undefined;
      for (const option of options.values()) {
        if (best !== undefined && option.cost >= best.cost) continue;
        if (isZoneAllowed(spec, tasksPerZone, option.load.machine.zone)) best = option;
      }
      if (best === undefined) break;
      const { load, evicted } = best;
      for (const { placedTask, spec: victim } of evicted) {
        subtractResources(load.room, victim, -1);
        const use = uses.get(victim.team);
        if (use !== undefined) {
          use.cpus -= victim.cpus;
          use.gpus -= victim.gpus;
        }
        this.evictionMarker.evict(
          placedTask,
          victim,
          spec.priority === 'prod' ? 0 : victim.checkpointS,
          `room for ${view.jobId}`,
        );
        any = true;
      }
      const gone = new Set(evicted);
      load.tasks = load.tasks.filter((task) => !gone.has(task));
      subtractResources(load.room, spec);
      tasksPerZone.set(load.machine.zone, (tasksPerZone.get(load.machine.zone) ?? 0) + 1);
      look(load);
    }
    return any;
  }

  /** Every open machine with its free room; room that stopping tasks will leave counts as free, since it is on its way. */
  private loads(): LoadedMachine[] {
    const machines = this.inventory.openMachines();
    const rooms = this.planner.freeResources(machines);
    return machines.map((machine) => {
      const room = rooms.get(machine.machineId)!;
      const tasks: EvictionCandidate[] = [];
      for (const placedTask of this.clusterState.tasksOn(machine.machineId)) {
        const spec = this.clusterState.jobs.get(placedTask.jobId)?.record.spec;
        if (spec === undefined) continue;
        if (this.evictionMarker.isStopping(placedTask)) subtractResources(room, spec, -1);
        else tasks.push({ placedTask, spec });
      }
      return { machine, room, tasks: tasks.sort(cheapestFirst) };
    });
  }

  private lowestPriorityIndex(): number {
    let lowest = -1;
    for (const view of this.clusterState.jobs.values()) {
      if (view.placed > 0) lowest = Math.max(lowest, priorityIndexOf(view.record.spec));
    }
    return lowest;
  }

  /** What all unfinished jobs of each team ask for together. */
  private demands(): Map<string, TeamUsage> {
    const demands = new Map<string, TeamUsage>();
    for (const view of this.clusterState.jobs.values()) {
      const { spec, state } = view.record;
      const open = state === 'active' ? spec.taskCount - view.done : view.placed;
      const sum = demands.get(spec.team) ?? { cpus: 0, gpus: 0 };
      demands.set(spec.team, { cpus: sum.cpus + open * spec.cpus, gpus: sum.gpus + open * spec.gpus });
    }
    return demands;
  }

  /** Is the job's team owed room for it? */
  private isOwed(spec: JobSpec, demands: ReadonlyMap<string, TeamUsage>): boolean {
    const team = this.teams.get(spec.team);
    const demand = demands.get(spec.team);
    return team !== undefined && demand !== undefined && isOwedGuarantee(team, demand, spec);
  }

  /** Does any other team run so much beyond its guarantee that the job's could have something back? */
  private mayReclaimAny(
    spec: JobSpec,
    demands: ReadonlyMap<string, TeamUsage>,
    uses: ReadonlyMap<string, TeamUsage>,
  ): boolean {
    const owner = this.teams.get(spec.team);
    const kind = owner === undefined ? undefined : guaranteedResourceOf(owner, spec);
    if (kind === undefined || !this.isOwed(spec, demands)) return false;
    for (const [name, use] of uses) {
      const team = this.teams.get(name);
      if (name !== spec.team && team !== undefined && use[kind] > team.guaranteed[kind]) return true;
    }
    return false;
  }

  /** For a team's guarantee, work of any rank may be stopped that another team runs beyond its own. */
  private mayReclaim(spec: JobSpec, victim: JobSpec, uses: ReadonlyMap<string, TeamUsage>): boolean {
    const owner = this.teams.get(spec.team);
    const team = this.teams.get(victim.team);
    const use = uses.get(victim.team);
    const kind = owner === undefined ? undefined : guaranteedResourceOf(owner, spec);
    if (kind === undefined || team === undefined || use === undefined || victim.team === spec.team) return false;
    return isBorrowed(team, use, victim, kind);
  }
}
