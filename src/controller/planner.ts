import {
  BEGIN_WITHIN_MS,
  MAX_PLAN_REST_MS,
  MAX_PLAN_TASKS,
  MAX_UNPLACED,
  PLAN_REST_LEAST,
  PLAN_GATHER_MS,
  PLAN_GLANCE,
  PLAN_TICK_MS,
  RATIO_WEIGHT,
  RETRY_BASE_MS,
  RETRY_MAX_MS,
  URGENT_WORK_SHARE,
  WORK_SHARE,
} from '../constants.js';
import type { Settings, Team, Tuning } from '../config/settings.js';
import type { Book, JobView } from '../ledger/book.js';
import { startShard } from '../ledger/edits.js';
import { chunkPrefix, runnableSince, shardName, type JobSpec, type TeamRecord } from '../ledger/records.js';
import type { TeamAccounting } from '../ledger/team-accounting.js';
import { isWithin, quotaAllows, takeRoom, type Room } from '../ledger/rules.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import { Priority } from '../net/token-bucket.js';
import {
  before,
  isFeasible,
  startByOf,
  startPriority,
  targetsOf,
  withinGuarantee,
  type Candidate,
} from '../placement/queue.js';
import { roomOfFlavor } from '../placement/renting.js';
import type { Committer } from '../state/committer.js';
import type { Draft } from '../state/draft.js';
import { LEADER, partitionRole, type Claims } from './claims.js';
import type { Fleet, MachineInfo } from './fleet.js';
import { GangAttempts } from './gang-attempts.js';
import type { Log } from './log.js';
import { isLarge, Placer, type Waiting } from './placer.js';
import { Pools, type Pool } from './pools.js';

interface Flight {
  host: string;
  site: string;
  spec: JobSpec;
}

interface Choice {
  waiting: Waiting;
  machine: MachineInfo;
  attempt: number;
}

export interface PlannerDependencies {
  settings: Settings;
  tuning: Tuning;
  claims: Claims;
  book: Book;
  fleet: Fleet;
  committer: Committer;
  accounting: TeamAccounting;
  clock: Clock;
  random: Random;
  log: Log;
}

/** Finds places for waiting tasks: an owner for small jobs of its partitions, the leader for the rest. */
export class Planner {
  private readonly settings: Settings;
  private readonly claims: Claims;
  private readonly book: Book;
  private readonly fleet: Fleet;
  private readonly committer: Committer;
  private readonly accounting: TeamAccounting;
  private readonly clock: Clock;
  private readonly log: Log;
  private readonly flights = new Map<string, Flight>();
  /** The flying shards of each job. */
  private readonly flying = new Map<string, Set<number>>();
  /** Run time over estimate, by class. */
  private readonly ratios = new Map<string, number>();
  private readonly gangs: GangAttempts;
  private readonly failures = new Map<string, { fails: number; until: number }>();
  private readonly teams: Map<string, Team>;
  private readonly placer: Placer;
  private signal: AbortSignal | undefined;
  /** Steady ms of the next plan. */
  private nextAt = Infinity;
  /** Steady ms before which no other plan is made, or none for work that may wait. */
  private urgentRestUntil = -Infinity;
  private restUntil = -Infinity;
  /** What found no place in the leader's last round: what machines are rented and tasks preempted for. */
  unplaced: Waiting[] = [];

  constructor({
    settings,
    tuning,
    claims,
    book,
    fleet,
    committer,
    accounting,
    clock,
    random,
    log,
  }: PlannerDependencies) {
    this.settings = settings;
    this.claims = claims;
    this.book = book;
    this.fleet = fleet;
    this.committer = committer;
    this.accounting = accounting;
    this.clock = clock;
    this.log = log;
    this.teams = new Map(settings.cluster.teams.map((team) => [team.name, team]));
    this.gangs = new GangAttempts({ workers: settings.cluster.workers, fleet, clock });
    this.placer = new Placer(tuning, book, fleet, clock, random);
  }

  /** The machine that a moved task was matched to. */
  prefer(name: string, host: string): void {
    this.placer.prefer(name, host);
  }

  /** A task has run to its end: estimates of a class are often wrong all in the same direction. */
  learn(spec: JobSpec, ranS: number): void {
    if (spec.GuessS <= 0) return;
    const old = this.ratios.get(spec.Jobclass) ?? 1;
    this.ratios.set(spec.Jobclass, old + RATIO_WEIGHT * (Math.min(ranS / spec.GuessS, 4) - old));
  }

  /** A job has another rank: its starts that wait for their turn follow. */
  urgencyChanged(ref: string): void {
    const spec = this.book.jobs.get(ref)?.record.spec;
    if (spec === undefined || startPriority(spec) !== Priority.start || !this.flying.has(ref)) return;
    this.committer.promote((key) => key.startsWith(chunkPrefix(ref)), Priority.background, Priority.start);
  }

  /** Something has changed: plan soon. */
  poke(urgent = false): void {
    if (this.signal === undefined || this.signal.aborted) return;
    const now = this.clock.now();
    const at = Math.max(now + PLAN_GATHER_MS, urgent ? this.urgentRestUntil : this.restUntil);
    if (at >= this.nextAt) return;
    this.nextAt = at;
    void this.clock.sleep(at - now, this.signal).then(() => {
      // An earlier plan has taken this one's place.
      if (this.nextAt !== at || this.signal?.aborted !== false) return;
      this.nextAt = Infinity;
      this.round();
    });
  }

  /** Free room of each machine: what its type has, less what the ledger and flying starts take. */
  rooms(machines: Iterable<MachineInfo>): Map<string, Room> {
    const rooms = new Map<string, Room>();
    for (const machine of machines) {
      const flavor = this.fleet.catalog.get(machine.flavor);
      if (flavor === undefined) continue;
      const room = roomOfFlavor(flavor);
      const taken = this.book.takenOn(machine.host);
      if (taken !== undefined) {
        room.cpus -= taken.cpus;
        room.cards -= taken.cards;
        room.memGb -= taken.memGb;
      }
      rooms.set(machine.host, room);
    }
    for (const flight of this.flights.values()) {
      const room = rooms.get(flight.host);
      if (room !== undefined) takeRoom(room, flight.spec);
    }
    return rooms;
  }

  /** Each team's use, as the book and the flying starts have it. */
  uses(): Map<string, TeamRecord> {
    const uses = new Map<string, TeamRecord>();
    for (const [team, use] of this.book.uses) uses.set(team, { ...use });
    for (const { spec } of this.flights.values()) {
      const use = uses.get(spec.Owner) ?? { cpus: 0, cards: 0 };
      uses.set(spec.Owner, { cpus: use.cpus + spec.Cpus, cards: use.cards + spec.Cards });
    }
    return uses;
  }

  private pausedUntil(name: string, slot: Waiting['slot'], now: number): number {
    const known = this.failures.get(name);
    if (known?.fails === slot.fails) return known.until;
    const until = now + Math.min(RETRY_MAX_MS, RETRY_BASE_MS * 2 ** (slot.fails - 1));
    this.failures.set(name, { fails: slot.fails, until });
    return until;
  }

  /** The waiting shards of a job, in order; for a gang all or none. */
  waiting(view: JobView, most = MAX_PLAN_TASKS): Waiting[] {
    const { spec, phase } = view.record;
    if (phase !== 'active' || view.done + view.placed === spec.Shards) return [];
    const now = this.clock.now();
    const list: Waiting[] = [];
    const flying = this.flying.get(view.ref);
    const gang = spec.Shape === 'ensemble';
    for (const shard of view.queued) {
      if (list.length >= most && !gang) break;
      const slot = view.slot(shard);
      const open = slot.kind === 'queued' && flying?.has(shard) !== true;
      if (!open || (slot.fails > 0 && this.pausedUntil(shardName(view.ref, shard), slot, now) > now)) {
        if (gang) return [];
        continue;
      }
      list.push({ view, shard, slot });
    }
    return list;
  }

  private candidates(): Candidate[] {
    const uses = this.uses();
    const list: Candidate[] = [];
    const now = this.clock.wall();
    for (const view of this.book.jobs.values()) {
      const { spec, phase } = view.record;
      // A gang that is whole again has forgotten its last loss: the next one is told from it.
      if (view.done + view.placed === spec.Shards) this.gangs.forget(view.ref);
      if (phase !== 'active' || view.done + view.placed === spec.Shards) continue;
      const team = this.teams.get(spec.Owner);
      if (team === undefined) continue;
      const use = uses.get(spec.Owner) ?? { cpus: 0, cards: 0 };
      const open = spec.Shards - view.done - view.placed;
      const needS = spec.GuessS * (this.ratios.get(spec.Jobclass) ?? 1);
      list.push({
        record: view.record,
        guaranteed: withinGuarantee(team, use, spec),
        feasible: isFeasible(targetsOf(view.record, this.settings.cluster.objectives), needS, now),
        work: open * spec.Cpus * needS,
        overdue: spec.Shape === 'array' && open === spec.Shards && now - runnableSince(view.record) > BEGIN_WITHIN_MS,
        startBy: startByOf(view.record, view.finishBy, needS),
      });
    }
    return list.sort(before);
  }

  private plan(): void {
    const leader = this.claims.isLeader;
    const partitions = new Set(this.claims.ownedPartitions());
    if (!this.claims.inTouch || (!leader && partitions.size === 0) || this.fleet.catalog.size === 0) return;
    const candidates = this.candidates();
    if (candidates.length === 0) {
      this.unplaced = [];
      return;
    }
    const machines = this.fleet.open();
    const rooms = this.rooms(machines);
    const uses = this.uses();
    const pools = new Pools(machines, (host) => this.claims.partitionOf(host));
    const unplaced: Waiting[] = [];
    this.placer.begin();
    for (const { record, overdue } of candidates) {
      const { spec } = record;
      const partition = this.claims.partitionOf(spec.Ref);
      const large = isLarge(spec);
      const pool = large ? pools.allowed(spec) : undefined;
      const split = large ? undefined : pools.split(spec, partition);
      // A full cluster is the usual case under load: only the leader needs to know who waits there.
      const full = pool?.isFull(spec) ?? (split!.near.isFull(spec) && split!.far.isFull(spec));
      if (full && !leader) continue;
      // Behind so many that wait already, a look at a few tells whether the job's tasks still fit somewhere.
      const whole = !overdue && (unplaced.length < MAX_UNPLACED || large);
      const most = whole ? MAX_PLAN_TASKS : PLAN_GLANCE;
      const waiting = this.waiting(this.book.jobs.get(spec.Ref)!, most);
      if (waiting.length === 0) continue;
      // Every node makes the whole plan and commits only what is its own: so it keeps the room that others will take, and
      // what is freed for a service does not go to the next batch task.
      if (pool !== undefined) {
        this.place(waiting, pool, rooms, uses, leader ? LEADER : undefined, unplaced);
        continue;
      }
      const { near, far } = split!;
      const left: Waiting[] = [];
      this.place(waiting, near, rooms, uses, partitions.has(partition) ? partitionRole(partition) : undefined, left);
      this.place(left, far, rooms, uses, leader ? LEADER : undefined, unplaced);
    }
    if (leader) this.unplaced = unplaced;
  }

  /**
   * Matches one job's waiting tasks to machines and commits what was found, or without a role only takes the room; the
   * rest is added to `left`.
   */
  private place(
    waiting: Waiting[],
    pool: Pool,
    rooms: Map<string, Room>,
    uses: Map<string, TeamRecord>,
    role: string | undefined,
    left: Waiting[],
  ): void {
    if (waiting.length === 0) return;
    const { view } = waiting[0]!;
    const { spec } = view.record;
    const team = this.teams.get(spec.Owner)!;
    const use = uses.get(spec.Owner) ?? { cpus: 0, cards: 0 };
    uses.set(spec.Owner, use);
    const gang = spec.Shape === 'ensemble';
    const attempt = gang ? this.gangs.attemptFor(view) : undefined;
    if (gang && attempt === undefined) return;
    // What the team's limit leaves room for; waiting for that is not a lack of machines.
    let allowed = 0;
    while (allowed < waiting.length && quotaAllows(team, use, spec.Cpus * (allowed + 1), spec.Cards * (allowed + 1))) {
      allowed++;
    }
    if (gang && allowed < waiting.length) return;
    const open = waiting.slice(0, allowed);
    const found = this.placer.find(open, pool, rooms, spec.Spread || spec.OneZone ? this.sitesOf(spec.Ref) : []);
    // A gang starts whole or not at all.
    if (found.size === 0 || (gang && found.size < waiting.length)) {
      left.push(...open);
      return;
    }
    const choices: Choice[] = [];
    for (const each of open) {
      const machine = found.get(shardName(view.ref, each.shard));
      if (machine === undefined) {
        left.push(each);
        continue;
      }
      choices.push({ waiting: each, machine, attempt: attempt ?? each.slot.attempt + 1 });
      takeRoom(rooms.get(machine.host)!, spec);
      use.cpus += spec.Cpus;
      use.cards += spec.Cards;
    }
    if (choices.length > 0 && role !== undefined) this.commit(view, choices, role, team, gang);
  }

  /** Zones that a job's flying starts will take. */
  private sitesOf(ref: string): string[] {
    const sites: string[] = [];
    if (!this.flying.has(ref)) return sites;
    for (const flight of this.flights.values()) {
      if (flight.spec.Ref === ref) sites.push(flight.site);
    }
    return sites;
  }

  private commit(view: JobView, choices: Choice[], role: string, team: Team, whole: boolean): void {
    // A gang starts whole or not at all, so its members share one transaction; others go by ledger chunk.
    const groups = new Map<number, Choice[]>();
    for (const choice of choices) {
      const key = whole ? 0 : Math.floor(choice.waiting.shard / view.record.chunk);
      groups.set(key, [...(groups.get(key) ?? []), choice]);
    }
    for (const group of groups.values()) {
      const names = group.map((choice) => shardName(view.ref, choice.waiting.shard));
      for (const [at, choice] of group.entries()) {
        this.flights.set(names[at]!, { host: choice.machine.host, site: choice.machine.site, spec: view.record.spec });
        const flying = this.flying.get(view.ref) ?? new Set();
        this.flying.set(view.ref, flying.add(choice.waiting.shard));
      }
      const priority = startPriority(view.record.spec);
      void this.committer
        .commit(
          'start',
          priority,
          (draft) => this.decide(draft, group, role, team, whole),
          5000,
          this.book.companyOf(view.ref, group[0]!.waiting.shard, team),
        )
        .then((outcome) => {
          const flying = this.flying.get(view.ref);
          for (const { waiting } of group) flying?.delete(waiting.shard);
          if (flying?.size === 0) this.flying.delete(view.ref);
          for (const name of names) {
            this.flights.delete(name);
            if (outcome.kind === 'done') this.placer.placed(name);
          }
          if (outcome.kind === 'done') {
            const hosts = [...new Set(group.map((choice) => choice.machine.host))];
            const warm = group.filter(({ machine }) => machine.images.includes(view.record.spec.Bundle)).length;
            this.log.debug({ job: view.ref, role, shards: names.length, warm, machines: hosts }, 'placed');
          }
          this.poke();
        });
    }
  }

  /**
   * Has the machine still room for all that flies there? A start waits for its turn at the store, and in the meantime another
   * node may have filled the machine: the worker would refuse the task, which costs two more changes and closes the machine.
   */
  private hasRoom(machine: MachineInfo): boolean {
    const room = this.rooms([machine]).get(machine.host);
    return room !== undefined && isWithin(room);
  }

  private decide(draft: Draft, group: Choice[], role: string, team: Team, whole: boolean): boolean {
    if (!this.claims.require(draft, role)) return false;
    let started = 0;
    for (const { waiting, machine, attempt } of group) {
      // The machine may have begun a new session, or have gone silent, since the choice was made.
      const stale = this.fleet.tenureOf(machine.host) !== machine.tenure || !this.hasRoom(machine);
      const why = stale
        ? 'machine changed'
        : startShard(draft, this.accounting, team, waiting.view.ref, waiting.shard, machine, attempt);
      if (why === undefined) started++;
      else if (whole) return false;
    }
    return started > 0;
  }

  async run(signal: AbortSignal): Promise<void> {
    this.signal = signal;
    while (!signal.aborted) {
      await this.clock.sleep(PLAN_TICK_MS, signal);
      this.poke();
    }
  }

  private round(): void {
    const began = this.clock.now();
    for (const [name, failure] of this.failures) if (began > failure.until + RETRY_MAX_MS) this.failures.delete(name);
    this.gangs.prune((ref) => this.book.jobs.has(ref));
    this.plan();
    const now = this.clock.now();
    // Changes come by the dozen a second: a plan that takes long is made more rarely, and takes them together.
    this.restUntil = now + planRestMs(now - began, WORK_SHARE);
    this.urgentRestUntil = now + planRestMs(now - began, URGENT_WORK_SHARE);
  }
}

/** ms from the end of a plan that took so long to the next, which may take a share of the time. */
export const planRestMs = (tookMs: number, share: number): number =>
  Math.max(Math.min(MAX_PLAN_REST_MS, tookMs * (1 / share - 1)), tookMs * PLAN_REST_LEAST);
