import {
  FETCH_TIER_S,
  GPU_TIER,
  MAX_PLAN_TASKS,
  SAMPLE_MACHINES,
  CACHED_IMAGE_WAIT_MS,
} from '../constants/scheduling.js';
import type { ReschedulingSettings } from '../domain/settings.js';
import type { ClusterState, JobView } from '../records/cluster-state.js';
import { isPlacedByLeader, JOB_PRIORITIES, type JobSpec } from '../domain/job.js';
import { fits, type Resources, resourcesOf, subtractResources, countFittingTasks } from '../domain/resources.js';
import { taskIdOf, type TaskPlacement } from '../domain/task.js';
import { isZoneAllowed } from '../records/placement-rules.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { MachineInfo } from '../domain/machine-state.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import { match, type MatchingMachine, type MatchingTask } from './decisions/matching.js';
import type { CandidateMachines } from './candidate-machines.js';

/** A task that waits for a machine. */
export interface PendingTask {
  view: JobView;
  taskIndex: number;
  placement: Extract<TaskPlacement, { kind: 'queued' }>;
}

/** Matches the pending tasks of one job after the other to machines, reserving nothing: the caller keeps the free resources. */
export class TaskPlacer {
  private readonly preferred = new Map<string, string>();
  private readonly cachedImageWaitSince = new Map<string, number>();
  /** Tasks matched in the run under way. */
  private matched = 0;

  constructor(
    private readonly tuning: ReschedulingSettings,
    private readonly clusterState: ClusterState,
    private readonly inventory: MachineInventory,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** A new run over all jobs begins. */
  beginPlan(): void {
    this.matched = 0;
    for (const [jobId] of this.cachedImageWaitSince) {
      const view = this.clusterState.jobs.get(jobId);
      if (view === undefined || view.placed === view.record.spec.taskCount) this.cachedImageWaitSince.delete(jobId);
    }
  }

  /** The machine that a moved task was matched to; it goes there if it still fits. */
  prefer(taskId: string, machineId: string): void {
    this.preferred.set(taskId, machineId);
  }

  forgetPreference(taskId: string): void {
    this.preferred.delete(taskId);
  }

  /**
   * Machines for pending tasks of one job, by task id; the rest found none. `inFlightZones` are the zones of the job's in-flight
   * starts.
   */
  find(
    pendingTasks: readonly PendingTask[],
    candidates: CandidateMachines,
    freeByMachine: ReadonlyMap<string, Resources>,
    inFlightZones: readonly string[],
  ): Map<string, MachineInfo> {
    if (pendingTasks.length === 0) return new Map();
    const { view } = pendingTasks[0]!;
    const { spec } = view.record;
    if (candidates.isFull(spec)) return new Map();
    const machines = this.preferCachedImage(pendingTasks, candidates.machines, freeByMachine);
    const usable = this.withFreeResources(spec, machines, freeByMachine, pendingTasks.length);
    if (usable.full && machines === candidates.machines) candidates.recordFull(spec);
    // A full cluster is the usual case under load: nothing is matched where nothing fits, and no more than fits at all.
    const maxTasks = spec.kind === 'gang' && usable.tasks < pendingTasks.length ? 0 : usable.tasks;
    if (maxTasks === 0) return new Map();
    this.matched += maxTasks;
    const matchingTasks: MatchingTask[] = pendingTasks.slice(0, maxTasks).map((each) => ({
      id: taskIdOf(view.jobId, each.taskIndex),
      group: view.jobId,
      usage: resourcesOf(spec),
      requested: resourcesOf(spec),
    }));
    const machineById = new Map(usable.machines.map((machine) => [machine.machineId, machine]));
    const zoneCounts = view.tasksPerZone;
    for (const zone of inFlightZones) zoneCounts.set(zone, (zoneCounts.get(zone) ?? 0) + 1);
    const matchingMachines: MatchingMachine[] = usable.machines.map((machine) => ({
      id: machine.machineId,
      zone: machine.zone,
      free: freeByMachine.get(machine.machineId)!,
    }));
    const preferred = new Set(matchingTasks.map(({ id }) => this.preferred.get(id)));
    const tier = (machine: MatchingMachine) =>
      preferred.has(machine.id) ? -1 : this.tier(spec, machineById.get(machine.id)!);
    let best = new Map<string, MatchingMachine>();
    if (spec.kind === 'service') {
      const hasImageCached = (machine: MatchingMachine) => machineById.get(machine.id)!.images.includes(spec.image);
      best = this.matchReplicas(spec, matchingTasks, matchingMachines, zoneCounts, tier, hasImageCached);
    } else {
      const oneOf = spec.singleZone && zoneCounts.size === 0 && spec.taskCount > 1;
      for (const zone of oneOf ? new Set(matchingMachines.map((machine) => machine.zone)) : [undefined]) {
        const open =
          zone === undefined ? matchingMachines : matchingMachines.filter((machine) => machine.zone === zone);
        const found = this.matchInZones(spec, matchingTasks, open, zoneCounts, tier);
        if (found.size > best.size) best = found;
      }
    }
    return new Map([...best].map(([taskId, machine]) => [taskId, machineById.get(machine.id)!]));
  }

  /** The machines that have room for a task, and how many tasks they have room for, counted up to `enough`. */
  private withFreeResources(
    spec: JobSpec,
    machines: readonly MachineInfo[],
    freeByMachine: ReadonlyMap<string, Resources>,
    enough: number,
  ): { machines: MachineInfo[]; tasks: number; full: boolean } {
    const open: MachineInfo[] = [];
    let full = true;
    let tasks = 0;
    for (const machine of machines) {
      const free = freeByMachine.get(machine.machineId)!;
      if (!fits(spec, free)) continue;
      full = false;
      if (machine.failedJobs.includes(spec.id)) continue;
      open.push(machine);
      tasks += countFittingTasks(free, spec);
    }
    // With more to place than one run takes, a sample of many machines will do; what hangs together needs them all.
    const busy = this.matched >= MAX_PLAN_TASKS && !isPlacedByLeader(spec);
    const usable = busy ? this.random.sample(open, SAMPLE_MACHINES) : open;
    return { machines: usable, tasks: Math.min(tasks, enough), full };
  }

  private matchInZones(
    spec: JobSpec,
    matchingTasks: readonly MatchingTask[],
    matchingMachines: readonly MatchingMachine[],
    zoneCounts: ReadonlyMap<string, number>,
    tier: (machine: MatchingMachine) => number,
    isMachineOpen: (machine: MatchingMachine, taken: number) => boolean = () => true,
  ): Map<string, MatchingMachine> {
    return match(matchingTasks, matchingMachines, {
      isAllowed: () => true,
      isZoneOpen: (_, zone, taken) => {
        if (!spec.spreadAcrossZones && !spec.singleZone) return true;
        const total = new Map(zoneCounts);
        for (const [each, count] of taken) total.set(each, (total.get(each) ?? 0) + count);
        return isZoneAllowed(spec, total, zone);
      },
      isMachineOpen: (_, machine, taken) => isMachineOpen(machine, taken),
      tierOf: (_, machine) => tier(machine),
    });
  }

  /**
   * Replicas go to as many machines as there are: a machine's loss then costs a service less, and more machines hold its
   * image when the next service comes. But two share a machine with the image rather than wait for a fetch.
   */
  private matchReplicas(
    spec: JobSpec,
    matchingTasks: readonly MatchingTask[],
    matchingMachines: readonly MatchingMachine[],
    zoneCounts: ReadonlyMap<string, number>,
    tier: (machine: MatchingMachine) => number,
    hasImageCached: (machine: MatchingMachine) => boolean,
  ): Map<string, MatchingMachine> {
    const found = new Map<string, MatchingMachine>();
    const zones = new Map(zoneCounts);
    const countByMachine = new Map<string, number>();
    const free = matchingMachines.map((machine) => ({ ...machine, free: { ...machine.free } }));
    for (const machine of free) countByMachine.set(machine.id, 0);
    for (const [, placement] of this.clusterState.jobs.get(spec.id)?.knownPlacements() ?? []) {
      if (placement.kind === 'placed')
        countByMachine.set(placement.machineId, (countByMachine.get(placement.machineId) ?? 0) + 1);
    }
    for (const open of [free.filter(hasImageCached), free]) {
      for (let maxPerMachine = 1; maxPerMachine <= spec.taskCount; maxPerMachine++) {
        const rest = matchingTasks.filter((task) => !found.has(task.id));
        if (rest.length === 0) return found;
        const allows = (machine: MatchingMachine, taken: number) =>
          countByMachine.get(machine.id)! + taken < maxPerMachine;
        const matched = this.matchInZones(spec, rest, open, zones, tier, allows);
        // No siblings in the way, and still no place: more of them on one machine won't help.
        if (matched.size === 0 && open.every((machine) => countByMachine.get(machine.id)! < maxPerMachine)) break;
        for (const [id, machine] of matched) {
          found.set(id, machine);
          subtractResources(machine.free, spec);
          countByMachine.set(machine.id, countByMachine.get(machine.id)! + 1);
          zones.set(machine.zone, (zones.get(machine.zone) ?? 0) + 1);
        }
      }
    }
    return found;
  }

  /** Extensions of the distance: what speaks against a machine, whatever its distance. */
  private tier(spec: JobSpec, machine: MachineInfo): number {
    const machineType = this.inventory.catalog.get(machine.machineType);
    const fetchS = spec.imageGb / (machineType?.fetchGbPerS || 1);
    let tier = machine.images.includes(spec.image) ? 0 : this.tuning.imageBonus * (1 + fetchS / FETCH_TIER_S);
    // Cards are scarce: what needs none leaves their machines to what does.
    if (spec.gpus === 0 && (machineType?.gpus ?? 0) > 0) tier += GPU_TIER;
    return tier;
  }

  /**
   * For a service, a machine that holds its image is worth stopping lower work for: the fetch takes longer. So for a
   * moment only such machines count, if there are any that could be made free.
   */
  private preferCachedImage(
    pendingTasks: readonly PendingTask[],
    machines: readonly MachineInfo[],
    freeByMachine: ReadonlyMap<string, Resources>,
  ): readonly MachineInfo[] {
    const { view } = pendingTasks[0]!;
    const { spec } = view.record;
    if (spec.kind !== 'service' || spec.priority !== 'prod') return machines;
    const now = this.clock.now();
    const since = this.cachedImageWaitSince.get(view.jobId) ?? now;
    this.cachedImageWaitSince.set(view.jobId, since);
    if (now - since > CACHED_IMAGE_WAIT_MS) return machines;
    const cachedMachines = machines.filter((machine) => {
      if (!machine.images.includes(spec.image)) return false;
      const free = { ...freeByMachine.get(machine.machineId)! };
      for (const placedTask of this.clusterState.tasksOn(machine.machineId)) {
        const other = this.clusterState.jobs.get(placedTask.jobId)?.record.spec;
        if (other !== undefined && JOB_PRIORITIES.indexOf(other.priority) > JOB_PRIORITIES.indexOf(spec.priority))
          subtractResources(free, other, -1);
      }
      return fits(spec, free);
    });
    const zones = new Set(cachedMachines.map((machine) => machine.zone));
    // Zones without such a machine are open to those without it: the spread may need them.
    return cachedMachines.length === 0
      ? machines
      : machines.filter((each) => cachedMachines.includes(each) || !zones.has(each.zone));
  }
}
