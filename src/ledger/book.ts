import type { Team } from '../config/settings.js';
import type { Company } from '../state/committer.js';
import type { Replica, Stored } from '../state/replica.js';
import { Pipelines, type Urgency } from './pipelines.js';
import {
  chunkKey,
  chunkSize,
  decodeChunk,
  isWithoutPlaces,
  decodeHire,
  decodeJob,
  JOB_PREFIX,
  LEDGER_PREFIX,
  LIVE,
  RANKS,
  type ClaimRecord,
  type HireRecord,
  type JobRecord,
  type Placed,
  type Slot,
  type TeamRecord,
} from './records.js';
import { isLimited, round, takeRoom, zonesOf, type Room } from './rules.js';

export interface Place {
  ref: string;
  shard: number;
  slot: Placed;
}

/** A job and where its shards stand, as far as the replica knows. */
export class JobView {
  readonly chunks = new Map<number, readonly Slot[]>();
  done = 0;
  placed = 0;
  private waiting: number[] | undefined;
  private effective: JobRecord;
  /** Time of day, ms, by which the job must be complete for the sake of the jobs that need it; Infinity: no matter. */
  finishBy = Infinity;
  private inheritedRank = RANKS.length;

  constructor(
    readonly ref: string,
    private stored: JobRecord,
  ) {
    this.effective = stored;
  }

  /** The job's record, but with the rank of the most urgent job that needs it, where that is higher than its own. */
  get record(): JobRecord {
    return this.effective;
  }

  /** Takes in a new record of the job. */
  store(record: JobRecord): void {
    this.stored = record;
    this.raise();
  }

  /** Takes in what the jobs that need this one ask of it. */
  inherit({ rank, finishBy }: Urgency): void {
    this.finishBy = finishBy;
    this.inheritedRank = rank;
    this.raise();
  }

  private raise(): void {
    const { spec } = this.stored;
    const isRaised = this.inheritedRank < RANKS.indexOf(spec.Rank);
    this.effective = isRaised ? { ...this.stored, spec: { ...spec, Rank: RANKS[this.inheritedRank]! } } : this.stored;
  }

  slot(shard: number): Slot {
    const chunk = this.chunks.get(Math.floor(shard / this.record.chunk));
    return chunk?.[shard % this.record.chunk] ?? { kind: 'queued', attempt: 0, fails: 0 };
  }

  /** The shards that wait for a place, in order; listed anew only when the ledger has changed. */
  get queued(): readonly number[] {
    if (this.waiting === undefined) {
      this.waiting = [];
      const { chunk, spec } = this.record;
      for (let first = 0; first < spec.Shards; first += chunk) {
        const slots = this.chunks.get(first / chunk);
        const size = Math.min(chunk, spec.Shards - first);
        for (let at = 0; at < size; at++) {
          if (slots === undefined || slots[at]!.kind === 'queued') this.waiting.push(first + at);
        }
      }
    }
    return this.waiting;
  }

  /** The ledger has changed. */
  changed(): void {
    this.waiting = undefined;
  }

  /** All slots that were ever placed, with their numbers. */
  *known(): Generator<[number, Slot]> {
    for (const [index, slots] of this.chunks) {
      for (const [at, slot] of slots.entries()) yield [index * this.record.chunk + at, slot];
    }
  }

  /** Tasks of the job in each zone, where a rule asks for them; else nobody looks through them. */
  get zones(): Map<string, number> {
    const { Spread, OneZone } = this.record.spec;
    return zonesOf(Spread || OneZone ? [...this.known()].map(([, slot]) => slot) : []);
  }

  /** A gang completes together: what was lost before the others' end was recorded has ended with them. */
  get complete(): boolean {
    const { Shape, Shards } = this.record.spec;
    return this.done === Shards || (Shape === 'ensemble' && this.done > 0 && this.placed === 0);
  }
}

export interface BookListener {
  /** Something about a job has changed, or of its ledger these shards. */
  job?(ref: string, shards?: readonly number[]): void;
  /** A job has another rank or deadline for the sake of those that need it. */
  urgency?(ref: string): void;
  claim?(role: string): void;
  corrupt?(key: string, error: unknown): void;
}

const CLAIM = `${LIVE}claim/`;
const HIRE = `${LIVE}hire/`;

/** The replica's records, read and indexed: jobs, places by machine, claims. */
export class Book {
  readonly jobs = new Map<string, JobView>();
  /** Which jobs wait for which others. */
  readonly pipelines = new Pipelines((ref, urgency) => this.inherit(ref, urgency));
  readonly claims = new Map<string, { record: ClaimRecord; stamp: number }>();
  /** Rentals that are not over. */
  readonly hires = new Map<string, HireRecord>();
  private readonly hosts = new Map<string, Map<string, Place>>();
  /** Room that each machine's places take, and each team's use, kept up with every change instead of summed anew. */
  private readonly taken = new Map<string, Room>();
  private readonly teams = new Map<string, TeamRecord>();
  private readonly orphans = new Map<string, Map<number, unknown>>();
  private readonly unreadable = new Set<string>();

  constructor(
    private readonly replica: Replica,
    private readonly listener: BookListener,
  ) {
    replica.onChange((key, now) => this.take(key, now));
  }

  private inherit(ref: string, urgency: Urgency): void {
    const view = this.jobs.get(ref);
    if (view === undefined) return;
    view.inherit(urgency);
    this.listener.urgency?.(ref);
  }

  /** Places that the ledger gives to a machine, whatever its session. */
  placesOn(host: string): Iterable<Place> {
    return this.hosts.get(host)?.values() ?? [];
  }

  /** Room that the ledger gives away on a machine. */
  takenOn(host: string): Readonly<Room> | undefined {
    return this.taken.get(host);
  }

  /** What each team's places use together. */
  get uses(): ReadonlyMap<string, Readonly<TeamRecord>> {
    return this.teams;
  }

  /**
   * What a team's places use, if the copy holds all that happened up to the revision and all of it can be read; it may count
   * places that are free by now, and misses none.
   */
  placedUse(team: string, upTo: number): Readonly<TeamRecord> | undefined {
    const isWhole = this.replica.epoch >= upTo && this.unreadable.size === 0 && !this.hasPlacesWithoutJob();
    return isWhole ? (this.teams.get(team) ?? { cpus: 0, cards: 0 }) : undefined;
  }

  private hasPlacesWithoutJob(): boolean {
    for (const chunks of this.orphans.values()) {
      for (const chunk of chunks.values()) if (!isWithoutPlaces(chunk)) return true;
    }
    return false;
  }

  /** The record that holds a shard's place, and that of its team, should its start or exit change one. */
  companyOf(ref: string, shard: number, team?: Team): Company | undefined {
    const view = this.jobs.get(ref);
    if (view === undefined) return undefined;
    const counts = team !== undefined && isLimited(team, view.record.spec);
    return { key: chunkKey(ref, Math.floor(shard / view.record.chunk)), shared: counts ? team.name : undefined };
  }

  countOn(host: string): number {
    return this.hosts.get(host)?.size ?? 0;
  }

  get hostsInUseCount(): number {
    return this.hosts.size;
  }

  *hostsInUse(): Iterable<string> {
    yield* this.hosts.keys();
  }

  /** Ledger chunks of jobs that are over: what the transaction of the end had no room for. */
  *leftChunks(): Iterable<{ ref: string; chunks: number[] }> {
    for (const [ref, chunks] of this.orphans)
      if (!this.unreadable.has(`${JOB_PREFIX}${ref}`)) yield { ref, chunks: [...chunks.keys()] };
  }

  private take(key: string, now: Stored): void {
    try {
      if (key.startsWith(JOB_PREFIX)) this.takeJob(key.slice(JOB_PREFIX.length), now.value);
      else if (key.startsWith(LEDGER_PREFIX)) this.takeChunk(key.slice(LEDGER_PREFIX.length), now.value);
      else if (key.startsWith(CLAIM)) this.takeClaim(key.slice(CLAIM.length), now);
      else if (key.startsWith(HIRE)) this.takeHire(key.slice(HIRE.length), now.value);
      this.unreadable.delete(key);
    } catch (error) {
      // Refuse to act on what can't be read: the job stays out of the book, and its places stay taken in the store.
      this.unreadable.add(key);
      this.listener.corrupt?.(key, error);
    }
  }

  private takeHire(name: string, value: unknown): void {
    if (value === undefined) this.hires.delete(name);
    else this.hires.set(name, decodeHire(value));
  }

  private takeClaim(role: string, now: Stored): void {
    if (now.value === undefined) this.claims.delete(role);
    else this.claims.set(role, { record: now.value as ClaimRecord, stamp: now.stamp });
    this.listener.claim?.(role);
  }

  private takeJob(ref: string, value: unknown): void {
    const old = this.jobs.get(ref);
    if (value === undefined) {
      if (old === undefined) return;
      const left = new Map<number, unknown>();
      for (const index of [...old.chunks.keys()]) {
        this.setChunk(old, index, undefined);
        left.set(index, this.replica.get(chunkKey(ref, index)).value);
      }
      if (left.size > 0) this.orphans.set(ref, left);
      this.jobs.delete(ref);
      this.pipelines.update(ref, undefined);
    } else if (old !== undefined) {
      const record = decodeJob(value);
      old.store(record);
      this.pipelines.update(ref, record);
    } else {
      const record = decodeJob(value);
      const view = new JobView(ref, record);
      this.jobs.set(ref, view);
      view.inherit(this.pipelines.urgencyOf(ref));
      this.pipelines.update(ref, record);
      // Pages and news may bring a ledger before its job.
      for (const [index, chunk] of this.orphans.get(ref) ?? []) {
        this.setChunk(view, index, decodeChunk(chunk, chunkSize(view.record, index)));
      }
      this.orphans.delete(ref);
    }
    this.listener.job?.(ref);
  }

  private takeChunk(rest: string, value: unknown): void {
    const slash = rest.lastIndexOf('/');
    const ref = rest.slice(0, slash);
    const index = Number(rest.slice(slash + 1));
    const view = this.jobs.get(ref);
    if (view === undefined) {
      const waiting = this.orphans.get(ref) ?? new Map<number, unknown>();
      if (value === undefined) waiting.delete(index);
      else waiting.set(index, value);
      if (waiting.size > 0) this.orphans.set(ref, waiting);
      else this.orphans.delete(ref);
      return;
    }
    const before = view.chunks.get(index);
    const slots = value === undefined ? undefined : decodeChunk(value, chunkSize(view.record, index), before);
    this.listener.job?.(ref, this.setChunk(view, index, slots));
  }

  /** Takes in a chunk, slot by slot: most of it stays as it was, whatever its size. Returns the shards that did not. */
  private setChunk(view: JobView, index: number, slots: readonly Slot[] | undefined): number[] {
    const changed: number[] = [];
    view.changed();
    const first = index * view.record.chunk;
    const before = view.chunks.get(index);
    for (let at = 0; at < Math.max(before?.length ?? 0, slots?.length ?? 0); at++) {
      const old = before?.[at];
      const now = slots?.[at];
      if (old === now) continue;
      changed.push(first + at);
      if (old?.kind === 'done') view.done--;
      if (now?.kind === 'done') view.done++;
      if (old?.kind === 'placed') {
        if (now?.kind === 'placed' && now.host === old.host) {
          this.hosts.get(old.host)!.set(`${view.ref}/${first + at}`, { ref: view.ref, shard: first + at, slot: now });
          continue;
        }
        this.unplace(view, first + at, old.host);
      }
      if (now?.kind === 'placed') this.place(view, first + at, now);
    }
    if (slots === undefined) view.chunks.delete(index);
    else view.chunks.set(index, slots);
    return changed;
  }

  private place(view: JobView, shard: number, slot: Placed): void {
    view.placed++;
    let places = this.hosts.get(slot.host);
    if (places === undefined) this.hosts.set(slot.host, (places = new Map<string, Place>()));
    places.set(`${view.ref}/${shard}`, { ref: view.ref, shard, slot });
    this.count(view, slot.host, 1);
  }

  private unplace(view: JobView, shard: number, host: string): void {
    view.placed--;
    const places = this.hosts.get(host)!;
    places.delete(`${view.ref}/${shard}`);
    this.count(view, host, -1);
    if (places.size > 0) return;
    this.hosts.delete(host);
    this.taken.delete(host);
  }

  private count(view: JobView, host: string, tasks: 1 | -1): void {
    const { spec } = view.record;
    let room = this.taken.get(host);
    if (room === undefined) this.taken.set(host, (room = { cpus: 0, cards: 0, memGb: 0 }));
    takeRoom(room, spec, -tasks);
    const use = this.teams.get(spec.Owner) ?? { cpus: 0, cards: 0 };
    this.teams.set(spec.Owner, {
      cpus: round(use.cpus + tasks * spec.Cpus),
      cards: round(use.cards + tasks * spec.Cards),
    });
  }
}
