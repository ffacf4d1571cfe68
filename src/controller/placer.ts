import { CARDS_TIER, FETCH_TIER_S, MAX_PLAN_TASKS, SAMPLE_MACHINES, WARM_WAIT_MS } from '../constants.js';
import type { Tuning } from '../config/settings.js';
import type { Book, JobView } from '../ledger/book.js';
import { RANKS, shardName, type JobSpec, type Slot } from '../ledger/records.js';
import { fits, roomOf, takeRoom, zoneAllows, type Room } from '../ledger/rules.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import { match, type Host, type Seeker } from '../placement/matching.js';
import { tasksIn } from '../placement/renting.js';
import type { Fleet, MachineInfo } from './fleet.js';
import type { Pool } from './pools.js';

/** A shard that waits for a place. */
export interface Waiting {
  view: JobView;
  shard: number;
  slot: Extract<Slot, { kind: 'queued' }>;
}

/** Jobs that the leader places: their tasks depend on each other, or need more than a partition. */
export const isLarge = (spec: JobSpec): boolean => spec.Shape === 'ensemble' || spec.OneZone || spec.Spread;

/** Matches the waiting tasks of one job after the other to machines, on rooms that the caller keeps. */
export class Placer {
  private readonly preferred = new Map<string, string>();
  private readonly warmSince = new Map<string, number>();
  /** Tasks matched in the run under way. */
  private matched = 0;

  constructor(
    private readonly tuning: Tuning,
    private readonly book: Book,
    private readonly fleet: Fleet,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** A new run over all jobs begins. */
  begin(): void {
    this.matched = 0;
    for (const [ref] of this.warmSince) {
      const view = this.book.jobs.get(ref);
      if (view === undefined || view.placed === view.record.spec.Shards) this.warmSince.delete(ref);
    }
  }

  /** The machine that a moved task was matched to; it goes there if there still is room. */
  prefer(name: string, host: string): void {
    this.preferred.set(name, host);
  }

  placed(name: string): void {
    this.preferred.delete(name);
  }

  /**
   * Machines for waiting tasks of one job, by task name; the rest found none. `flying` are the zones of the job's starts that
   * are on their way to the ledger.
   */
  find(
    waiting: readonly Waiting[],
    pool: Pool,
    rooms: ReadonlyMap<string, Room>,
    flying: readonly string[],
  ): Map<string, MachineInfo> {
    if (waiting.length === 0) return new Map();
    const { view } = waiting[0]!;
    const { spec } = view.record;
    if (pool.isFull(spec)) return new Map();
    const machines = this.warmOnly(waiting, pool.machines, rooms);
    const usable = this.withRoom(spec, machines, rooms, waiting.length);
    if (usable.full && machines === pool.machines) pool.noteFull(spec);
    // A full cluster is the usual case under load: nothing is matched where nothing fits, and no more than fits at all.
    const most = spec.Shape === 'ensemble' && usable.tasks < waiting.length ? 0 : usable.tasks;
    if (most === 0) return new Map();
    this.matched += most;
    const seekers: Seeker[] = waiting.slice(0, most).map((each) => ({
      id: shardName(view.ref, each.shard),
      group: view.ref,
      use: roomOf(spec),
      peak: roomOf(spec),
    }));
    const byHost = new Map(usable.machines.map((machine) => [machine.host, machine]));
    const slots = view.zones;
    for (const site of flying) slots.set(site, (slots.get(site) ?? 0) + 1);
    const hosts: Host[] = usable.machines.map((machine) => ({
      id: machine.host,
      site: machine.site,
      free: rooms.get(machine.host)!,
    }));
    const preferred = new Set(seekers.map(({ id }) => this.preferred.get(id)));
    const tier = (host: Host) => (preferred.has(host.id) ? -1 : this.tier(spec, byHost.get(host.id)!));
    let best = new Map<string, Host>();
    if (spec.Shape === 'service') {
      const isWarm = (host: Host) => byHost.get(host.id)!.images.includes(spec.Bundle);
      best = this.matchApart(spec, seekers, hosts, slots, tier, isWarm);
    } else {
      const oneOf = spec.OneZone && slots.size === 0 && spec.Shards > 1;
      for (const zone of oneOf ? new Set(hosts.map((host) => host.site)) : [undefined]) {
        const open = zone === undefined ? hosts : hosts.filter((host) => host.site === zone);
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
    rooms: ReadonlyMap<string, Room>,
    enough: number,
  ): { machines: MachineInfo[]; tasks: number; full: boolean } {
    const open: MachineInfo[] = [];
    let full = true;
    let tasks = 0;
    for (const machine of machines) {
      const room = rooms.get(machine.host)!;
      if (!fits(spec, room)) continue;
      full = false;
      if (machine.failedJobs.includes(spec.Ref)) continue;
      open.push(machine);
      tasks += tasksIn(room, spec);
    }
    // With more to place than one run takes, a sample of many machines will do; what hangs together needs them all.
    const busy = this.matched >= MAX_PLAN_TASKS && !isLarge(spec);
    const usable = busy ? this.random.sample(open, SAMPLE_MACHINES) : open;
    return { machines: usable, tasks: Math.min(tasks, enough), full };
  }

  private matchInZones(
    spec: JobSpec,
    seekers: readonly Seeker[],
    hosts: readonly Host[],
    slots: ReadonlyMap<string, number>,
    tier: (host: Host) => number,
    hostAllows: (host: Host, taken: number) => boolean = () => true,
  ): Map<string, Host> {
    return match(seekers, hosts, {
      allowed: () => true,
      zoneAllows: (_, site, taken) => {
        if (!spec.Spread && !spec.OneZone) return true;
        const total = new Map(slots);
        for (const [each, count] of taken) total.set(each, (total.get(each) ?? 0) + count);
        return zoneAllows(spec, total, site);
      },
      hostAllows: (_, host, taken) => hostAllows(host, taken),
      tier: (_, host) => tier(host),
    });
  }

  /**
   * Replicas go to as many machines as there are: a machine's loss then costs a service less, and more machines hold its
   * image when the next service comes. But two share a machine with the image rather than wait for a fetch.
   */
  private matchApart(
    spec: JobSpec,
    seekers: readonly Seeker[],
    hosts: readonly Host[],
    slots: ReadonlyMap<string, number>,
    tier: (host: Host) => number,
    isWarm: (host: Host) => boolean,
  ): Map<string, Host> {
    const found = new Map<string, Host>();
    const zones = new Map(slots);
    const here = new Map<string, number>();
    const free = hosts.map((host) => ({ ...host, free: { ...host.free } }));
    for (const host of free) here.set(host.id, 0);
    for (const [, slot] of this.book.jobs.get(spec.Ref)?.known() ?? []) {
      if (slot.kind === 'placed') here.set(slot.host, (here.get(slot.host) ?? 0) + 1);
    }
    for (const open of [free.filter(isWarm), free]) {
      for (let most = 1; most <= spec.Shards; most++) {
        const rest = seekers.filter((seeker) => !found.has(seeker.id));
        if (rest.length === 0) return found;
        const allows = (host: Host, taken: number) => here.get(host.id)! + taken < most;
        const matched = this.matchInZones(spec, rest, open, zones, tier, allows);
        // No siblings in the way, and still no place: more of them on one machine won't help.
        if (matched.size === 0 && open.every((host) => here.get(host.id)! < most)) break;
        for (const [id, host] of matched) {
          found.set(id, host);
          takeRoom(host.free, spec);
          here.set(host.id, here.get(host.id)! + 1);
          zones.set(host.site, (zones.get(host.site) ?? 0) + 1);
        }
      }
    }
    return found;
  }

  /** Extensions of the distance: what speaks against a machine, whatever its distance. */
  private tier(spec: JobSpec, machine: MachineInfo): number {
    const flavor = this.fleet.catalog.get(machine.flavor);
    const fetchS = spec.SizeGb / (flavor?.fetchGbPerS || 1);
    let tier = machine.images.includes(spec.Bundle) ? 0 : this.tuning.image_bonus * (1 + fetchS / FETCH_TIER_S);
    // Cards are scarce: what needs none leaves their machines to what does.
    if (spec.Cards === 0 && (flavor?.cards ?? 0) > 0) tier += CARDS_TIER;
    return tier;
  }

  /**
   * For a service, a machine that holds its image is worth stopping lower work for: the fetch takes longer. So for a
   * moment only such machines count, if there are any that could be made free.
   */
  private warmOnly(
    waiting: readonly Waiting[],
    machines: readonly MachineInfo[],
    rooms: ReadonlyMap<string, Room>,
  ): readonly MachineInfo[] {
    const { view } = waiting[0]!;
    const { spec } = view.record;
    if (spec.Shape !== 'service' || spec.Rank !== 'prod') return machines;
    const now = this.clock.now();
    const since = this.warmSince.get(view.ref) ?? now;
    this.warmSince.set(view.ref, since);
    if (now - since > WARM_WAIT_MS) return machines;
    const warm = machines.filter((machine) => {
      if (!machine.images.includes(spec.Bundle)) return false;
      const room = { ...rooms.get(machine.host)! };
      for (const place of this.book.placesOn(machine.host)) {
        const other = this.book.jobs.get(place.ref)?.record.spec;
        if (other !== undefined && RANKS.indexOf(other.Rank) > RANKS.indexOf(spec.Rank)) takeRoom(room, other, -1);
      }
      return fits(spec, room);
    });
    const zones = new Set(warm.map((machine) => machine.site));
    // Zones without such a machine are open to cold ones: the spread may need them.
    return warm.length === 0 ? machines : machines.filter((each) => warm.includes(each) || !zones.has(each.site));
  }
}
