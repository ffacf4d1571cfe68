/** What is remembered of machines. */

/** ms for which one view of all machines serves everybody who looks at them; less than two plans are apart. */
export const INVENTORY_VIEW_MS = 100;

/**
 * Share of all machines that a job fails on, and the least, from which the fault is the job's and says nothing of its machines:
 * a few faulty machines among many must not speak for each other.
 */
export const FAULTY_JOB_SHARE = 0.4;
export const FAULTY_JOB_LEAST = 2;

/** Workers of other nodes whose last visit is kept, to tell late copies: more than the 4,000 machines of a large cluster. */
export const MISROUTED_WORKERS_KEPT = 20_000;

/** Names of returned machines kept, so that late news of them are not believed: those of a large cluster several times over. */
export const TERMINATED_MACHINES_KEPT = 20_000;

/** ms after which a machine that no owner speaks of is forgotten; its images are of use to a new owner until then. */
export const FORGET_MACHINE_MS = 120_000;
