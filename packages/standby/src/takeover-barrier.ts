/** What must hold before a controller makes its first decision in a role, and before each one after it. */

/** What is missing; see docs/standby.md, "The barrier". */
export type BarrierReason = 'not_leader' | 'lease_unconfirmed' | 'replica_stale' | 'replica_behind';

/** Whether a decision may be made, and if not, why. */
export type BarrierOutcome = { readonly kind: 'open' } | { readonly kind: 'closed'; readonly reason: BarrierReason };

/** One unbroken term of a role with this process, identified by the object itself. */
export interface RoleTerm {
  /** Revision of the store by which the role was acquired. */
  readonly startRevision: number;
}

/** What this process knows of a role at this very moment. */
export interface BarrierEvidence {
  /** The term, if this process leads the role under its present store lease. */
  readonly term: RoleTerm | undefined;
  /** The process has not paused since the store last confirmed its lease. */
  readonly isLeaseConfirmed: boolean;
  /** The store has recently shown the replica of the records complete. */
  readonly isReplicaFresh: boolean;
  /** Revision up to which the replica is complete. */
  readonly replicaRevision: number;
}

const OPEN: BarrierOutcome = { kind: 'open' };

const closed = (reason: BarrierReason): BarrierOutcome => ({ kind: 'closed', reason });

/**
 * The barrier of one role. What was followed of the former leader is reconciled with the records once in each term, as soon as
 * the replica is complete up to the acquisition.
 */
export class TakeoverBarrier {
  private reconciled: RoleTerm | undefined;

  constructor(
    /** Compares what was followed with the records and restores it. It must neither fail nor wait. */
    private readonly reconcile: (term: RoleTerm) => void,
  ) {}

  assess(evidence: BarrierEvidence): BarrierOutcome {
    const { term } = evidence;
    if (term === undefined) return closed('not_leader');
    if (!evidence.isLeaseConfirmed) return closed('lease_unconfirmed');
    if (!evidence.isReplicaFresh) return closed('replica_stale');
    if (evidence.replicaRevision < term.startRevision) return closed('replica_behind');
    if (this.reconciled !== term) return this.reconcileOnce(term);
    return OPEN;
  }

  private reconcileOnce(term: RoleTerm): BarrierOutcome {
    this.reconciled = term;
    this.reconcile(term);
    return OPEN;
  }
}
