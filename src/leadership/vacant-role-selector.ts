/**
 * Selects the vacant roles to acquire now: at once the preferred partition and the roles whose designated successor is this node;
 * others after a delay that gives precedence to their successor, their preferred node, and nodes that lead fewer partitions.
 */
import {
  START_GRACE_MS,
  STORE_LEASE_TTL_MS,
  SUCCESSOR_HEAD_START_MS,
  VACANT_ROLE_WAIT_MS,
} from '../constants/leadership.js';
import { CLUSTER_LEADER_ROLE, partitionOfRole, partitionRole } from '../domain/role.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { HeldRoles } from './held-roles.js';
import type { RolePreferences } from './role-preferences.js';
import type { SuccessionPolicy } from './succession-policy.js';

/** Inputs of the choice among vacant roles. */
export interface VacantRoleSelectorDependencies {
  node: string;
  preferences: RolePreferences;
  heldRoles: HeldRoles;
  isAcquiring: (role: string) => boolean;
  ledPartitionCount: () => number;
  clusterState: ClusterState;
  /** Whether the peer is currently up and reaches the store. */
  peerDirectory: { reachesStore(node: string): boolean };
  succession: () => SuccessionPolicy;
  clock: Clock;
  random: Random;
}

/** Only selects candidates; the transaction decides whether a role is acquired. */
export class VacantRoleSelector {
  /** Monotonic ms since when this node waits to acquire each vacant role, by role. */
  private readonly vacantSince = new Map<string, number>();
  /** Monotonic ms until which this node does not acquire each role, by role. */
  private readonly avoidUntil = new Map<string, number>();
  /** Roles that some node has led since this process loaded the records. */
  private readonly rolesSeenLed = new Set<string>();
  private hasStopped = false;

  constructor(private readonly dependencies: VacantRoleSelectorDependencies) {}

  get isStopped(): boolean {
    return this.hasStopped;
  }

  /** Acquires no role for the rest of the process. */
  stop(): void {
    this.hasStopped = true;
  }

  avoid(role: string, avoidMs: number): void {
    this.avoidUntil.set(role, this.dependencies.clock.now() + avoidMs);
  }

  avoidedRoles(): string[] {
    const { preferences, clock } = this.dependencies;
    if (this.hasStopped) return preferences.roles();
    const now = clock.now();
    return [...this.avoidUntil].filter(([, until]) => until > now).map(([role]) => role);
  }

  /** The roles to acquire now. Also records since when this node waits for each, so call it after each change of a leadership record. */
  rolesToAcquire(): string[] {
    const { preferences, clock } = this.dependencies;
    const now = clock.now();
    return preferences.roles().filter((role) => this.shouldAcquire(role, now));
  }

  private shouldAcquire(role: string, now: number): boolean {
    const { node, preferences, clusterState, succession } = this.dependencies;
    const leader = clusterState.leadershipRecords.get(role)?.record.node;
    if (leader !== undefined) {
      this.vacantSince.delete(role);
      this.rolesSeenLed.add(role);
      return leader === node && this.canReacquire(role);
    }
    if ((this.avoidUntil.get(role) ?? -Infinity) > now) return false;
    if (role === partitionRole(preferences.preferredPartition)) return true;
    const successor = succession().successorOf(role);
    if (successor === node) return true;
    const since = this.vacantSince.get(role) ?? now;
    this.vacantSince.set(role, since);
    return now - since >= this.waitMs(role, successor !== undefined);
  }

  /** For a role whose record names this node: a former incarnation wrote it, or a transaction of this one whose answer was lost. */
  private canReacquire(role: string): boolean {
    const { heldRoles, isAcquiring } = this.dependencies;
    return heldRoles.leadershipOf(role) === undefined && !heldRoles.isReleasing(role) && !isAcquiring(role);
  }

  private waitMs(role: string, hasSuccessor: boolean): number {
    const { ledPartitionCount, random } = this.dependencies;
    const successorHeadStartMs = hasSuccessor ? SUCCESSOR_HEAD_START_MS : 0;
    const loadMs = ledPartitionCount() * VACANT_ROLE_WAIT_MS;
    const jitterMs = random.float() * VACANT_ROLE_WAIT_MS;
    return successorHeadStartMs + loadMs + this.preferredNodeHeadStartMs(role) + jitterMs;
  }

  /** ms for which a partition is left to its preferred node, in case that node acquires it. */
  private preferredNodeHeadStartMs(role: string): number {
    const { preferences, peerDirectory } = this.dependencies;
    if (role === CLUSTER_LEADER_ROLE) return 0;
    const preferredNode = preferences.preferredNodeOf(partitionOfRole(role)!);
    if (peerDirectory.reachesStore(preferredNode)) return STORE_LEASE_TTL_MS / 2;
    return this.rolesSeenLed.has(role) ? 0 : START_GRACE_MS;
  }
}
