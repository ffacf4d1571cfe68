/** The store lease of this process, and the roles that it leads under that lease according to its local state. */
import type { Count } from '../domain/count.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { HeldLeadership, LeadershipTerm } from './leadership-term.js';
import type { SuccessionPolicy } from './succession-policy.js';

/** Sources from which the held roles are computed. */
export interface HeldRolesDependencies {
  clusterState: ClusterState;
  /** A getter, since the warm standby is attached after construction. */
  succession: () => SuccessionPolicy;
}

/** A role is led here only while the stored record holds both the lease and the fencing token that this process knows. */
export class HeldRoles {
  private leaseId: Count | undefined;
  private readonly leaderships = new Map<string, HeldLeadership>();
  private readonly releasing = new Set<string>();
  /** Roles whose fencing token is being advanced. */
  private readonly advancing = new Set<string>();

  constructor(private readonly dependencies: HeldRolesDependencies) {}

  get storeLeaseId(): Count | undefined {
    return this.leaseId;
  }

  /** Roles acquired from now on are held under this lease. */
  startLease(leaseId: Count): void {
    this.leaseId = leaseId;
  }

  /** Ends all leadership of this process after its store lease has expired. */
  endLease(): void {
    this.leaderships.clear();
    this.leaseId = undefined;
  }

  add(role: string, held: HeldLeadership): void {
    this.leaderships.set(role, held);
  }

  remove(role: string): void {
    this.leaderships.delete(role);
  }

  /** A role being released is not led: answers to workers stop before the leadership record is deleted. */
  startRelease(role: string): void {
    this.releasing.add(role);
  }

  endRelease(role: string): void {
    this.releasing.delete(role);
  }

  /** Until `endAdvance`, a newer record under this process's lease is its own, even before the store's answer arrives. */
  startAdvance(role: string): void {
    this.advancing.add(role);
  }

  endAdvance(role: string): void {
    this.advancing.delete(role);
  }

  isReleasing(role: string): boolean {
    return this.releasing.has(role);
  }

  leadershipOf(role: string): HeldLeadership | undefined {
    const { clusterState, succession } = this.dependencies;
    // After a long pause another process may lead the role, even if this replica does not show it yet.
    if (this.releasing.has(role) || !succession().wasLeaseConfirmed) return undefined;
    const held = this.leaderships.get(role);
    const stored = clusterState.leadershipRecords.get(role);
    if (held === undefined || stored === undefined || stored.record.leaseId !== this.leaseId) return undefined;
    if (stored.modRevision === held.fencingToken) return held;
    const isAdvanced = this.advancing.has(role) && stored.modRevision > held.fencingToken;
    return isAdvanced ? { ...held, fencingToken: stored.modRevision } : undefined;
  }

  confirmedLeadershipOf(role: string): HeldLeadership | undefined {
    return this.dependencies.succession().isLeaseConfirmed ? this.leadershipOf(role) : undefined;
  }

  termOf(role: string): LeadershipTerm | undefined {
    const stored = this.dependencies.clusterState.leadershipRecords.get(role);
    if (stored === undefined || stored.record.leaseId !== this.leaseId) return undefined;
    return this.leaderships.get(role)?.term;
  }
}
