import {
  IDLE_LOOK_MS,
  IDLE_RETURN_MS,
  LIST_PERIOD_MS,
  PREEMPT_PERIOD_MS,
  RENT_PERIOD_MS,
  CATALOG_PERIOD_MS,
  SICK_PATIENCE_MS,
  STATUS_PERIOD_MS,
  UNHEARD_LIMITS,
  ZONE_HEAL_MS,
  RENT_ROUNDS,
} from '../constants.js';
import type { Settings } from '../config/settings.js';
import { decodeCatalog, type CloudClient, type ListedMachine } from '../cloud/client.js';
import type { Book } from '../ledger/book.js';
import { freeShard } from '../ledger/edits.js';
import { flavorKey } from '../ledger/records.js';
import type { TeamAccounting } from '../ledger/team-accounting.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import { exitPriority } from '../placement/queue.js';
import { cutZones, machinesToGiveUp, type Watched } from '../placement/silence.js';
import { belowReserve, bootLimitMs } from '../placement/renting.js';
import type { Committer } from '../state/committer.js';
import type { Draft } from '../state/draft.js';
import type { Peers } from '../mesh/peers.js';
import { reportLateMs, silenceLimitMs } from '../workers/worker.js';
import { LEADER, partitionRole, type Claims } from './claims.js';
import type { Fleet, MachineInfo } from './fleet.js';
import type { Log } from './log.js';
import type { Planner } from './planner.js';
import { Preempter } from './preempter.js';
import { Renter } from './renter.js';
import { Stopper } from './stopper.js';

export interface LeaderDependencies {
  settings: Settings;
  claims: Claims;
  book: Book;
  fleet: Fleet;
  planner: Planner;
  committer: Committer;
  accounting: TeamAccounting;
  cloud: CloudClient;
  peers: Peers;
  clock: Clock;
  log: Log;
}

/** What a leader remembers beside the records, and what it takes over of a former one's memory. */
export interface LeaderMemory {
  stopping(): Iterable<{ attempt: string; at: number }>;
  refused(): Iterable<{ offer: string; at: number }>;
  idle(): Iterable<{ host: string; at: number }>;
  restoreStopping(attempt: string, at: number): void;
  restoreRefusal(offer: string, at: number): void;
  restoreIdle(host: string, at: number): void;
}

/** What the leader does for the whole cluster: catalogue, renting and returning, drains, preemption. */
export class Leader {
  private readonly settings: Settings;
  private readonly claims: Claims;
  private readonly book: Book;
  private readonly fleet: Fleet;
  private readonly planner: Planner;
  private readonly committer: Committer;
  private readonly accounting: TeamAccounting;
  private readonly cloud: CloudClient;
  private readonly peers: Peers;
  private readonly clock: Clock;
  private readonly log: Log;
  private listed = new Map<string, ListedMachine>();
  private readonly idleSince = new Map<string, number>();
  private readonly sickSince = new Map<string, number>();
  private readonly returning = new Set<string>();
  private readonly stopper: Stopper;
  private readonly preempter: Preempter;
  private readonly renter: Renter;
  private catalogAt = -Infinity;
  private idleLookAt = -Infinity;
  /** Since when each role is seen in the hands of its present owner. */
  private readonly ownerSince = new Map<string, { latch: number; at: number }>();
  /** When each zone was last seen cut off. */
  private readonly cutAt = new Map<string, number>();

  constructor({
    settings,
    claims,
    book,
    fleet,
    planner,
    committer,
    accounting,
    cloud,
    peers,
    clock,
    log,
  }: LeaderDependencies) {
    this.settings = settings;
    this.claims = claims;
    this.book = book;
    this.fleet = fleet;
    this.planner = planner;
    this.committer = committer;
    this.accounting = accounting;
    this.cloud = cloud;
    this.peers = peers;
    this.clock = clock;
    this.log = log;
    this.stopper = new Stopper(claims, book, committer, clock, log);
    this.preempter = new Preempter(settings, book, fleet, planner, this.stopper, clock);
    this.renter = new Renter(settings, claims, book, fleet, planner, committer, cloud, clock, log, () => this.listed);
  }

  async run(signal: AbortSignal): Promise<void> {
    await Promise.all([
      this.every(RENT_PERIOD_MS / 4, signal, () => this.readCatalog()),
      this.every(LIST_PERIOD_MS, signal, () => this.readList()),
      this.every(RENT_PERIOD_MS, signal, async () => {
        // What is refused in one place is asked for in the next at once: a machine takes long enough to boot.
        for (let round = 0; round < RENT_ROUNDS && (await this.renter.round()); round++);
      }),
      this.every(RENT_PERIOD_MS / 4, signal, () => this.tend()),
      this.every(PREEMPT_PERIOD_MS / 2, signal, () => this.preempter.round()),
      this.every(STATUS_PERIOD_MS, signal, () => this.status()),
    ]);
  }

  private async every(ms: number, signal: AbortSignal, work: () => Promise<void> | void): Promise<void> {
    while (!signal.aborted) {
      try {
        if (this.claims.isLeader) await work();
      } catch (error) {
        this.log.error({ error: (error as Error).stack }, 'leader duty failed');
      }
      await this.clock.sleep(ms, signal);
    }
  }

  /** A line now and then by which an operator sees how full the cluster is and who waits. */
  private status(): void {
    const machines = [...this.fleet.all().values()];
    const open = this.fleet.open();
    let total = 0;
    let free = 0;
    for (const [host, room] of this.planner.rooms(open)) {
      total += this.fleet.catalog.get(this.fleet.get(host)!.flavor)!.cpus;
      free += room.cpus;
    }
    const closed: Record<string, number> = {};
    for (const machine of machines) {
      const why = this.fleet.whyClosed(machine);
      if (why !== undefined) closed[why] = (closed[why] ?? 0) + 1;
    }
    const waiting: Record<string, number> = {};
    for (const { view } of this.planner.unplaced) {
      const { Rank } = view.record.spec;
      waiting[Rank] = (waiting[Rank] ?? 0) + 1;
    }
    this.log.info(
      { machines: machines.length, open: open.length, closed, cpus: total, free: Math.round(free), waiting },
      'status',
    );
  }

  private async readCatalog(): Promise<void> {
    const now = this.clock.now();
    if (now - this.catalogAt < CATALOG_PERIOD_MS) return;
    const body = await this.cloud.machineTypes();
    if (body === undefined) return;
    this.catalogAt = now;
    const flavors = (body as { Flavors: { Sku: string }[] }).Flavors;
    // Each type is a decision of its own: all together may be more than one transaction holds.
    await Promise.all(
      flavors.map((flavor) =>
        this.committer.commit('catalogue', Priority.record, (draft) => this.recordFlavor(draft, flavor)),
      ),
    );
  }

  private recordFlavor(draft: Draft, flavor: { Sku: string }): boolean {
    if (!this.claims.require(draft, LEADER)) return false;
    // Prices move all the time; only what decides about fitting is worth a change.
    const old = decodeCatalog({ Flavors: [draft.get(flavorKey(flavor.Sku)) ?? {}] })?.get(flavor.Sku);
    const now = decodeCatalog({ Flavors: [flavor] })!.get(flavor.Sku)!;
    const withoutPrices = (each: typeof now) => JSON.stringify({ ...each, hourly: 0, lowPrice: 0 });
    if (old !== undefined && withoutPrices(old) === withoutPrices(now)) return false;
    draft.set(flavorKey(flavor.Sku), flavor);
    return true;
  }

  private async readList(): Promise<void> {
    const list = await this.cloud.list();
    if (list === undefined) return;
    this.listed = new Map(list.map((machine) => [machine.host, machine]));
  }

  /** What the leader remembers beside the records: for whoever succeeds it. */
  get memory(): LeaderMemory {
    return {
      stopping: () => this.stopper.lately(),
      refused: () => this.renter.refusedLately(),
      idle: () => [...this.idleSince].map(([host, at]) => ({ host, at })),
      restoreStopping: (attempt, at) => this.stopper.restore(attempt, at),
      restoreRefusal: (offer, at) => this.renter.restoreRefusal(offer, at),
      // An entry stands only as long as the machine is seen idle: the next look drops it otherwise.
      restoreIdle: (host, at) => void this.idleSince.set(host, Math.min(at, this.idleSince.get(host) ?? Infinity)),
    };
  }

  /** Machines that the cloud lists but nobody has heard: for the owners to greet. */
  get listing(): ReadonlyMap<string, ListedMachine> {
    return this.listed;
  }

  /** Looks after machines: dead, failed, never up, sick, idle, warned. */
  private async tend(): Promise<void> {
    const now = this.clock.now();
    const all = this.fleet.all();
    const back = new Set<string>([...this.silent(all), ...this.useless(all)]);
    // Idle machines are kept for minutes, so they are looked for now and then.
    if (now >= this.idleLookAt) {
      this.idleLookAt = now + IDLE_LOOK_MS;
      for (const host of this.idle()) back.add(host);
    }
    this.stopOnWarned(all);
    const hosts = [...back].filter((host) => !this.returning.has(host)).slice(0, 50);
    // Places on machines that the cloud has confirmed gone, also those committed on an old view since.
    for (const host of this.book.hostsInUse()) if (this.fleet.gone.has(host)) this.freeGone(host);
    if (hosts.length === 0) return;
    for (const host of hosts) {
      this.returning.add(host);
      this.fleet.leaving.add(host);
    }
    this.log.info({ machines: hosts, at: Math.round(now) }, 'machines given back');
    const gone = await this.cloud.giveBack(hosts);
    for (const host of hosts) {
      this.returning.delete(host);
      if (!gone) {
        this.fleet.leaving.delete(host);
        continue;
      }
      this.fleet.remove(host);
      this.listed.delete(host);
      this.freeGone(host);
    }
  }

  /** The cloud's 200 proves that the machine and everything on it are gone. */
  private freeGone(host: string): void {
    for (const place of [...this.book.placesOn(host)]) {
      const priority = exitPriority(this.book.jobs.get(place.ref)?.record.spec);
      void this.committer.commit(
        'gone',
        priority,
        (draft) => {
          if (!this.claims.require(draft, LEADER)) return false;
          return freeShard(draft, this.accounting, place.ref, place.shard, host, { kind: 'gone' }, 'lost');
        },
        undefined,
        this.book.companyOf(place.ref, place.shard),
      );
    }
  }

  /** Machines that have been silent for long, unless so many are that the fault is not theirs. */
  private silent(all: ReadonlyMap<string, MachineInfo>): string[] {
    const now = this.clock.now();
    const limit = silenceLimitMs(this.settings.cluster.workers);
    const watched: Watched[] = [];
    for (const machine of all.values()) {
      const partition = this.claims.partitionOf(machine.host);
      // Only the word of the present owner counts: a former one, cut off, would call them all silent.
      const isOwners = machine.owner === this.claims.ownerOf(partitionRole(partition));
      if (!isOwners || this.fleet.gone.has(machine.host) || !this.fleet.isCurrent(machine.host)) continue;
      const age = now - machine.heardAt;
      // A mute machine's lease has run out, so nothing runs there any more; only its being gone proves that at once.
      const silent = machine.mute || (age > limit && !this.knocked(machine));
      const quiet = silent || age > reportLateMs(this.settings.cluster.workers);
      watched.push({
        host: machine.host,
        partition,
        site: machine.site,
        silentMs: silent ? Math.max(age, 1) : 0,
        quiet,
      });
    }
    watched.push(...this.unheard(all, now));
    for (const site of cutZones(watched)) this.cutAt.set(site, now);
    for (const [site, at] of this.cutAt) if (now - at > ZONE_HEAL_MS) this.cutAt.delete(site);
    return machinesToGiveUp(watched, new Set(this.cutAt.keys()));
  }

  /**
   * Machines with tasks that nobody has heard since the owners of their partitions took over: what died while all nodes were down
   * is told of by no former owner, and would else be waited for until its lease is proved over.
   */
  private unheard(all: ReadonlyMap<string, MachineInfo>, now: number): Watched[] {
    const { workers } = this.settings.cluster;
    const list: Watched[] = [];
    for (const [role, { record }] of this.book.claims) {
      const since = this.ownerSince.get(role);
      if (since?.latch !== record.latch) this.ownerSince.set(role, { latch: record.latch, at: now });
    }
    for (const host of this.book.hostsInUse()) {
      if (all.has(host) || this.fleet.gone.has(host)) continue;
      const partition = this.claims.partitionOf(host);
      const owner = this.claims.ownerOf(partitionRole(partition));
      const told = owner === this.settings.node || (owner !== undefined && this.peers.heard().includes(owner));
      const [place] = this.book.placesOn(host);
      if (!told || place === undefined) continue;
      const age = now - this.ownerSince.get(partitionRole(partition))!.at;
      const silent = age > UNHEARD_LIMITS * silenceLimitMs(workers) && !this.peers.knocked(host, -Infinity);
      list.push({
        host,
        partition,
        site: place.slot.site,
        silentMs: silent ? age : 0,
        quiet: age > reportLateMs(workers),
      });
    }
    return list;
  }

  private knocked(machine: MachineInfo): boolean {
    return this.peers.knocked(machine.host, machine.heardAt);
  }

  /** Machines that failed, never came up, or fail all their tasks and hold none now. */
  private useless(all: ReadonlyMap<string, MachineInfo>): string[] {
    const list: string[] = [];
    for (const machine of this.listed.values()) {
      if (this.fleet.gone.has(machine.host)) continue;
      const limit = bootLimitMs(this.fleet.catalog.get(machine.flavor));
      const never = machine.phase === 'starting' && !all.has(machine.host) && machine.heldS * 1000 > limit;
      if (machine.phase === 'failed' || never) list.push(machine.host);
    }
    const now = this.clock.now();
    for (const host of this.sickSince.keys()) if (all.get(host)?.sick !== true) this.sickSince.delete(host);
    for (const { host, sick } of all.values()) {
      if (!sick || this.fleet.gone.has(host)) continue;
      const since = this.sickSince.get(host) ?? now;
      this.sickSince.set(host, since);
      if (now - since >= SICK_PATIENCE_MS && this.book.countOn(host) === 0) list.push(host);
    }
    return list;
  }

  private idle(): string[] {
    const now = this.clock.now();
    const list: string[] = [];
    const open = this.fleet.open();
    let total = 0;
    let free = 0;
    const rooms = this.planner.rooms(open);
    for (const machine of open) {
      total += this.fleet.catalog.get(machine.flavor)!.cpus;
      free += Math.max(0, rooms.get(machine.host)!.cpus);
    }
    for (const machine of open) {
      if (this.book.countOn(machine.host) > 0) {
        this.idleSince.delete(machine.host);
        continue;
      }
      const since = this.idleSince.get(machine.host) ?? now;
      this.idleSince.set(machine.host, since);
      const cpus = this.fleet.catalog.get(machine.flavor)!.cpus;
      // Hysteresis: rented below one reserve, given back only above twice as much.
      if (now - since < IDLE_RETURN_MS || belowReserve((free - cpus) / 2, total - cpus)) continue;
      free -= cpus;
      total -= cpus;
      list.push(machine.host);
    }
    return list;
  }

  /** Tasks that can save are stopped in time on machines that the cloud will take; sick machines are emptied. */
  private stopOnWarned(all: ReadonlyMap<string, MachineInfo>): void {
    const now = this.clock.now();
    for (const machine of all.values()) {
      if (machine.warnedUntil === null) continue;
      for (const place of [...this.book.placesOn(machine.host)]) {
        const spec = this.book.jobs.get(place.ref)?.record.spec;
        if (
          spec === undefined ||
          this.stopper.isStopping(place) ||
          (spec.Shape === 'array' && spec.SnapshotEveryS === 0)
        )
          continue;
        const left = (machine.warnedUntil - now) / 1000;
        this.stopper.stop(place, spec, left > spec.SnapshotS ? spec.SnapshotS : 0, 'notice');
      }
    }
  }
}
