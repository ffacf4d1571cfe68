/** The store client, the replica, and transactions. */

/** Deleted keys that a replica keeps for peers with older replicas: a few seconds' worth of ended jobs under high load. */
export const TOMBSTONES_KEPT = 1000;

/** Timeout of a store request, ms: responses usually take less than 10 ms, occasionally a few hundred. */
export const STORE_TIMEOUT_MS = 1500;

/** ms for which a watch stays open: short, so that a watch that is stuck in a network partition is soon replaced. */
export const WATCH_WAIT_MS = 10_000;

/** Minimum ms between watches: changes are collected, so that high load does not use up the request rate. */
export const WATCH_PAUSE_MS = 40;

/**
 * ms between watches while all nodes reach each other, and so get changes from the node that made them: the watch is then only
 * needed for the expiry of store leases, which takes seconds anyway. Less than half a lease renewal period, so that the renewal
 * needs no read of its own.
 */
export const GOSSIP_WATCH_PAUSE_MS = 350;

/** ms before a failed load of the replica is retried, and before a failed watch is reopened. */
export const LOAD_RETRY_MS = 300;
export const WATCH_RETRY_MS = 500;

/** Rows per page when the replica is loaded: the store's maximum. */
export const PAGE_ROWS = 1000;

/** Maximum of final records cached in memory; others are read from the store when needed. */
export const MAX_CACHED_FINAL_RECORDS = 5000;

/** Maximum of pending mutations of one priority in a node: bounds memory in a store outage; above one task per machine. */
export const MAX_PENDING_MUTATIONS = 10_000;

/** Maximum of in-flight transactions of one urgent priority: with two, one may hang without delaying the next. */
export const MAX_IN_FLIGHT_TRANSACTIONS = 2;

/**
 * Share of the heartbeat interval for which exits of batch tasks are collected before they are packed: tasks run for tens of
 * seconds, and each transaction costs requests, writes of shared records, and messages to every node.
 */
export const EXIT_BATCHING_SHARE = 0.06;

/** Number of mutations that did not fit after which a transaction counts as full. */
export const MAX_OVERSIZED_MUTATIONS = 4;

/** Maximum of mutations evaluated for one transaction: bounds the CPU time of one event loop turn. */
export const MAX_EVALUATED_MUTATIONS = 200;

/** Share of the store's rate limits that one node may use, until a 429 shows that other nodes need them. */
export const NODE_RATE_SHARE = 0.8;

/** Factor on a node's rate after a 429, and the share of its maximum rate that it regains per second. */
export const RATE_DECREASE_FACTOR = 0.6;
export const RATE_RECOVERY_SHARE = 0.2;

/** ms of waiting after which a batch request no longer leaves a reserve of tokens. */
export const BATCH_RESERVE_DECAY_MS = 1000;

/** Pause of batch requests after a 429, ms, and the share of that pause after which urgent requests are retried. */
export const BUSY_PAUSE_MS = 150;
export const URGENT_RETRY_SHARE = 0.2;

/** ms between attempts in a store outage. */
export const OUTAGE_PAUSE_MS = 300;

/** Jitter of the pauses before a retry, as a share, so that nodes do not retry at the same time. */
export const RETRY_JITTER_SHARE = 0.5;

/** Default ms after which a mutation that has not been committed is given up. */
export const DEFAULT_COMMIT_TIMEOUT_MS = 60_000;

/**
 * Maximum of writes in a transaction of several mutations, as a share of the writes per second. The store refuses a large
 * transaction while small ones of other nodes use up its rate, and the node's own token bucket would rarely hold enough tokens.
 */
export const BATCH_TRANSACTION_SHARE = 0.3;

/** Writes that a transaction of several mutations may always contain: two jobs with their teams. */
export const MIN_BATCH_TRANSACTION_WRITES = 4;

/** Maximum of conditions in a transaction, per write that a transaction may contain: the store's limit. */
export const CONDITIONS_PER_WRITE = 4;

/** Maximum size of a transaction, bytes: the store accepts 64 KiB in total, of which some is left for the envelope. */
export const MAX_TRANSACTION_BYTES = 60_000;

/** Maximum length of a key, bytes: the store's limit. */
export const MAX_KEY_BYTES = 200;

/** Maximum ms between checks whether a waiting request can be granted its tokens. */
export const RATE_CHECK_PERIOD_MS = 25;

/** Share of a burst that batch requests leave for leases, user requests and services. */
export const URGENT_RESERVE_SHARE = 0.25;
