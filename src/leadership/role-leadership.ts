/** Which roles this node leads, and what that currently permits: answers to workers, decisions, transactions. */
import { LEASE_RENEWAL_PERIOD_MS, REPLICA_FRESH_MS } from '../constants/leadership.js';
import type { Count } from '../domain/count.js';
import { CLUSTER_LEADER_ROLE, hashName, partitionRole } from '../domain/role.js';
import type { Settings } from '../domain/settings.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import type { ClusterState } from '../records/cluster-state.js';
import { leadershipKey } from '../records/record-keys.js';
import type { RenewedRevisions } from '../store/renewed-revisions.js';
import type { Replica } from '../store/replica.js';
import type { StoreClient } from '../store/store-client.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import { degradedServingMs } from './degraded-serving.js';
import { HeldRoles } from './held-roles.js';
import type { HeldLeadership, LeadershipTerm } from './leadership-term.js';
import { RolePreferences } from './role-preferences.js';
import { RoleTransactions } from './role-transactions.js';
import { StoreLeaseRenewal } from './store-lease-renewal.js';
import { NO_SUCCESSION, type SuccessionPolicy } from './succession-policy.js';
import { VacantRoleSelector } from './vacant-role-selector.js';

export { degradedServingMs } from './degraded-serving.js';
export type { HeldLeadership, LeadershipTerm } from './leadership-term.js';

/** Minimum ms from the end of one renewal of the store lease to the start of the next. */
const MIN_RENEWAL_PAUSE_MS = 50;

/** While a role is vacant, lease renewals and attempts to acquire the role are this many times more frequent. */
const VACANT_ROLE_RENEWAL_FACTOR = 5;

/** The peers' access to the store, as known from gossip. */
export interface PeerStoreAccess {
  /** Whether the peer is currently up and reaches the store. */
  reachesStore(node: string): boolean;
  /** Whether some peer reaches the store while this node does not. */
  canOnlyPeersReachStore(): boolean;
}

/** Collaborators needed to acquire and hold roles. */
export interface RoleLeadershipDependencies {
  settings: Settings;
  client: StoreClient;
  replica: Replica;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  renewedRevisions: RenewedRevisions;
  peerDirectory: PeerStoreAccess;
  /** Monotonic ms as of which the replica holds every write confirmed by any node. */
  replicaFreshness: { completeAsOf(): number };
  clock: Clock;
  random: Random;
  log: Log;
}

/** The leadership of this node. Checks made before sending or deciding evaluate the state at the time of the call. */
export class RoleLeadership {
  /**
   * Designates successors and sets the preconditions of decisions. Attached after construction, since the standby itself depends
   * on the leadership; until then decisions are not restricted.
   */
  succession: SuccessionPolicy = NO_SUCCESSION;
  readonly partitionCount: number;
  /** The partition whose preferred node is this one. */
  readonly preferredPartition: number;
  private readonly degradedServingMs: number;
  private readonly preferences: RolePreferences;
  private readonly heldRoles: HeldRoles;
  private readonly roleTransactions: RoleTransactions;
  private readonly storeLease: StoreLeaseRenewal;
  private readonly selector: VacantRoleSelector;

  constructor(private readonly dependencies: RoleLeadershipDependencies) {
    const { settings, clusterState } = dependencies;
    const { node } = settings;
    const succession = () => this.succession;
    this.preferences = new RolePreferences(settings);
    this.partitionCount = this.preferences.partitionCount;
    this.preferredPartition = this.preferences.preferredPartition;
    this.degradedServingMs = degradedServingMs(settings.cluster.workers);
    this.heldRoles = new HeldRoles({ clusterState, succession });
    const shared = { ...dependencies, node, heldRoles: this.heldRoles, succession };
    this.roleTransactions = new RoleTransactions(shared);
    this.storeLease = new StoreLeaseRenewal({ ...shared, leaseConfirmed: () => this.leaseConfirmed() });
    this.selector = new VacantRoleSelector({
      ...shared,
      preferences: this.preferences,
      isAcquiring: (role) => this.roleTransactions.isAcquiring(role),
      ledPartitionCount: () => this.ledPartitions().length,
    });
  }

  preferredNodeOf(partition: number): string {
    return this.preferences.preferredNodeOf(partition);
  }

  /** The partition of a job or machine. */
  partitionOf(name: string): number {
    return hashName(name) % this.partitionCount;
  }

  /** The store lease under which this process leads its roles, according to its local state. */
  get storeLeaseId(): Count | undefined {
    return this.heldRoles.storeLeaseId;
  }

  /** The node that leads the role according to the records; undefined: the role is vacant. */
  leaderOf(role: string): string | undefined {
    return this.dependencies.clusterState.leadershipRecords.get(role)?.record.node;
  }

  /** The leadership of a role if this process holds it according to its local state. */
  leadershipOf(role: string): HeldLeadership | undefined {
    return this.heldRoles.leadershipOf(role);
  }

  /** Like `leadershipOf`, but also detects a pause that no timer has noticed yet; to be used right before sending. */
  confirmedLeadershipOf(role: string): HeldLeadership | undefined {
    return this.heldRoles.confirmedLeadershipOf(role);
  }

  /**
   * The term of a role whose end this process has not observed. Unlike `leadershipOf`, it continues while a release is pending,
   * and when the watch shows an advanced token before the transaction has been answered: then no answer or decision is
   * permitted, but the state of the workers is kept.
   */
  termOf(role: string): LeadershipTerm | undefined {
    return this.heldRoles.termOf(role);
  }

  /** Whether the store has confirmed the replica recently enough for decisions and new starts. */
  get hasRecentStoreContact(): boolean {
    return this.dependencies.clock.now() - this.dependencies.replica.freshAt < REPLICA_FRESH_MS;
  }

  /** The leadership under which this node may answer the partition's workers and thereby renew their leases. */
  servingLeadershipOf(role: string): HeldLeadership | undefined {
    const { peerDirectory, clock, replicaFreshness } = this.dependencies;
    const held = this.confirmedLeadershipOf(role);
    if (held === undefined) return undefined;
    if (this.hasRecentStoreContact) return held;
    // A node that reaches the store will take over; rejected workers switch to it sooner.
    if (peerDirectory.canOnlyPeersReachStore()) return undefined;
    // Any cancellation missing from this replica was confirmed after `completeAsOf`: see "Time" in docs/design.md.
    return clock.now() < replicaFreshness.completeAsOf() + this.degradedServingMs ? held : undefined;
  }

  /** The fencing token of each role that this node leads. */
  heldFencingTokens(): Record<string, Count> {
    const held = this.preferences.roles().map((role) => [role, this.leadershipOf(role)?.fencingToken] as const);
    return Object.fromEntries(held.filter((each): each is [string, Count] => each[1] !== undefined));
  }

  ledPartitions(): number[] {
    return this.preferences.partitions().filter((partition) => this.leadershipOf(partitionRole(partition)));
  }

  /** Whether this node leads the cluster and may currently make decisions. */
  get isClusterLeader(): boolean {
    const held = this.confirmedLeadershipOf(CLUSTER_LEADER_ROLE);
    return held !== undefined && this.hasRecentStoreContact && this.succession.isReady(CLUSTER_LEADER_ROLE, held);
  }

  /** Makes the fencing token a condition of the transaction; false: this process must not make decisions in the role. */
  requireLeadership(draft: TransactionDraft, role: string): boolean {
    const held = this.confirmedLeadershipOf(role);
    if (held === undefined || !this.succession.mayDecide(role, held)) return false;
    draft.get(leadershipKey(role));
    return draft.conditions.get(leadershipKey(role)) === held.fencingToken;
  }

  /** Roles that this node currently does not acquire; announced to its peers. */
  avoidedRoles(): string[] {
    return this.selector.avoidedRoles();
  }

  /** Stops acquiring roles for the rest of the process; peers are informed through `avoidedRoles`. */
  stopAcquiring(): void {
    this.selector.stop();
  }

  /** Releases all roles; a role whose release the store does not answer in time becomes vacant when the store lease expires. */
  async releaseAll(reason: string): Promise<void> {
    const ledRoles = this.preferences.roles().filter((role) => this.leadershipOf(role) !== undefined);
    await Promise.all(ledRoles.map((role) => this.release(role, reason, Infinity)));
  }

  /** Advances the fencing token of a led role, so that workers reject late commands under the former token. */
  async advanceFencingToken(role: string): Promise<void> {
    const held = this.leadershipOf(role);
    if (held !== undefined) await this.roleTransactions.advanceFencingToken(role, held);
  }

  /** Releases a role in favour of another node, and does not acquire it again for `avoidMs`. */
  async release(role: string, reason: string, avoidMs: number): Promise<void> {
    if (this.leadershipOf(role) === undefined) return;
    // Must be set before the record is deleted, or this node would be the first to acquire the role again.
    this.selector.avoid(role, avoidMs);
    await this.roleTransactions.release(role, reason);
  }

  /** Acquires the vacant roles that the selector assigns to this node. */
  async acquireVacantRoles(): Promise<void> {
    if (!this.canAcquire()) return;
    const roles = this.selector.rolesToAcquire();
    await Promise.all(roles.map((role) => this.roleTransactions.acquire(role)));
  }

  private canAcquire(): boolean {
    if (this.storeLeaseId === undefined || !this.dependencies.replica.isLoaded) return false;
    return this.hasRecentStoreContact && this.succession.isLeaseConfirmed && !this.selector.isStopped;
  }

  /** Renews the store lease and acquires vacant roles until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    const { clock, log } = this.dependencies;
    while (!signal.aborted) {
      const startedAt = clock.now();
      await this.storeLease
        .renew()
        .catch((error: unknown) => log.debug({ error: String(error) }, 'store lease renewal failed'));
      const pauseMs = this.renewalPeriodMs() - (clock.now() - startedAt);
      await clock.sleep(Math.max(pauseMs, MIN_RENEWAL_PAUSE_MS), signal);
    }
  }

  /** Refreshes the replica and acquires vacant roles after the store has confirmed the lease. */
  private async leaseConfirmed(): Promise<void> {
    const { clock, replica } = this.dependencies;
    // Under load the watch has already confirmed that the replica is complete.
    const isFresh = clock.now() - replica.freshAt < LEASE_RENEWAL_PERIOD_MS / 2;
    if (!isFresh && !(await replica.refresh())) return;
    await this.acquireVacantRoles();
  }

  private renewalPeriodMs(): number {
    const { replica, clusterState } = this.dependencies;
    const isAnyVacant = replica.isLoaded && clusterState.leadershipRecords.size < this.partitionCount + 1;
    return isAnyVacant ? LEASE_RENEWAL_PERIOD_MS / VACANT_ROLE_RENEWAL_FACTOR : LEASE_RENEWAL_PERIOD_MS;
  }
}
