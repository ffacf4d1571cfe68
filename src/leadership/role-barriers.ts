/** The takeover barrier of each role, fed with what this process knows of the role at this very moment. */
import { type BarrierOutcome, type PauseGuard, TakeoverBarrier } from '@dewlatch/standby';

import type { Log } from '../logging/log.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { Replica } from '../store/replica.js';
import type { HeldLeadership } from './leadership-term.js';
import type { RoleLeadership } from './role-leadership.js';

/** What the barriers of a new leader are judged by. */
export interface RoleBarriersDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  replica: Replica;
  guard: PauseGuard;
  /** Called once in each term, before its first decision, as soon as the replica is complete up to the acquisition. */
  replicaComplete: (role: string) => void;
  log: Log;
}

/** Keeps one barrier a role and logs each change of its state. */
export class RoleBarriers {
  private readonly barriers = new Map<string, TakeoverBarrier>();
  /** The last outcome that was logged, by role. */
  private readonly loggedOutcomes = new Map<string, string>();

  constructor(private readonly dependencies: RoleBarriersDependencies) {}

  /** Whether a decision may be made in a role that this process leads. */
  isOpen(role: string, held: HeldLeadership): boolean {
    const { leadership, replica, guard } = this.dependencies;
    const outcome = this.barrierOf(role).assess({
      term: held.term,
      // Whoever has found the role led by this process has checked for a pause at this very moment.
      isLeaseConfirmed: guard.wasConfirmed,
      isReplicaFresh: leadership.hasRecentStoreContact,
      replicaRevision: replica.revision,
    });
    this.logChange(role, outcome);
    return outcome.kind === 'open';
  }

  /** Assesses all roles led here: what was followed is of use before the first decision, too. */
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
