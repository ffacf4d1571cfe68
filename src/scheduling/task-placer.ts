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

/** A shard that waits for a place. */
export interface PendingTask {
  view: JobView;
  taskIndex: number;
  placement: Extract<TaskPlacement, { kind: 'queued' }>;
}

/** Matches the waiting tasks of one job after the other to machines, on rooms that the caller keeps. */
export class TaskPlacer {
  private readonly preferred = new Map<string, string>();
  private readonly warmSince = new Map<string, number>();
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
  begin(): void {
    this.matched = 0;
    for (const [jobId] of this.warmSince) {
      const view = this.clusterState.jobs.get(jobId);
      if (view === undefined || view.placed === view.record.spec.taskCount) this.warmSince.delete(jobId);
    }
  }

  /** The machine that a moved task was matched to; it goes there if there still is room. */
  prefer(name: string, machineId: string): void {
    this.preferred.set(name, machineId);
  }

  placed(name: string): void {
    this.preferred.delete(name);
  }

  /**
   * Machines for waiting tasks of one job, by task name; the rest found none. `flying` are the zones of the job's starts that
   * are on their way to the ledger.
   */
  find(
    waiting: readonly PendingTask[],
    candidates: CandidateMachines,
    rooms: ReadonlyMap<string, Resources>,
    flying: readonly string[],
  ): Map<string, MachineInfo> {
    if (waiting.length === 0) return new Map();
    const { view } = waiting[0]!;
    const { spec } = view.record;
    if (candidates.isFull(spec)) return new Map();
    const machines = this.warmOnly(waiting, candidates.machines, rooms);
    const usable = this.withRoom(spec, machines, rooms, waiting.length);
    if (usable.full && machines === candidates.machines) candidates.noteFull(spec);
    // A full cluster is the usual case under load: nothing is matched where nothing fits, and no more than fits at all.
    const most = spec.kind === 'gang' && usable.tasks < waiting.length ? 0 : usable.tasks;
    if (most === 0) return new Map();
    this.matched += most;
    const seekers: MatchingTask[] = waiting.slice(0, most).map((each) => ({
      id: taskIdOf(view.jobId, each.taskIndex),
      group: view.jobId,
      usage: resourcesOf(spec),
      requested: resourcesOf(spec),
    }));
    const byHost = new Map(usable.machines.map((machine) => [machine.machineId, machine]));
    const slots = view.tasksPerZone;
    for (const zone of flying) slots.set(zone, (slots.get(zone) ?? 0) + 1);
    const hosts: MatchingMachine[] = usable.machines.map((machine) => ({
      id: machine.machineId,
      zone: machine.zone,
      free: rooms.get(machine.machineId)!,
    }));
    const preferred = new Set(seekers.map(({ id }) => this.preferred.get(id)));
    const tier = (host: MatchingMachine) => (preferred.has(host.id) ? -1 : this.tier(spec, byHost.get(host.id)!));
    let best = new Map<string, MatchingMachine>();
    if (spec.kind === 'service') {
      const isWarm = (host: MatchingMachine) => byHost.get(host.id)!.images.includes(spec.image);
      best = this.matchApart(spec, seekers, hosts, slots, tier, isWarm);
    } else {
      const oneOf = spec.singleZone && slots.size === 0 && spec.taskCount > 1;
      for (const zone of oneOf ? new Set(hosts.map((host) => host.zone)) : [undefined]) {
        const open = zone === undefined ? hosts : hosts.filter((host) => host.zone === zone);
        const found = this.matchInZones(spec, seekers, open, slots, tier);
        if (found.size > best.size) best = found;
      }
    }
    return new Map([...best].map(([name, host]) => [name, byHost.get(host.id)!]));
  }

  /** The machines that have room for a task, and how many tasks they have room for, counted up to `enough`. */
  private withRoom(
    spec: JobSpec,
    machines: readonly MachineInfo[],
    rooms: ReadonlyMap<string, Resources>,
    enough: number,
  ): { machines: MachineInfo[]; tasks: number; full: boolean } {
    const open: MachineInfo[] = [];
    let full = true;
    let tasks = 0;
    for (const machine of machines) {
      const room = rooms.get(machine.machineId)!;
      if (!fits(spec, room)) continue;
      full = false;
      if (machine.failedJobs.includes(spec.id)) continue;
      open.push(machine);
      tasks += countFittingTasks(room, spec);
    }
    // With more to place than one run takes, a sample of many machines will do; what hangs together needs them all.
    const busy = this.matched >= MAX_PLAN_TASKS && !isPlacedByLeader(spec);
    const usable = busy ? this.random.sample(open, SAMPLE_MACHINES) : open;
    return { machines: usable, tasks: Math.min(tasks, enough), full };
  }

  private matchInZones(
    spec: JobSpec,
    seekers: readonly MatchingTask[],
    hosts: readonly MatchingMachine[],
    slots: ReadonlyMap<string, number>,
    tier: (host: MatchingMachine) => number,
    hostAllows: (host: MatchingMachine, taken: number) => boolean = () => true,
  ): Map<string, MatchingMachine> {
    return match(seekers, hosts, {
      isAllowed: () => true,
      zoneAllows: (_, zone, taken) => {
        if (!spec.spreadAcrossZones && !spec.singleZone) return true;
        const total = new Map(slots);
        for (const [each, count] of taken) total.set(each, (total.get(each) ?? 0) + count);
        return isZoneAllowed(spec, total, zone);
      },
      machineAllows: (_, host, taken) => hostAllows(host, taken),
      tier: (_, host) => tier(host),
    });
  }

  /**
   * Replicas go to as many machines as there are: a machine's loss then costs a service less, and more machines hold its
   * image when the next service comes. But two share a machine with the image rather than wait for a fetch.
   */
  private matchApart(
    spec: JobSpec,
    seekers: readonly MatchingTask[],
    hosts: readonly MatchingMachine[],
    slots: ReadonlyMap<string, number>,
    tier: (host: MatchingMachine) => number,
    isWarm: (host: MatchingMachine) => boolean,
  ): Map<string, MatchingMachine> {
    const found = new Map<string, MatchingMachine>();
    const zones = new Map(slots);
    const here = new Map<string, number>();
    const free = hosts.map((host) => ({ ...host, free: { ...host.free } }));
    for (const host of free) here.set(host.id, 0);
    for (const [, placement] of this.clusterState.jobs.get(spec.id)?.knownPlacements() ?? []) {
      if (placement.kind === 'placed') here.set(placement.machineId, (here.get(placement.machineId) ?? 0) + 1);
    }
    for (const open of [free.filter(isWarm), free]) {
      for (let most = 1; most <= spec.taskCount; most++) {
        const rest = seekers.filter((seeker) => !found.has(seeker.id));
        if (rest.length === 0) return found;
        const allows = (host: MatchingMachine, taken: number) => here.get(host.id)! + taken < most;
        const matched = this.matchInZones(spec, rest, open, zones, tier, allows);
        // No siblings in the way, and still no place: more of them on one machine won't help.
        if (matched.size === 0 && open.every((host) => here.get(host.id)! < most)) break;
        for (const [id, host] of matched) {
          found.set(id, host);
          subtractResources(host.free, spec);
          here.set(host.id, here.get(host.id)! + 1);
          zones.set(host.zone, (zones.get(host.zone) ?? 0) + 1);
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
  private warmOnly(
    waiting: readonly PendingTask[],
    machines: readonly MachineInfo[],
    rooms: ReadonlyMap<string, Resources>,
  ): readonly MachineInfo[] {
    const { view } = waiting[0]!;
    const { spec } = view.record;
    if (spec.kind !== 'service' || spec.priority !== 'prod') return machines;
    const now = this.clock.now();
    const since = this.warmSince.get(view.jobId) ?? now;
    this.warmSince.set(view.jobId, since);
    if (now - since > CACHED_IMAGE_WAIT_MS) return machines;
    const warm = machines.filter((machine) => {
      if (!machine.images.includes(spec.image)) return false;
      const room = { ...rooms.get(machine.machineId)! };
      for (const placedTask of this.clusterState.tasksOn(machine.machineId)) {
        const other = this.clusterState.jobs.get(placedTask.jobId)?.record.spec;
        if (other !== undefined && JOB_PRIORITIES.indexOf(other.priority) > JOB_PRIORITIES.indexOf(spec.priority))
          subtractResources(room, other, -1);
      }
      return fits(spec, room);
    });
    const zones = new Set(warm.map((machine) => machine.zone));
    // Zones without such a machine are open to cold ones: the spread may need them.
    return warm.length === 0 ? machines : machines.filter((each) => warm.includes(each) || !zones.has(each.zone));
  }
}
