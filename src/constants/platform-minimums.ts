/** Minimums of the resources and limits that the platform must give a controller. */

/** Share of a CPU core: startup takes 0.2 s of CPU time, and must be finished within one or two worker leases. */
export const MIN_CPU_SHARE = 0.01;

/** Memory in MB: a process that has just begun to listen uses 48. */
export const MIN_MEMORY_MB = 64;

/** Sockets: the shares in `api.ts` must leave a few for each use. */
export const MIN_SOCKETS = 40;

/** Store requests per second for each node: lease renewals and watches alone take three to four. */
export const MIN_STORE_REQUESTS_PER_NODE = 4;

/** Store writes per second for all nodes together: with fewer, acquiring roles alone would take as long as a lease. */
export const MIN_STORE_WRITES = 1;

/** Size of a stored value in KB: a submission with long names takes nearly 1 KB. */
export const MIN_VALUE_KB = 1;

/** Writes in one transaction: the end of a job writes its record, its final record and its placements. */
export const MIN_TRANSACTION_WRITES = 4;
