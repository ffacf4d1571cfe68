/** Leadership of a role, as seen by the process that holds it. */
import type { Count } from '../domain/count.js';

/**
 * One continuous term in which this process leads a role, from acquisition to loss; advancing the fencing token does not end it.
 * The state of the partition's workers is bound to this object (see worker-registry.ts).
 */
export interface LeadershipTerm {
  /** Store revision of the acquisition; all writes of former leaders have lower revisions. */
  readonly startRevision: Count;
  /** Monotonic ms when the role was acquired. */
  readonly acquiredAt: number;
}

/** The current leadership of a role held by this process. */
export interface HeldLeadership {
  /** `modRevision` of the leadership record. */
  readonly fencingToken: Count;
  readonly term: LeadershipTerm;
}
