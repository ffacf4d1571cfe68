/** Limits of what the inventory remembers of machines. */

/** ms for which one view of all machines is reused; less than the time between two plans. */
export const INVENTORY_VIEW_MS = 100;

/**
 * Share of all machines that a job fails on, and their least number, from which the fault is the job's and says nothing of the
 * machines: a few faulty machines among many must not excuse each other.
 */
export const FAULTY_JOB_SHARE = 0.4;
export const FAULTY_JOB_LEAST = 2;

/** Workers whose last misrouted heartbeat is kept, to detect late copies: more than the 4,000 machines of a large cluster. */
export const MISROUTED_WORKERS_KEPT = 20_000;

/** Ids of terminated machines kept, so that late reports of them are ignored: those of a large cluster several times over. */
export const TERMINATED_MACHINES_KEPT = 20_000;

/** ms after which a machine that no leader reports is forgotten; its cached images are of use to a new leader until then. */
export const FORGET_MACHINE_MS = 120_000;
