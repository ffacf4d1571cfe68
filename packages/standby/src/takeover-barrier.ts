/** What must hold before a controller takes its first decision in a role, and before each one after it. */

export type BarrierReason = 'not_leader' | 'lease_unconfirmed' | 'replica_stale' | 'replica_behind';

export type BarrierOutcome = { readonly kind: 'open' } | { readonly kind: 'closed'; readonly reason: BarrierReason };

/** One stay of a role with this process: the object itself tells it from others. */
export interface RoleTerm {
  /** Revision of the store by which the role came. */
  readonly startRevision: number;
}

/** What this process knows of a role at this very moment. */
export interface BarrierEvidence {
  /** The claim is this process's, under its present hold; undefined: it is not. */
  readonly term: RoleTerm | undefined;
  /** No pause since the store last confirmed the hold. */
  readonly isLeaseConfirmed: boolean;
  /** The store has shown the copy of the records complete just now. */
  readonly isReplicaFresh: boolean;
  /** Revision up to which the copy is complete. */
  readonly replicaRevision: number;
}

export const OPEN: BarrierOutcome = { kind: 'open' };

const closed = (reason: BarrierReason): BarrierOutcome => ({ kind: 'closed', reason });

/**
 * The barrier of one role. What was followed of the former holder is reconciled with the records once in each tenure, as soon as
 * the records are complete up to the claim.
 */
export class TakeoverBarrier {
  private reconciled: RoleTerm | undefined;

  constructor(
    /** Compares what was followed with the records and takes it in. It must not fail, and must not wait. */
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
