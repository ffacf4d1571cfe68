/** The least resources and limits that the platform must give a controller. */

/** Share of a core at least: a start takes 0.2 s of processor time, and must be over within a worker's lease or two. */
export const LEAST_CPU_SHARE = 0.01;

/** MB at least: a process that has just begun to listen holds 48. */
export const LEAST_MEMORY_MB = 64;

/** Sockets at least: the shares in `api.ts` must leave a few for each use. */
export const LEAST_SOCKETS = 40;

/** Requests a second that each node needs of the store at least: lease renewals and watches alone take three to four. */
export const LEAST_STORE_REQUESTS_PER_NODE = 4;

/** Writes a second that the store must allow all nodes at least: below, acquiring roles alone would take as long as a lease. */
export const LEAST_STORE_WRITES = 1;

/** KB of a value at least: a submission with long names is close to one. */
export const LEAST_VALUE_KB = 1;

/** Writes in one transaction at least: the end of a job takes its record, its final record and its placements. */
export const LEAST_TRANSACTION_WRITES = 4;
