/** The store's client, the replica, and transactions. */

/** Deleted keys that a replica remembers for peers whose replicas are older: some seconds' worth of ended jobs in a busy time. */
export const TOMBSTONES_KEPT = 1000;

/** ms for a store request: answers usually take under 10 ms, now and then a few hundred. */
export const STORE_TIMEOUT_MS = 1500;

/** ms that one watch stays open: short, so that a watch stuck behind a network partition is soon replaced. */
export const WATCH_WAIT_MS = 10_000;

/** ms between two watches at least: collects changes, so that busy times do not use up the request rate. */
export const WATCH_PAUSE_MS = 40;

/**
 * ms between two watches while the nodes reach each other, and so learn of changes from the node that made them: what is left
 * to the watch is the expiry of store leases, which comes after seconds anyway. Below half a lease renewal period, so that
 * the renewal needs no read of its own.
 */
export const GOSSIP_WATCH_PAUSE_MS = 350;

/** ms before a replica that could not be loaded is loaded again, and before a watch that has failed is opened again. */
export const LOAD_RETRY_MS = 300;
export const WATCH_RETRY_MS = 500;

/** Rows a page when the replica is read: the store's own maximum. */
export const PAGE_ROWS = 1000;

/** Final records kept in memory; others are read from the store when asked for. */
export const MAX_CACHED_FINAL_RECORDS = 5000;

/** Pending mutations of one priority in one node: bounds memory in an outage of the store; more than one task a machine. */
export const MAX_PENDING_MUTATIONS = 10_000;

/** Urgent transactions of one priority in flight at once: one may hang without keeping the next waiting. */
export const MAX_IN_FLIGHT_TRANSACTIONS = 2;

/**
 * Share of the heartbeat interval for which exits of batch work are collected before they are packed: tasks run for tens of
 * seconds, and each transaction costs requests, writes of shared records, and messages to every node.
 */
export const BATCH_GATHER_SHARE = 0.06;

/** Mutations that did not fit, after which a transaction counts as full. */
export const MAX_OVERSIZED_MUTATIONS = 4;

/** Mutations evaluated for one transaction at most: bounds the processor time of one turn. */
export const MAX_EVALUATED_MUTATIONS = 200;

/** Share of the store's rates that one node may use by itself, until a 429 shows that others need them. */
export const RATE_SHARE = 0.8;

/** Factor on a node's own rate after a 429, and the share of its maximum that it regains in each second after. */
export const RATE_DECREASE = 0.6;
export const RATE_INCREASE = 0.2;

/** ms of waiting after which batch work leaves no reserve any more. */
export const BATCH_RESERVE_DECAY_MS = 1000;

/** ms for which batch work pauses after a 429, and the share of it after which urgent work tries again. */
export const BUSY_PAUSE_MS = 150;
export const URGENT_RETRY_SHARE = 0.2;

/** ms between two attempts in an outage of the store. */
export const OUTAGE_PAUSE_MS = 300;

/** Share by which pauses before a retry are drawn longer or shorter, so that nodes do not retry together. */
export const RETRY_JITTER_SHARE = 0.5;

/** ms after which a mutation that no transaction has taken is given up, unless its caller says otherwise. */
export const DEFAULT_COMMIT_TIMEOUT_MS = 60_000;

/**
 * Share of a second's writes that one transaction of several mutations may take. The store refuses a large one as long as
 * small ones of other nodes use up its rate, and here too it would wait for a token bucket that is never full.
 */
export const BATCH_TRANSACTION_SHARE = 0.3;

/** Writes that such a transaction may hold in any case: two jobs with their teams. */
export const MIN_BATCH_TRANSACTION_WRITES = 4;

/** Conditions that the store takes for each write that a transaction may hold. */
export const CONDITIONS_PER_WRITE = 4;

/** Bytes of a transaction: the store takes 64 KiB in total; some is left for the envelope. */
export const MAX_TRANSACTION_BYTES = 60_000;

/** ms between two checks of the rate by requests that wait for it. */
export const RATE_CHECK_PERIOD_MS = 25;

/** Share of a burst that batch work leaves for leases, users and services. */
export const URGENT_RESERVE_SHARE = 0.25;
