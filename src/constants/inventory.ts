/** Limits of the inventory of machines. */

/** ms for which a view of all machines is reused; less than the time between two plans. */
export const INVENTORY_VIEW_REUSE_MS = 100;

/**
 * A job counts as faulty, and its failures no longer count against machines, once it has failed on this share of all machines,
 * and on at least this number of machines. The share is that large because a few faulty machines among many must not make a job
 * look faulty.
 */
export const FAULTY_JOB_SHARE = 0.4;
export const MIN_FAULTY_JOB_MACHINES = 2;

/** Workers whose last misrouted heartbeat is kept to detect late copies: more than the 4,000 machines of a large cluster. */
export const MISROUTED_WORKERS_KEPT = 20_000;

/** Terminated machines whose ids are kept, so that late reports of them are ignored: several times a large cluster's machines. */
export const TERMINATED_MACHINES_KEPT = 20_000;

/** ms after which a machine that no leader reports is forgotten; until then a new leader can use its list of cached images. */
export const FORGET_MACHINE_MS = 120_000;
