/** The leadership of a role as the process that has it knows it. */

/**
 * One unbroken term of a role with this process, from the acquisition to the loss; advancing the fencing token does not end it.
 * What is known of the partition's workers is bound to this object (see worker-registry.ts).
 */
export interface LeadershipTerm {
  /** Revision of the store by which the role was acquired: what former leaders did is older. */
  readonly startRevision: number;
  /** Steady ms when the role was acquired. */
  readonly at: number;
}

/** Leadership of a role that this process has, as of now. */
export interface HeldLeadership {
  /** `modRevision` of the leadership record. */
  readonly fencingToken: number;
  readonly term: LeadershipTerm;
}
