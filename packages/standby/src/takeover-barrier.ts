/** Preconditions of the first and of every later decision that a controller makes in a role. */

/** The precondition that is not met; see docs/standby.md, "The barrier". */
export type BarrierReason = 'not_leader' | 'lease_unconfirmed' | 'replica_stale' | 'replica_behind';

/** Whether decisions may be made, and if not, why. */
export type BarrierOutcome = { readonly kind: 'open' } | { readonly kind: 'closed'; readonly reason: BarrierReason };

/** One continuous term in which this process leads a role, identified by object identity. */
export interface RoleTerm {
  /** Store revision of the acquisition. */
  readonly startRevision: number | bigint;
}

/** What this process currently knows about a role. */
export interface BarrierEvidence {
  /** The term, if this process leads the role under its current store lease. */
  readonly term: RoleTerm | undefined;
  /** Whether the process has not paused since the store last confirmed its lease. */
  readonly isLeaseConfirmed: boolean;
  /** Whether the store has recently confirmed that the replica of the records is complete. */
  readonly isReplicaFresh: boolean;
  /** Store revision up to which the replica is complete. */
  readonly replicaRevision: number | bigint;
}

const OPEN: BarrierOutcome = { kind: 'open' };

const closed = (reason: BarrierReason): BarrierOutcome => ({ kind: 'closed', reason });

/**
 * The barrier of one role. State streamed from the former leader is reconciled with the records once per term, as soon as the
 * replica is complete up to the acquisition.
 */
export class TakeoverBarrier {
  private reconciledTerm: RoleTerm | undefined;

  constructor(
    /** Checks the streamed state against the records and restores it. Must be synchronous and must not throw. */
    private readonly reconcile: (term: RoleTerm) => void,
  ) {}

  assess(evidence: BarrierEvidence): BarrierOutcome {
    const { term } = evidence;
    if (term === undefined) return closed('not_leader');
    if (!evidence.isLeaseConfirmed) return closed('lease_unconfirmed');
    if (!evidence.isReplicaFresh) return closed('replica_stale');
    if (evidence.replicaRevision < term.startRevision) return closed('replica_behind');
    if (this.reconciledTerm !== term) return this.reconcileOnce(term);
    return OPEN;
  }

  private reconcileOnce(term: RoleTerm): BarrierOutcome {
    this.reconciledTerm = term;
    this.reconcile(term);
    return OPEN;
  }
}
