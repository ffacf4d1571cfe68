/** Which roles this node leads, and what that permits right now: answers to workers, decisions, transactions. */
import { LEASE_RENEWAL_PERIOD_MS, REPLICA_FRESH_MS } from '../constants/leadership.js';
import { CLUSTER_LEADER_ROLE, hashName, partitionRole } from '../domain/role.js';
import type { Settings } from '../domain/settings.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import type { ClusterState } from '../records/cluster-state.js';
import { leadershipKey } from '../records/record-keys.js';
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

/** Shortest ms between two renewals of the store lease. */
const SHORTEST_RENEWAL_PAUSE_MS = 50;

/** While a role is vacant the lease is renewed, and the role looked for, so many times as often. */
const VACANT_ROLE_RENEWAL_FACTOR = 5;

/** What the peers say, as far as leadership needs it. */
export interface PeerStoreAccess {
  /** The peer is up and reaches the store, as of just now. */
  reachesStore(node: string): boolean;
  /** A peer reaches the store, this node does not. */
  isAnyPeerWithStore(): boolean;
}

/** What acquiring and holding roles needs. */
export interface RoleLeadershipDependencies {
  settings: Settings;
  client: StoreClient;
  replica: Replica;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  peerDirectory: PeerStoreAccess;
  /** Steady ms as of which the replica has all that anybody has confirmed. */
  replicaFreshness: { completeAsOf(): number };
  clock: Clock;
  random: Random;
  log: Log;
}

/** The leadership of this node. What is asked before something is sent or decided is answered as of that very moment. */
export class RoleLeadership {
  /**
   * Who succeeds whom, and what must hold before a decision. Attached after construction, as the standby itself needs the
   * leadership; until then nothing stands in the way of a decision.
   */
  succession: SuccessionPolicy = NO_SUCCESSION;
  readonly partitionCount: number;
  /** The partition that prefers this node. */
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

  /** The store lease under which this process leads its roles, as far as it knows. */
  get storeLeaseId(): number | undefined {
    return this.heldRoles.storeLeaseId;
  }

  /** The node that leads the role by the records; undefined: the role is vacant. */
  leaderOf(role: string): string | undefined {
    return this.dependencies.clusterState.leadershipRecords.get(role)?.record.node;
  }

  /** The leadership of a role, if this very process has it as far as it knows. */
  leadershipOf(role: string): HeldLeadership | undefined {
    return this.heldRoles.leadershipOf(role);
  }

  /** The same, for whoever is about to send something: also after a pause that no timer has noticed yet. */
  confirmedLeadershipOf(role: string): HeldLeadership | undefined {
    return this.heldRoles.confirmedLeadershipOf(role);
  }

  /**
   * The term of a role that this process has not seen end. Unlike `leadershipOf`, it goes on while an advanced token is known
   * from the watch before the answer to the transaction has come, and while a release waits: at such times no answer and no
   * decision is permitted, but what is known of the workers stays known.
   */
  termOf(role: string): LeadershipTerm | undefined {
    return this.heldRoles.termOf(role);
  }

  /** In touch with the store: decisions and new starts are allowed. */
  get hasRecentStoreContact(): boolean {
    return this.dependencies.clock.now() - this.dependencies.replica.freshAt < REPLICA_FRESH_MS;
  }

  /** The leadership under which this node may answer the partition's workers, and so renew their leases. */
  servingLeadershipOf(role: string): HeldLeadership | undefined {
    const { peerDirectory, clock, replicaFreshness } = this.dependencies;
    const held = this.confirmedLeadershipOf(role);
    if (held === undefined) return undefined;
    if (this.hasRecentStoreContact) return held;
    // A node that reaches the store will take over: workers that are turned away are with it the sooner.
    if (peerDirectory.isAnyPeerWithStore()) return undefined;
    // A cancellation that this replica does not have was confirmed later than that: see "Time" in docs/design.md.
    return clock.now() < replicaFreshness.completeAsOf() + this.degradedServingMs ? held : undefined;
  }

  ledPartitions(): number[] {
    return this.preferences.partitions().filter((partition) => this.leadershipOf(partitionRole(partition)));
  }

  /** This node leads the cluster and may decide now. */
  get isLeader(): boolean {
    const held = this.confirmedLeadershipOf(CLUSTER_LEADER_ROLE);
    return held !== undefined && this.hasRecentStoreContact && this.succession.isReady(CLUSTER_LEADER_ROLE, held);
  }

  /** Makes the fencing token a condition of a transaction; false: this process must not decide in the role. */
  requireLeadership(draft: TransactionDraft, role: string): boolean {
    const held = this.confirmedLeadershipOf(role);
    if (held === undefined || !this.succession.mayDecide(role, held)) return false;
    draft.get(leadershipKey(role));
    return draft.conditions.get(leadershipKey(role)) === held.fencingToken;
  }

  /** Roles that this node does not acquire for now; peers are told of them. */
  avoidedRoles(): string[] {
    return this.selector.avoidedRoles();
  }

  /** From now on no role is acquired, and peers are told so. */
  stopAcquiring(): void {
    this.selector.stop();
  }

  /** Releases all roles; a role whose release the store does not answer in time ends with the store lease. */
  async releaseAll(reason: string): Promise<void> {
    const ledRoles = this.preferences.roles().filter((role) => this.leadershipOf(role) !== undefined);
    await Promise.all(ledRoles.map((role) => this.release(role, reason, Infinity)));
  }

  /** A new fencing token for a role that is led: late commands under the former one are refused from then on. */
  async advanceFencingToken(role: string): Promise<void> {
    const held = this.leadershipOf(role);
    if (held !== undefined) await this.roleTransactions.advanceFencingToken(role, held);
  }

  /** Releases a role for a node that should have it or can serve it better, and does not acquire it again for `avoidMs`. */
  async release(role: string, reason: string, avoidMs: number): Promise<void> {
    if (this.leadershipOf(role) === undefined) return;
    // Set before the record is deleted, or this node would be the first to acquire the role again.
    this.selector.avoid(role, avoidMs);
    await this.roleTransactions.release(role, reason);
  }

  /** Acquires the vacant roles that are this node's to take. */
  async acquireVacantRoles(): Promise<void> {
    if (!this.canAcquire()) return;
    const roles = this.selector.rolesToAcquire();
    await Promise.all(roles.map((role) => this.roleTransactions.acquire(role)));
  }

  private canAcquire(): boolean {
    if (this.storeLeaseId === undefined || !this.dependencies.replica.isLoaded) return false;
    return this.hasRecentStoreContact && this.succession.isConfirmed && !this.selector.isStopped;
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
      await clock.sleep(Math.max(pauseMs, SHORTEST_RENEWAL_PAUSE_MS), signal);
    }
  }

  /** The store lease is confirmed: the replica is brought up to date, and vacant roles are looked for. */
  private async leaseConfirmed(): Promise<void> {
    const { clock, replica } = this.dependencies;
    // At a busy time the watch has already shown the replica complete.
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
