/** The least that the platform must give a controller. */

/** Share of a core at least: a start takes 0.2 s of processor time, and must be over in a worker's lease or two. */
export const LEAST_CPU_SHARE = 0.01;

/** MB at least: a process that has just begun to listen holds 48. */
export const LEAST_MEMORY_MB = 64;

/** Sockets at least: the shares above must leave a few for each use. */
export const LEAST_SOCKETS = 40;

/** Requests a second that each node needs of the store at least: heartbeats and watches alone take three to four. */
export const LEAST_STORE_REQUESTS_PER_NODE = 4;

/** Changes a second that the store must allow all nodes at least: below, claims alone would fill a hold's time. */
export const LEAST_STORE_WRITES = 1;

/** KB of a value at least: a submission with long names is close to one. */
export const LEAST_VALUE_KB = 1;

/** Changes in one transaction at least: a job's end takes its record, its final state and its ledger. */
export const LEAST_TRANSACTION_WRITES = 4;
