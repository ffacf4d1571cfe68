import {
  DRAIN_LOOK_MS,
  FORGET_WORKER_LEASES,
  FRESH_MS,
  TOKEN_ANNOUNCE_AGAIN_MS,
  TOKEN_ANNOUNCEMENTS_SHARE,
  MAX_TOKEN_ANNOUNCEMENTS,
  MAX_ORDERS_BYTES,
  PUSH_GATHER_MS,
  RAISE_PAUSE_MS,
  SILENT_REPORTS,
  SWEEP_MS,
} from '../constants.js';
import type { Settings } from '../config/settings.js';
import type { Book, Place } from '../ledger/book.js';
import { parseShard } from '../ledger/records.js';
import type { Proof } from '../ledger/rules.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import type { TeamAccounting } from '../ledger/team-accounting.js';
import type { Committer } from '../state/committer.js';
import type { Replica } from '../state/replica.js';
import { sendCommands, type CommandResult } from '../workers/commands.js';
import {
  attemptOf,
  findProof,
  keyOf,
  nameOfPlace,
  reconcile,
  type Desired,
  type Free,
  type Plan,
  type Rights,
} from '../workers/reconcile.js';
import { encodeOrder, type Order, type Report } from '../workers/report.js';
import { leaseOverAt, reportLateMs, Worker } from '../workers/worker.js';
import { holdOverMs, partitionRole, type Claims, type Held } from './claims.js';
import { ExitRecorder, type ExitListener } from './exit-recorder.js';
import type { Log } from './log.js';
import { MisdirectedWorkers } from './misdirected-workers.js';
import { Stragglers } from './stragglers.js';
import { WorkerRegistry } from './worker-registry.js';

export type HelloAnswer =
  | { status: 200; body: { Fence: number; Orders: unknown[] } }
  | { status: 421; body: { Steward?: string }; again: boolean }
  | { status: 503; body: { error: string } };

/** What an owner asks of its surroundings, and where it tells of checks and exits. */
export interface OwnerEvents extends ExitListener {
  /** A worker of the role's partition is being answered. */
  answered(role: string): void;
  /** A report was heard: one check of each service task on the machine. */
  checked(report: Report): void;
  /** Has the cloud confirmed that the machine is gone? */
  isGone(host: string): boolean;
  /** Is a report of that session and Tick older than what anybody is known to have heard of the machine? */
  isLate(report: Report): boolean;
  /** Images that the machine's last owner knew to be there. */
  knownImages(host: string): readonly string[];
  /** GB of images that a machine of the type keeps. */
  cacheGb(flavor: string): number;
}

export interface OwnerDependencies {
  settings: Settings;
  claims: Claims;
  replica: Replica;
  book: Book;
  committer: Committer;
  accounting: TeamAccounting;
  http: HttpClient;
  clock: Clock;
  events: OwnerEvents;
  log: Log;
}

/** The session's lease is over, as this node knows by itself. */
const leaseProof = (place: Place): Proof => ({ kind: 'lease', tenure: place.slot.tenure });

/** What an owner does for the workers of its partitions: answers reports, sends commands, records exits, proves leases over. */
export class Owner {
  readonly workers: WorkerRegistry;
  readonly misdirected = new MisdirectedWorkers();
  private readonly settings: Settings;
  private readonly claims: Claims;
  private readonly replica: Replica;
  private readonly book: Book;
  private readonly http: HttpClient;
  private readonly clock: Clock;
  private readonly events: OwnerEvents;
  private readonly log: Log;
  private readonly exits: ExitRecorder;
  private readonly stragglers: Stragglers;
  /** Steady ms of the next push to each machine. */
  private readonly pushes = new Map<string, number>();
  private announcing = 0;
  private isDraining = false;
  private readonly tokenAnnouncedAt = new Map<string, number>();
  private readonly raisedAt = new Map<string, number>();

  constructor(dependencies: OwnerDependencies) {
    const { settings, claims, replica, book, committer, http, clock, events, log } = dependencies;
    this.settings = settings;
    this.claims = claims;
    this.replica = replica;
    this.book = book;
    this.http = http;
    this.clock = clock;
    this.events = events;
    this.log = log;
    this.workers = new WorkerRegistry(claims, settings.cluster.workers);
    this.stragglers = new Stragglers(claims, book, committer, clock, log);
    this.exits = new ExitRecorder({ ...dependencies, workers: this.workers, stragglers: this.stragglers });
  }

  roleOf(host: string): string {
    return partitionRole(this.claims.partitionOf(host));
  }

  isSilent(worker: Worker, now: number): boolean {
    return now - worker.reportedAt > SILENT_REPORTS * this.settings.cluster.workers.report_s * 1000;
  }

  /** Answers a report; `door` is the node that passed it on, if one did. */
  hello(report: Report, door?: string): HelloAnswer {
    // A late copy of a machine's that is gone: it must not bring the machine back to life.
    if (this.events.isGone(report.host)) return { status: 421, body: {}, again: false };
    const role = this.roleOf(report.host);
    const held = this.claims.mayAnswer(role);
    const now = this.clock.now();
    // A worker that has seen a higher token has a new owner, of whom a node without store and peers knows nothing. Its 200
    // would be dropped, and would keep the worker here while its lease runs out.
    if (held === undefined || report.fence > held.fence) return this.turnAway(report, role, now);
    const worker = this.workers.get(report.host) ?? this.welcome(report, role);
    // A late copy was sent before the newest report that is known: its answer makes no lease any longer.
    if (worker.isLate(report)) return { status: 200, body: { Fence: held.fence, Orders: [] } };
    const newSession = report.tenure > worker.tenure && worker.tenure > 0;
    if (newSession) this.log.info({ machine: report.host, tenure: report.tenure }, 'worker began a new session');
    const desired = this.desiredOn(report.host);
    if (this.mustExpire(worker, report, held, desired, now)) return { status: 503, body: { error: 'no new token' } };
    this.events.answered(role);
    worker.noteAnswer(report, held.fence, door, reportLateMs(this.settings.cluster.workers), now);
    // A report that crossed a newer answer of `/commands` is no late copy: the worker waits for its answer.
    worker.take(report, now, true);
    this.noteImages(worker);
    this.events.checked(report);
    this.stragglers.look(worker);
    const plan = reconcile(worker, desired, this.rights(held, true));
    this.carryOut(worker, role, plan);
    return { status: 200, body: { Fence: held.fence, Orders: this.encodeAnswer(worker, plan.orders, report.tick) } };
  }

  /** A worker that is heard for the first time. */
  private welcome(report: Report, role: string): Worker {
    const worker = new Worker(report.host);
    for (const bundle of this.events.knownImages(report.host)) worker.images.set(bundle, 0);
    this.workers.add(worker);
    this.log.debug({ machine: report.host, role, tenure: report.tenure, flavor: report.flavor }, 'worker heard');
    return worker;
  }

  /** As many orders as an answer holds; the rest goes with the next one. */
  private encodeAnswer(worker: Worker, orders: readonly Order[], tick: number): unknown[] {
    const encoded: unknown[] = [];
    let bytes = 0;
    for (const order of orders) {
      const wire = encodeOrder(order);
      bytes += JSON.stringify(wire).length + 1;
      if (bytes > MAX_ORDERS_BYTES) break;
      encoded.push(wire);
      if (order.verb !== 'launch') continue;
      worker.answeredLaunches.set(keyOf(order), tick);
      this.log.debug({ machine: worker.host, shard: order.shard, attempt: order.attempt }, 'launch in answer');
    }
    return encoded;
  }

  /**
   * A launch of a cancelled task may still be on its way, and no new token has shut it out, since the store gives none. It
   * is carried out whenever it arrives, so the lease has to end instead, early enough. The cancellation may be older than
   * its first sight here by one lease (a worker not heard for longer is in a new session), the age of the copy and a delay.
   */
  private mustExpire(worker: Worker, report: Report, held: Held, desired: Map<string, Desired>, now: number): boolean {
    const isOpen = ([name, { place, withdrawn }]: [string, Desired]) => {
      const fence = worker.openCommands.get(attemptOf(place));
      const there = report.tasks.get(name)?.attempt === place.slot.attempt;
      return withdrawn && !there && fence !== undefined && fence >= Math.max(report.fence, held.fence);
    };
    // Nearly always no launch is open, and nothing is looked through.
    const any = worker.openCommands.size > 0 && report.tenure === worker.tenure && [...desired].some(isOpen);
    if (!any) {
      worker.openSince = undefined;
      return false;
    }
    worker.openSince ??= now;
    // With the store a new token is a moment away, and goes out with the next answer.
    if (this.claims.inTouch) return false;
    const { workers } = this.settings.cluster;
    return now - worker.openSince >= holdOverMs(workers) - leaseOverAt(0, workers.lease_s) - 2 * FRESH_MS;
  }

  private turnAway(report: Report, role: string, now: number): HelloAnswer {
    const owner = this.claims.ownerOf(role);
    if (owner === undefined || owner === this.settings.node) return { status: 503, body: { error: 'not entitled' } };
    // Copies of reports come late, by a lease and more: they are no sign of life, and nobody waits for their answer.
    if (this.events.isLate(report)) return { status: 421, body: { Steward: owner }, again: false };
    const again = this.misdirected.note(report, this.book.claims.get(role)?.stamp, now);
    return { status: 421, body: { Steward: owner }, again };
  }

  private rights(held: Held, inAnswer: boolean): Rights {
    // What the former owner freed, and its worker has forgotten, starts again unless it is known here.
    const mayJudge = this.replica.epoch >= held.acquisition.stamp;
    return { fence: held.fence, mayLaunch: mayJudge && this.claims.inTouch, mayJudge, inAnswer };
  }

  private desiredOn(host: string): Map<string, Desired> {
    const desired = new Map<string, Desired>();
    for (const place of this.book.placesOn(host)) desired.set(nameOfPlace(place), this.desiredAt(place));
    return desired;
  }

  private desiredAt(place: Place): Desired {
    const record = this.book.jobs.get(place.ref)?.record;
    return { place, withdrawn: record?.phase === 'withdrawn', inGang: record?.spec.Shape === 'ensemble' };
  }

  private noteImages(worker: Worker): void {
    for (const [name, task] of worker.tasks) {
      if (task.phase === 'fetching') continue;
      const ref = parseShard(name)?.ref;
      const spec = ref === undefined ? undefined : this.book.jobs.get(ref)?.record.spec;
      if (spec === undefined || (task.phase === 'exited' && task.cause !== 'done')) continue;
      if (worker.isFirstLook(`${name}#${task.attempt}`))
        worker.noteImage(spec.Bundle, spec.SizeGb, this.events.cacheGb(worker.flavor));
    }
  }

  private carryOut(worker: Worker, role: string, plan: Plan): void {
    for (const free of plan.frees) this.release(worker.host, role, free);
    if (plan.needsRaise) this.raise(role);
  }

  private release(host: string, role: string, free: Free): void {
    this.exits.record(host, role, free, () => this.proofNow(host, role, free.place));
  }

  /** Raising costs a change and a report of every worker, so it is done rarely. */
  private raise(role: string): void {
    const now = this.clock.now();
    if (now - (this.raisedAt.get(role) ?? -Infinity) < RAISE_PAUSE_MS || !this.claims.inTouch) return;
    this.raisedAt.set(role, now);
    void this.claims.raise(role);
  }

  /** The ledger of a machine has changed: tell its worker soon, without waiting for its next report. */
  push(host: string, gatherMs = PUSH_GATHER_MS): void {
    const due = this.clock.now() + gatherMs;
    if ((this.pushes.get(host) ?? Infinity) <= due) return;
    this.pushes.set(host, due);
    void this.clock.sleep(gatherMs).then(() => {
      // A push that could not wait has been quicker, or stands in for this one.
      if (this.pushes.get(host) !== due) return undefined;
      this.pushes.delete(host);
      return this.pushNow(host);
    });
  }

  private async pushNow(host: string): Promise<void> {
    const role = this.roleOf(host);
    const held = this.claims.holdingNow(role);
    const worker = this.workers.get(host);
    if (held === undefined || worker === undefined || worker.tenure === 0 || this.isDraining) return;
    if (worker.pushing) {
      worker.pushAgain = true;
      return;
    }
    const desired = this.desiredOn(host);
    const plan = reconcile(worker, desired, this.rights(held, false));
    this.carryOut(worker, role, plan);
    const orders = plan.orders.filter((order) => this.isForCommand(worker, order, desired));
    if (orders.length === 0) return;
    worker.pushing = true;
    const launches = orders.filter((order) => order.verb === 'launch').map(keyOf);
    for (const key of launches) worker.openCommands.set(key, held.fence);
    this.log.debug({ machine: host, orders: orders.map((o) => `${o.verb} ${keyOf(o)}`) }, 'commands');
    const result = await sendCommands(this.http, worker.endpoint, held.fence, worker.tenure, orders);
    worker.pushing = false;
    // The partition was lost and is back: what has been sent since is known of the new worker only, so this one judges nothing.
    if (this.workers.get(host) !== worker) return;
    this.noteCommandResult(worker, role, launches, held.fence, result);
    if (worker.pushAgain) {
      worker.pushAgain = false;
      this.push(host);
    }
  }

  /** Sends no more commands, and waits for the answers to those that are out, for so long at most. */
  async drain(withinMs: number): Promise<void> {
    this.isDraining = true;
    const until = this.clock.now() + withinMs;
    const isBusy = () => [...this.workers.values()].some((worker) => worker.pushing);
    while (isBusy() && this.clock.now() < until) await this.clock.sleep(DRAIN_LOOK_MS);
  }

  private isForCommand(worker: Worker, order: Order, desired: ReadonlyMap<string, Desired>): boolean {
    // A worker that reports by way of another node is behind a cut: commands would only hang, and may arrive late. One that
    // is silent may be dead, or can only answer.
    const isFar = !this.claims.inTouch || this.isSilent(worker, this.clock.now()) || worker.door !== undefined;
    // The kill of a cancelled task is final, so it may come whenever it can, by whatever copy knows of it.
    if (order.verb === 'kill') return !isFar || desired.get(order.shard)?.withdrawn === true;
    if (order.verb !== 'launch' || isFar) return false;
    // A launch whose arrival is open is repeated by the next report's answer, not by another command.
    const key = keyOf(order);
    return !worker.openCommands.has(key) && !worker.answeredLaunches.has(key);
  }

  private noteCommandResult(
    worker: Worker,
    role: string,
    launches: readonly string[],
    fence: number,
    result: CommandResult,
  ): void {
    if (result.kind === 'unknown') {
      this.log.info({ machine: worker.host, launches }, 'commands without an answer');
      return;
    }
    for (const key of launches) if (worker.openCommands.get(key) === fence) worker.openCommands.delete(key);
    if (result.kind === 'done') worker.noteReached();
    if (!('report' in result) || result.report?.host !== worker.host) return;
    if (!worker.take(result.report, this.clock.now(), false)) return;
    this.noteImages(worker);
    const held = this.claims.holding(role);
    if (held === undefined) return;
    this.carryOut(worker, role, reconcile(worker, this.desiredOn(worker.host), this.rights(held, false)));
  }

  private sweep(): void {
    const now = this.clock.now();
    this.misdirected.prune(now);
    for (const [host, at] of this.tokenAnnouncedAt)
      if (now - at > TOKEN_ANNOUNCE_AGAIN_MS) this.tokenAnnouncedAt.delete(host);
    this.freeDeadLeases();
    this.stragglers.relieve(this.workers.values(), (host) => this.roleOf(host));
    this.forgetSilent(now);
  }

  private freeDeadLeases(): void {
    for (const host of [...this.book.hostsInUse()]) {
      const role = this.roleOf(host);
      const held = this.claims.holding(role);
      if (held === undefined || !this.isLeaseOver(host, held)) continue;
      for (const place of [...this.book.placesOn(host)]) {
        this.release(host, role, { place, proof: leaseProof(place), ending: 'lost', task: undefined });
      }
    }
  }

  private forgetSilent(now: number): void {
    const silentMs = FORGET_WORKER_LEASES * this.settings.cluster.workers.lease_s * 1000;
    for (const { host, heardAt } of [...this.workers.values()]) {
      if (now - heardAt > silentMs && this.book.countOn(host) === 0) this.workers.forget(host);
    }
  }

  private isLeaseOver(host: string, held: Held): boolean {
    return this.claims.inTouch && this.clock.now() > this.workers.leaseOverAt(host, held);
  }

  /**
   * The proof that a place is free, by what is known at this very moment. A decision waits for its turn at the store, and what
   * proved it may not hold any more by then.
   */
  private proofNow(host: string, role: string, place: Place): Proof | undefined {
    const held = this.claims.holding(role);
    if (held === undefined) return undefined;
    const worker = this.workers.get(host);
    const shown = worker === undefined ? undefined : findProof(worker, this.desiredAt(place), held.fence);
    if (shown !== undefined) return shown.proof;
    return this.isLeaseOver(host, held) ? leaseProof(place) : undefined;
  }

  /** Pushes the fence to workers that have not been heard since the takeover, so that old commands are refused. */
  async announceToken(host: string, endpoint: string, tenure: number): Promise<void> {
    const held = this.claims.holdingNow(this.roleOf(host));
    if (held === undefined || this.workers.has(host)) return;
    // The next look comes soon, and most workers report before their turn.
    // Those that don't answer must not keep the others from theirs.
    const now = this.clock.now();
    const most = Math.max(MAX_TOKEN_ANNOUNCEMENTS, this.book.hostsInUseCount * TOKEN_ANNOUNCEMENTS_SHARE);
    if (this.announcing >= most || now - (this.tokenAnnouncedAt.get(host) ?? -Infinity) < TOKEN_ANNOUNCE_AGAIN_MS)
      return;
    this.tokenAnnouncedAt.set(host, now);
    this.announcing++;
    const result = await sendCommands(this.http, endpoint, held.fence, tenure, []);
    this.announcing--;
    const isSame = this.claims.holding(this.roleOf(host))?.acquisition === held.acquisition;
    if (!isSame || !('report' in result) || result.report?.host !== host) return;
    const worker = this.workers.get(host) ?? new Worker(host);
    if (!worker.take(result.report, this.clock.now(), false)) return;
    this.workers.add(worker);
    this.push(host);
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(SWEEP_MS, signal);
      this.sweep();
    }
  }
}
