import {
  REPLICA_FRESH_MS,
  LEASE_RENEWAL_PERIOD_MS,
  STORE_LEASE_TTL_MS,
  DEGRADED_SERVING_MARGIN_MS,
  VACANT_ROLE_WAIT_MS,
  START_GRACE_MS,
  SUCCESSOR_HEAD_START_MS,
} from '../constants/leadership.js';
import { CLOCK_DRIFT } from '../constants/clocks.js';
import type { Settings, WorkerTimings } from '../domain/settings.js';
import type { ClusterState } from '../records/cluster-state.js';
import { leadershipKey } from '../records/record-keys.js';
import type { StoreClient } from '../store/store-client.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import type { Replica } from '../store/replica.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import { Priority } from '../net/token-bucket.js';
import type { Log } from '../logging/log.js';
import { decodeLeadershipRecord, encodeLeadershipRecord } from '../records/record-codecs.js';
import { hashName, partitionRole, CLUSTER_LEADER_ROLE, partitionOfRole } from '../domain/role.js';

/** What the peers say, as far as claims need it. */
export interface PeerStoreAccess {
  /** The peer is up and reaches the store, as of just now. */
  reachesStore(node: string): boolean;
  /** A peer has the store, this node has not. */
  isAnyWithStore(): boolean;
}

/** ms for which an owner may go on answering after the moment as of which its copy holds all that anybody has confirmed. */
export const degradedServingMs = ({ cancelDeadlineMs, workerLeaseMs }: WorkerTimings): number =>
  Math.max(0, (cancelDeadlineMs - workerLeaseMs) * (1 - CLOCK_DRIFT) - DEGRADED_SERVING_MARGIN_MS);

/**
 * One stay of a role with this process, from the claim by which it came to its loss; raising the token does not end it. What
 * is known of the partition's workers is bound to this object (see worker-registry.ts).
 */
export interface LeadershipTerm {
  /** The Stamp of the claim by which the role came: what former owners did is older. */
  readonly startRevision: number;
  /** Steady ms when the role came. */
  readonly at: number;
}

/** A claim of this process, as of now. */
export interface HeldLeadership {
  /** The claim's Stamp, the fencing token. */
  readonly fencingToken: number;
  readonly term: LeadershipTerm;
}

/** What the warm standby says of roles; see standby.ts. */
export interface SuccessionPolicy {
  /** Who should claim the vacant role first; undefined: nobody in particular. */
  successorOf(role: string): string | undefined;
  /** The process has not stood still since the store last confirmed its hold: now, and as of the last look, which costs less. */
  readonly isConfirmed: boolean;
  readonly wasConfirmed: boolean;
  /** The store has confirmed the hold; `sentAt`: steady ms when it was asked. */
  confirm(sentAt: number): void;
  /** Does all hold that must before a decision in a role that is held? */
  isReady(role: string, held: HeldLeadership): boolean;
  /** The same, of a decision that is being taken. */
  mayDecide(role: string, held: HeldLeadership): boolean;
  /** The role is this process's from now on. */
  acquired(role: string): void;
}

const NO_SUCCESSION: SuccessionPolicy = {
  successorOf: () => undefined,
  isConfirmed: true,
  wasConfirmed: true,
  confirm: () => undefined,
  isReady: () => true,
  mayDecide: () => true,
  acquired: () => undefined,
};

export interface RoleLeadershipDependencies {
  settings: Settings;
  client: StoreClient;
  replica: Replica;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  peerDirectory: PeerStoreAccess;
  replicaFreshness: { completeAsOf(): number };
  clock: Clock;
  random: Random;
  log: Log;
}

/** Holds and claims: which partitions this node owns, and whether it may act on them right now. */
export class RoleLeadership {
  private leaseId: number | undefined;
  private readonly heldRoles = new Map<string, HeldLeadership>();
  private readonly vacantSince = new Map<string, number>();
  private readonly avoidUntil = new Map<string, number>();
  /** Roles that somebody has held since this process read the records. */
  private readonly everLed = new Set<string>();
  private readonly acquiring = new Set<string>();
  private readonly releasing = new Set<string>();
  private isLeaving = false;
  private readonly degradedServingMs: number;
  readonly partitionCount: number;
  readonly preferredPartition: number;

  /** Who succeeds whom, and what must hold before a decision; without it, as if nothing stood in the way. */
  succession: SuccessionPolicy = NO_SUCCESSION;
  private readonly settings: Settings;
  private readonly client: StoreClient;
  private readonly replica: Replica;
  private readonly clusterState: ClusterState;
  private readonly transactions: TransactionBatcher;
  private readonly peerDirectory: PeerStoreAccess;
  private readonly replicaFreshness: { completeAsOf(): number };
  private readonly clock: Clock;
  private readonly random: Random;
  private readonly log: Log;

  constructor(dependencies: RoleLeadershipDependencies) {
    const {
      settings,
      client,
      replica,
      clusterState,
      transactions,
      peerDirectory,
      replicaFreshness,
      clock,
      random,
      log,
    } = dependencies;
    this.settings = settings;
    this.client = client;
    this.replica = replica;
    this.clusterState = clusterState;
    this.transactions = transactions;
    this.peerDirectory = peerDirectory;
    this.replicaFreshness = replicaFreshness;
    this.clock = clock;
    this.random = random;
    this.log = log;
    this.partitionCount = settings.cluster.size;
    this.degradedServingMs = degradedServingMs(settings.cluster.workers);
    this.preferredPartition = this.sortedNodes().indexOf(settings.node) % this.partitionCount;
  }

  private sortedNodes(): string[] {
    return [this.settings.node, ...this.settings.peers.map((peer) => peer.node)].sort();
  }

  preferredNodeOf(partition: number): string {
    const nodes = this.sortedNodes();
    return nodes[partition % nodes.length]!;
  }

  partitionOf(name: string): number {
    return hashName(name) % this.partitionCount;
  }

  /** The hold that this process's claims live on, as far as it knows. */
  get storeLeaseId(): number | undefined {
    return this.leaseId;
  }

  leaderOf(role: string): string | undefined {
    return this.clusterState.leadershipRecords.get(role)?.record.node;
  }

  /** The claim on a role, if this very process holds it as far as it knows. */
  leadershipOf(role: string): HeldLeadership | undefined {
    // After a long pause somebody else may hold it, whatever this copy says.
    if (this.releasing.has(role) || !this.succession.wasConfirmed) return undefined;
    const held = this.heldRoles.get(role);
    const holder = this.clusterState.leadershipRecords.get(role);
    if (held === undefined || holder === undefined) return undefined;
    return holder.record.leaseId === this.leaseId && holder.modRevision === held.fencingToken ? held : undefined;
  }

  /** The same, for whoever is about to send something: also after a pause that no timer has noticed yet. */
  confirmedLeadershipOf(role: string): HeldLeadership | undefined {
    return this.succession.isConfirmed ? this.leadershipOf(role) : undefined;
  }

  /**
   * The acquisition of a role that this process has not seen lost. Unlike `holding`, it goes on while a raised token is known
   * from the watch before the answer to the raise has come, and while a handover waits: in such spells nobody may answer or
   * decide, but what is known of the workers stays known.
   */
  termOf(role: string): LeadershipTerm | undefined {
    const holder = this.clusterState.leadershipRecords.get(role);
    if (holder === undefined || holder.record.leaseId !== this.leaseId) return undefined;
    return this.heldRoles.get(role)?.term;
  }

  /** In touch with the store: decisions and new starts are allowed. */
  get isInTouchWithStore(): boolean {
    return this.clock.now() - this.replica.freshAt < REPLICA_FRESH_MS;
  }

  /** May this node answer for the part's workers, and so keep their leases alive? */
  servingLeadershipOf(role: string): HeldLeadership | undefined {
    const held = this.confirmedLeadershipOf(role);
    if (held === undefined) return undefined;
    if (this.isInTouchWithStore) return held;
    // Whoever has the store will take over: workers that are turned away are with it the sooner.
    if (this.peerDirectory.isAnyWithStore()) return undefined;
    // A cancellation that this copy does not hold was confirmed later than that: see "Time" in docs/design.md.
    return this.clock.now() < this.replicaFreshness.completeAsOf() + this.degradedServingMs ? held : undefined;
  }

  ledPartitions(): number[] {
    return Array.from({ length: this.partitionCount }, (_, partition) => partition).filter((partition) =>
      this.leadershipOf(partitionRole(partition)),
    );
  }

  get isLeader(): boolean {
    const held = this.confirmedLeadershipOf(CLUSTER_LEADER_ROLE);
    return held !== undefined && this.isInTouchWithStore && this.succession.isReady(CLUSTER_LEADER_ROLE, held);
  }

  /** Makes the claim a condition of a transaction. */
  requireLeadership(draft: TransactionDraft, role: string): boolean {
    const held = this.confirmedLeadershipOf(role);
    if (held === undefined || !this.succession.mayDecide(role, held)) return false;
    draft.get(leadershipKey(role));
    return draft.conditions.get(leadershipKey(role)) === held.fencingToken;
  }

  avoidedRoles(): string[] {
    if (this.isLeaving) return this.roles();
    const now = this.clock.now();
    return [...this.avoidUntil].filter(([, until]) => until > now).map(([role]) => role);
  }

  /** All roles, the most wanted first. */
  private roles(): string[] {
    const others = Array.from({ length: this.partitionCount }, (_, partition) => partition);
    const rest = others.filter((partition) => partition !== this.preferredPartition).map(partitionRole);
    return [partitionRole(this.preferredPartition), CLUSTER_LEADER_ROLE, ...rest];
  }

  /** From now on no role is taken, and peers are told so. */
  stopAcquiring(): void {
    this.isLeaving = true;
  }

  /** Gives all roles up; a role that the store does not take back in time ends with the hold. */
  async releaseAll(why: string): Promise<void> {
    const held = this.roles().filter((role) => this.leadershipOf(role) !== undefined);
    await Promise.all(held.map((role) => this.release(role, why, Infinity)));
  }

  /** A new Stamp for a claim that is held: late commands under the old one are refused from then on. */
  async advanceFencingToken(role: string): Promise<void> {
    const held = this.leadershipOf(role);
    if (held !== undefined) await this.acquire(role, true, held);
  }

  /** Gives a role up, for a node that should have it or can do better. Answers stop before the claim goes. */
  async release(role: string, why: string, avoidMs: number): Promise<void> {
    if (this.leadershipOf(role) === undefined) return;
    this.releasing.add(role);
    // Set before the claim goes, or this node would be the first to take the role again.
    this.avoidUntil.set(role, this.clock.now() + avoidMs);
    this.log.info({ role, why }, 'role ceded');
    const outcome = await this.transactions.commit(
      'cede',
      Priority.lease,
      (draft) => {
        const current = decodeLeadershipRecord(draft.get(leadershipKey(role)));
        if (current === undefined || current.leaseId !== this.leaseId) return false;
        draft.delete(leadershipKey(role));
        return true;
      },
      { timeoutMs: STORE_LEASE_TTL_MS },
    );
    this.releasing.delete(role);
    // As long as the claim stands nobody else can answer: in an outage the tasks would die of waiting for the handover.
    if (outcome.kind !== 'expired') this.heldRoles.delete(role);
  }

  /** `mine`: the claim is this process's already, else nobody's or a former life's; `before`: as which it is held. */
  private async acquire(role: string, mine: boolean, before?: HeldLeadership): Promise<void> {
    const leaseId = this.leaseId;
    if (leaseId === undefined || this.acquiring.has(role)) return;
    this.acquiring.add(role);
    const outcome = await this.transactions.commit(
      'claim',
      Priority.lease,
      (draft) => {
        const now = decodeLeadershipRecord(draft.get(leadershipKey(role)));
        // A claim of this node's former life may be taken at once: that process has ended.
        if (leaseId !== this.leaseId || (now !== undefined && now.node !== this.settings.node)) return false;
        if ((now?.leaseId === leaseId) !== mine) return false;
        draft.setUnderLease(
          leadershipKey(role),
          encodeLeadershipRecord({ node: this.settings.node, leaseId: leaseId }),
          leaseId,
        );
        return true;
      },
      { timeoutMs: STORE_LEASE_TTL_MS },
    );
    this.acquiring.delete(role);
    if (outcome.kind === 'done') {
      const term = before?.term ?? { startRevision: outcome.revision, at: this.clock.now() };
      this.heldRoles.set(role, { fencingToken: outcome.revision, term });
      this.log.info({ role, fencingToken: outcome.revision }, before === undefined ? 'role claimed' : 'fence raised');
      if (before === undefined) this.succession.acquired(role);
      // Nothing is launched before the copy is complete up to the first claim.
      if (before === undefined) void this.replica.refresh();
    }
  }

  private async renewLease(): Promise<void> {
    let sentAt = this.clock.now();
    const renewed = this.leaseId === undefined ? false : await this.client.renewLease(this.leaseId);
    if (!renewed) {
      if (this.leaseId !== undefined) this.log.info({ hold: this.leaseId }, 'hold is over');
      this.heldRoles.clear();
      this.leaseId = undefined;
      sentAt = this.clock.now();
      this.leaseId = await this.client.createLease(STORE_LEASE_TTL_MS);
    }
    this.succession.confirm(sentAt);
    // The watch of a busy time has told enough.
    const told = this.clock.now() - this.replica.freshAt < LEASE_RENEWAL_PERIOD_MS / 2;
    if (!told && !(await this.replica.refresh())) return;
    await this.acquireVacantRoles();
  }

  /** ms by which another node's partition is left to that node, should it come for it. */
  private preferredNodeHeadStartMs(role: string): number {
    if (role === CLUSTER_LEADER_ROLE) return 0;
    const home = this.preferredNodeOf(partitionOfRole(role)!);
    if (this.peerDirectory.reachesStore(home)) return STORE_LEASE_TTL_MS / 2;
    return this.everLed.has(role) ? 0 : START_GRACE_MS;
  }

  /** Takes the roles that are this node's to take. */
  async acquireVacantRoles(): Promise<void> {
    if (
      this.leaseId === undefined ||
      !this.replica.isLoaded ||
      !this.isInTouchWithStore ||
      !this.succession.isConfirmed
    )
      return;
    if (this.isLeaving) return;
    const now = this.clock.now();
    const wanted = this.roles().filter((role) => {
      const holder = this.clusterState.leadershipRecords.get(role);
      if (holder !== undefined) {
        this.vacantSince.delete(role);
        this.everLed.add(role);
        if (holder.record.node !== this.settings.node) return false;
        // Either a former life's, or ours by a transaction whose answer was lost.
        return this.leadershipOf(role) === undefined && !this.releasing.has(role) && !this.acquiring.has(role);
      }
      if ((this.avoidUntil.get(role) ?? -Infinity) > now) return false;
      if (role === partitionRole(this.preferredPartition)) return true;
      const successor = this.succession.successorOf(role);
      if (successor === this.settings.node) return true;
      const since = this.vacantSince.get(role) ?? now;
      this.vacantSince.set(role, since);
      const headStart = successor === undefined ? 0 : SUCCESSOR_HEAD_START_MS;
      const load = this.ledPartitions().length * VACANT_ROLE_WAIT_MS;
      const wait = headStart + load + this.preferredNodeHeadStartMs(role) + this.random.float() * VACANT_ROLE_WAIT_MS;
      return now - since >= wait;
    });
    await Promise.all(
      wanted.map((role) => {
        const mine = this.clusterState.leadershipRecords.get(role)?.record.leaseId === this.leaseId;
        return this.acquire(role, mine);
      }),
    );
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const started = this.clock.now();
      await this.renewLease().catch((error: unknown) => this.log.debug({ error: String(error) }, 'heartbeat failed'));
      const vacant = this.replica.isLoaded && this.clusterState.leadershipRecords.size < this.partitionCount + 1;
      const pause = (vacant ? LEASE_RENEWAL_PERIOD_MS / 5 : LEASE_RENEWAL_PERIOD_MS) - (this.clock.now() - started);
      await this.clock.sleep(Math.max(pause, 50), signal);
    }
  }
}
