/** Assesses the takeover barrier of each role against the current local state of this process. */
import { type BarrierOutcome, type PauseGuard, TakeoverBarrier } from '@dewlatch/standby';

import type { Log } from '../logging/log.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { Replica } from '../store/replica.js';
import type { HeldLeadership } from './leadership-term.js';
import type { RoleLeadership } from './role-leadership.js';

/** Sources of the state that the barriers are assessed against. */
export interface RoleBarriersDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  replica: Replica;
  guard: PauseGuard;
  /** Called once per term, before the first decision, as soon as the replica is complete up to the acquisition. */
  replicaComplete: (role: string) => void;
  log: Log;
}

/** Keeps one barrier per role and logs each change of its state. */
export class RoleBarriers {
  private readonly barriers = new Map<string, TakeoverBarrier>();
  /** The last logged outcome, by role. */
  private readonly loggedOutcomes = new Map<string, string>();

  constructor(private readonly dependencies: RoleBarriersDependencies) {}

  /** Whether decisions may be made in a role that this process leads. */
  isOpen(role: string, held: HeldLeadership): boolean {
    const { leadership, replica, guard } = this.dependencies;
    const outcome = this.barrierOf(role).assess({
      term: held.term,
      // The caller has just checked for a pause when it determined that this process leads the role.
      isLeaseConfirmed: guard.wasLeaseConfirmed,
      isReplicaFresh: leadership.hasRecentStoreContact,
      replicaRevision: replica.revision,
    });
    this.logChange(role, outcome);
    return outcome.kind === 'open';
  }

  /** Assesses all roles led here, so that streamed state is restored even before the first decision. */
  assessAll(): void {
    const { leadership, clusterState } = this.dependencies;
    for (const role of clusterState.leadershipRecords.keys()) {
      const held = leadership.leadershipOf(role);
      if (held !== undefined) this.isOpen(role, held);
    }
  }

  private barrierOf(role: string): TakeoverBarrier {
    let barrier = this.barriers.get(role);
    if (barrier === undefined) {
      barrier = new TakeoverBarrier(() => this.dependencies.replicaComplete(role));
      this.barriers.set(role, barrier);
    }
    return barrier;
  }

  private logChange(role: string, outcome: BarrierOutcome): void {
    const state = outcome.kind === 'open' ? 'open' : outcome.reason;
    if (this.loggedOutcomes.get(role) === state) return;
    this.loggedOutcomes.set(role, state);
    this.dependencies.log.info({ role, state }, 'takeover barrier changed');
  }
}
