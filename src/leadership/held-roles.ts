/** The store lease of this process and the roles that it leads under that lease, as far as it knows. */
import type { ClusterState } from '../records/cluster-state.js';
import type { HeldLeadership, LeadershipTerm } from './leadership-term.js';
import type { SuccessionPolicy } from './succession-policy.js';

/** What the held roles are computed from. */
export interface HeldRolesDependencies {
  clusterState: ClusterState;
  /** Asked each time, since the warm standby is attached after construction. */
  succession: () => SuccessionPolicy;
}

/** A role is led here only while the stored record has both this lease and the fencing token that is known here. */
export class HeldRoles {
  private leaseId: number | undefined;
  private readonly leaderships = new Map<string, HeldLeadership>();
  private readonly releasing = new Set<string>();

  constructor(private readonly dependencies: HeldRolesDependencies) {}

  get storeLeaseId(): number | undefined {
    return this.leaseId;
  }

  /** All further roles are acquired under this lease. */
  startLease(leaseId: number): void {
    this.leaseId = leaseId;
  }

  /** The store lease has expired, and all leadership with it. */
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

  /** While a role is released it is not led: answers stop before the leadership record is deleted. */
  startRelease(role: string): void {
    this.releasing.add(role);
  }

  endRelease(role: string): void {
    this.releasing.delete(role);
  }

  isReleasing(role: string): boolean {
    return this.releasing.has(role);
  }

  leadershipOf(role: string): HeldLeadership | undefined {
    const { clusterState, succession } = this.dependencies;
    // After a long pause another process may lead it, whatever this replica says.
    if (this.releasing.has(role) || !succession().wasConfirmed) return undefined;
    const held = this.leaderships.get(role);
    const stored = clusterState.leadershipRecords.get(role);
    if (held === undefined || stored === undefined) return undefined;
    return stored.record.leaseId === this.leaseId && stored.modRevision === held.fencingToken ? held : undefined;
  }

  confirmedLeadershipOf(role: string): HeldLeadership | undefined {
    return this.dependencies.succession().isConfirmed ? this.leadershipOf(role) : undefined;
  }

  termOf(role: string): LeadershipTerm | undefined {
    const stored = this.dependencies.clusterState.leadershipRecords.get(role);
    if (stored === undefined || stored.record.leaseId !== this.leaseId) return undefined;
    return this.leaderships.get(role)?.term;
  }
}
