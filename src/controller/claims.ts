import {
  FRESH_MS,
  HEARTBEAT_MS,
  HOLD_TTL_MS,
  HOLDOVER_MARGIN_MS,
  CLOCK_DRIFT,
  ORPHAN_WAIT_MS,
  START_GRACE_MS,
  SUCCESSOR_HEAD_START_MS,
} from '../constants.js';
import type { Settings } from '../config/settings.js';
import type { Book } from '../ledger/book.js';
import { claimKey, type ClaimRecord } from '../ledger/records.js';
import type { StateClient } from '../state/client.js';
import type { Committer } from '../state/committer.js';
import type { Draft } from '../state/draft.js';
import type { Replica } from '../state/replica.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import { Priority } from '../net/token-bucket.js';
import type { Log } from './log.js';

export const LEADER = 'leader';
const PARTITION_PREFIX = 'part-';
export const partitionRole = (partition: number): string => `${PARTITION_PREFIX}${partition}`;
/** The partition of a role; undefined for the leadership. */
export const partitionOfRole = (role: string): number | undefined =>
  role === LEADER ? undefined : Number(role.slice(PARTITION_PREFIX.length));

/** FNV-1a: spreads machines and jobs over partitions, the same in every node. */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), 0x01000193);
  // FNV's low bits alone are uneven over short names that differ in the last digit only.
  hash ^= hash >>> 15;
  return hash >>> 0;
}

/** What the peers say, as far as claims need it. */
export interface PeerWord {
  /** The peer is up and reaches the store, as of just now. */
  hasStore(node: string): boolean;
  /** A peer has the store, this node has not. */
  anyWithStore(): boolean;
}

/** ms for which an owner may go on answering after the moment as of which its copy holds all that anybody has confirmed. */
export const holdOverMs = (workers: Settings['cluster']['workers']): number =>
  Math.max(0, (workers.cancel_s - workers.lease_s) * 1000 * (1 - CLOCK_DRIFT) - HOLDOVER_MARGIN_MS);

/**
 * One stay of a role with this process, from the claim by which it came to its loss; raising the token does not end it. What
 * is known of the partition's workers is bound to this object (see worker-registry.ts).
 */
export interface Acquisition {
  /** The Stamp of the claim by which the role came: what former owners did is older. */
  readonly stamp: number;
  /** Steady ms when the role came. */
  readonly at: number;
}

/** A claim of this process, as of now. */
export interface Held {
  /** The claim's Stamp, the fencing token. */
  readonly fence: number;
  readonly acquisition: Acquisition;
}

/** What the warm standby says of roles; see standby.ts. */
export interface Succession {
  /** Who should claim the vacant role first; undefined: nobody in particular. */
  successorOf(role: string): string | undefined;
  /** The process has not stood still since the store last confirmed its hold: now, and as of the last look, which costs less. */
  readonly isConfirmed: boolean;
  readonly wasConfirmed: boolean;
  /** The store has confirmed the hold; `sentAt`: steady ms when it was asked. */
  confirm(sentAt: number): void;
  /** Does all hold that must before a decision in a role that is held? */
  isReady(role: string, held: Held): boolean;
  /** The same, of a decision that is being taken. */
  mayDecide(role: string, held: Held): boolean;
  /** The role is this process's from now on. */
  claimed(role: string): void;
}

const NO_SUCCESSION: Succession = {
  successorOf: () => undefined,
  isConfirmed: true,
  wasConfirmed: true,
  confirm: () => undefined,
  isReady: () => true,
  mayDecide: () => true,
  claimed: () => undefined,
};

export interface ClaimsDependencies {
  settings: Settings;
  client: StateClient;
  replica: Replica;
  book: Book;
  committer: Committer;
  peers: PeerWord;
  coverage: { asOf(): number };
  clock: Clock;
  random: Random;
  log: Log;
}

/** Holds and claims: which partitions this node owns, and whether it may act on them right now. */
export class Claims {
  private latch: number | undefined;
  private readonly held = new Map<string, Held>();
  private readonly orphanSince = new Map<string, number>();
  private readonly avoidUntil = new Map<string, number>();
  /** Roles that somebody has held since this process read the records. */
  private readonly seenClaimed = new Set<string>();
  private readonly taking = new Set<string>();
  private readonly ceding = new Set<string>();
  private isLeaving = false;
  private readonly holdOver: number;
  readonly partitionCount: number;
  readonly home: number;

  /** Who succeeds whom, and what must hold before a decision; without it, as if nothing stood in the way. */
  succession: Succession = NO_SUCCESSION;
  private readonly settings: Settings;
  private readonly client: StateClient;
  private readonly replica: Replica;
  private readonly book: Book;
  private readonly committer: Committer;
  private readonly peers: PeerWord;
  private readonly coverage: { asOf(): number };
  private readonly clock: Clock;
  private readonly random: Random;
  private readonly log: Log;

  constructor(dependencies: ClaimsDependencies) {
    const { settings, client, replica, book, committer, peers, coverage, clock, random, log } = dependencies;
    this.settings = settings;
    this.client = client;
    this.replica = replica;
    this.book = book;
    this.committer = committer;
    this.peers = peers;
    this.coverage = coverage;
    this.clock = clock;
    this.random = random;
    this.log = log;
    this.partitionCount = settings.cluster.size;
    this.holdOver = holdOverMs(settings.cluster.workers);
    this.home = this.homes().indexOf(settings.node) % this.partitionCount;
  }

  private homes(): string[] {
    return [this.settings.node, ...this.settings.peers.map((peer) => peer.node)].sort();
  }

  homeOf(partition: number): string {
    const nodes = this.homes();
    return nodes[partition % nodes.length]!;
  }

  partitionOf(name: string): number {
    return hashText(name) % this.partitionCount;
  }

  /** The hold that this process's claims live on, as far as it knows. */
  get hold(): number | undefined {
    return this.latch;
  }

  ownerOf(role: string): string | undefined {
    return this.book.claims.get(role)?.record.node;
  }

  /** The claim on a role, if this very process holds it as far as it knows. */
  holding(role: string): Held | undefined {
    // After a long pause somebody else may hold it, whatever this copy says.
    if (this.ceding.has(role) || !this.succession.wasConfirmed) return undefined;
    const held = this.held.get(role);
    const claim = this.book.claims.get(role);
    if (held === undefined || claim === undefined) return undefined;
    return claim.record.latch === this.latch && claim.stamp === held.fence ? held : undefined;
  }

  /** The same, for whoever is about to send something: also after a pause that no timer has noticed yet. */
  holdingNow(role: string): Held | undefined {
    return this.succession.isConfirmed ? this.holding(role) : undefined;
  }

  /**
   * The acquisition of a role that this process has not seen lost. Unlike `holding`, it goes on while a raised token is known
   * from the watch before the answer to the raise has come, and while a handover waits: in such spells nobody may answer or
   * decide, but what is known of the workers stays known.
   */
  acquisition(role: string): Acquisition | undefined {
    const claim = this.book.claims.get(role);
    if (claim === undefined || claim.record.latch !== this.latch) return undefined;
    return this.held.get(role)?.acquisition;
  }

  /** In touch with the store: decisions and new starts are allowed. */
  get inTouch(): boolean {
    return this.clock.now() - this.replica.freshAt < FRESH_MS;
  }

  /** May this node answer for the part's workers, and so keep their leases alive? */
  mayAnswer(role: string): Held | undefined {
    const held = this.holdingNow(role);
    if (held === undefined) return undefined;
    if (this.inTouch) return held;
    // Whoever has the store will take over: workers that are turned away are with it the sooner.
    if (this.peers.anyWithStore()) return undefined;
    // A cancellation that this copy does not hold was confirmed later than that: see "Time" in docs/design.md.
    return this.clock.now() < this.coverage.asOf() + this.holdOver ? held : undefined;
  }

  ownedPartitions(): number[] {
    return Array.from({ length: this.partitionCount }, (_, partition) => partition).filter((partition) =>
      this.holding(partitionRole(partition)),
    );
  }

  get isLeader(): boolean {
    const held = this.holdingNow(LEADER);
    return held !== undefined && this.inTouch && this.succession.isReady(LEADER, held);
  }

  /** Makes the claim a condition of a transaction. */
  require(draft: Draft, role: string): boolean {
    const held = this.holdingNow(role);
    if (held === undefined || !this.succession.mayDecide(role, held)) return false;
    draft.get(claimKey(role));
    return draft.conditions.get(claimKey(role)) === held.fence;
  }

  avoided(): string[] {
    if (this.isLeaving) return this.roles();
    const now = this.clock.now();
    return [...this.avoidUntil].filter(([, until]) => until > now).map(([role]) => role);
  }

  /** All roles, the most wanted first. */
  private roles(): string[] {
    const others = Array.from({ length: this.partitionCount }, (_, partition) => partition);
    const rest = others.filter((partition) => partition !== this.home).map(partitionRole);
    return [partitionRole(this.home), LEADER, ...rest];
  }

  /** From now on no role is taken, and peers are told so. */
  leave(): void {
    this.isLeaving = true;
  }

  /** Gives all roles up; a role that the store does not take back in time ends with the hold. */
  async cedeAll(why: string): Promise<void> {
    const held = this.roles().filter((role) => this.holding(role) !== undefined);
    await Promise.all(held.map((role) => this.cede(role, why, Infinity)));
  }

  /** A new Stamp for a claim that is held: late commands under the old one are refused from then on. */
  async raise(role: string): Promise<void> {
    const held = this.holding(role);
    if (held !== undefined) await this.take(role, true, held);
  }

  /** Gives a role up, for a node that should have it or can do better. Answers stop before the claim goes. */
  async cede(role: string, why: string, avoidMs: number): Promise<void> {
    if (this.holding(role) === undefined) return;
    this.ceding.add(role);
    // Set before the claim goes, or this node would be the first to take the role again.
    this.avoidUntil.set(role, this.clock.now() + avoidMs);
    this.log.info({ role, why }, 'role ceded');
    const outcome = await this.committer.commit(
      'cede',
      Priority.hold,
      (draft) => {
        const value = draft.get(claimKey(role)) as ClaimRecord | undefined;
        if (value === undefined || value.latch !== this.latch) return false;
        draft.drop(claimKey(role));
        return true;
      },
      HOLD_TTL_MS,
    );
    this.ceding.delete(role);
    // As long as the claim stands nobody else can answer: in an outage the tasks would die of waiting for the handover.
    if (outcome.kind !== 'expired') this.held.delete(role);
  }

  /** `mine`: the claim is this process's already, else nobody's or a former life's; `before`: as which it is held. */
  private async take(role: string, mine: boolean, before?: Held): Promise<void> {
    const latch = this.latch;
    if (latch === undefined || this.taking.has(role)) return;
    this.taking.add(role);
    const outcome = await this.committer.commit(
      'claim',
      Priority.hold,
      (draft) => {
        const now = draft.get(claimKey(role)) as ClaimRecord | undefined;
        // A claim of this node's former life may be taken at once: that process has ended.
        if (latch !== this.latch || (now !== undefined && now.node !== this.settings.node)) return false;
        if ((now?.latch === latch) !== mine) return false;
        draft.setUnderHold(claimKey(role), { node: this.settings.node, latch } satisfies ClaimRecord, latch);
        return true;
      },
      HOLD_TTL_MS,
    );
    this.taking.delete(role);
    if (outcome.kind === 'done') {
      const acquisition = before?.acquisition ?? { stamp: outcome.epoch, at: this.clock.now() };
      this.held.set(role, { fence: outcome.epoch, acquisition });
      this.log.info({ role, fence: outcome.epoch }, before === undefined ? 'role claimed' : 'fence raised');
      if (before === undefined) this.succession.claimed(role);
      // Nothing is launched before the copy is complete up to the first claim.
      if (before === undefined) void this.replica.refresh();
    }
  }

  private async beat(): Promise<void> {
    let sentAt = this.clock.now();
    const renewed = this.latch === undefined ? false : await this.client.renewHold(this.latch);
    if (!renewed) {
      if (this.latch !== undefined) this.log.info({ hold: this.latch }, 'hold is over');
      this.held.clear();
      this.latch = undefined;
      sentAt = this.clock.now();
      this.latch = await this.client.createHold(HOLD_TTL_MS);
    }
    this.succession.confirm(sentAt);
    // The watch of a busy time has told enough.
    const told = this.clock.now() - this.replica.freshAt < HEARTBEAT_MS / 2;
    if (!told && !(await this.replica.refresh())) return;
    await this.settle();
  }

  /** ms by which another node's partition is left to that node, should it come for it. */
  private courtesyMs(role: string): number {
    if (role === LEADER) return 0;
    const home = this.homeOf(partitionOfRole(role)!);
    if (this.peers.hasStore(home)) return HOLD_TTL_MS / 2;
    return this.seenClaimed.has(role) ? 0 : START_GRACE_MS;
  }

  /** Takes the roles that are this node's to take. */
  async settle(): Promise<void> {
    if (this.latch === undefined || !this.replica.loaded || !this.inTouch || !this.succession.isConfirmed) return;
    if (this.isLeaving) return;
    const now = this.clock.now();
    const wanted = this.roles().filter((role) => {
      const claim = this.book.claims.get(role);
      if (claim !== undefined) {
        this.orphanSince.delete(role);
        this.seenClaimed.add(role);
        if (claim.record.node !== this.settings.node) return false;
        // Either a former life's, or ours by a transaction whose answer was lost.
        return this.holding(role) === undefined && !this.ceding.has(role) && !this.taking.has(role);
      }
      if ((this.avoidUntil.get(role) ?? -Infinity) > now) return false;
      if (role === partitionRole(this.home)) return true;
      const successor = this.succession.successorOf(role);
      if (successor === this.settings.node) return true;
      const since = this.orphanSince.get(role) ?? now;
      this.orphanSince.set(role, since);
      const headStart = successor === undefined ? 0 : SUCCESSOR_HEAD_START_MS;
      const load = this.ownedPartitions().length * ORPHAN_WAIT_MS;
      const wait = headStart + load + this.courtesyMs(role) + this.random.float() * ORPHAN_WAIT_MS;
      return now - since >= wait;
    });
    await Promise.all(
      wanted.map((role) => {
        const mine = this.book.claims.get(role)?.record.latch === this.latch;
        return this.take(role, mine);
      }),
    );
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const started = this.clock.now();
      await this.beat().catch((error: unknown) => this.log.debug({ error: String(error) }, 'heartbeat failed'));
      const vacant = this.replica.loaded && this.book.claims.size < this.partitionCount + 1;
      const pause = (vacant ? HEARTBEAT_MS / 5 : HEARTBEAT_MS) - (this.clock.now() - started);
      await this.clock.sleep(Math.max(pause, 50), signal);
    }
  }
}
