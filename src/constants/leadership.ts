/** Store leases, leadership terms and their handover. */

/** Time to live of a store lease, ms: long enough for a slow renewal (a few hundred ms), short enough for a fast failover. */
export const STORE_LEASE_TTL_MS = 3000;

/** ms between lease renewals, each with a check of freshness; nearly four attempts fit into one lease. */
export const LEASE_RENEWAL_PERIOD_MS = 800;

/** ms within which replica and leadership must have been confirmed for new starts and other decisions. */
export const REPLICA_FRESH_MS = 2000;

/** ms taken off the time of degraded serving: a worker accepts an answer up to 4 s after it sent its heartbeat. */
export const DEGRADED_SERVING_MARGIN_MS = 2000;

/** ms between two advances of a partition's fencing token: each makes every worker of the partition send a heartbeat. */
export const TOKEN_ADVANCE_PAUSE_MS = 5000;

/** Share of a partition's machines silent at once above which the node suspects itself, not the machines. */
export const SELF_SUSPECT_SHARE = 0.4;

/** Fewer silent workers than this say nothing about the node. */
export const LEAST_SILENT_WORKERS = 2;

/** ms for which a partition's preferred node must be up before the partition is handed over to it. */
export const PREFERRED_NODE_UP_MS = 3000;

/** ms for which a node does not acquire a partition again that it released because workers don't reach it. */
export const AVOID_ROLE_MS = 15_000;

/** ms for which others leave a vacant role to its designated successor: a read of the leadership records and one transaction. */
export const SUCCESSOR_HEAD_START_MS = 400;

/** ms between two checks whether the answers to commands have arrived. */
export const DRAIN_CHECK_PERIOD_MS = 20;

/** Share of the time for a handover in which answers to launches in flight are awaited. */
export const DRAIN_SHARE = 1 / 3;

/** ms that a node waits before it acquires a vacant partition of another node, so that the preferred node may come first. */
export const VACANT_ROLE_WAIT_MS = 150;

/**
 * ms that a node which has just loaded the records waits longer before it acquires a partition that it has never seen led: the
 * preferred node probably starts as well, a second sooner or later, and a partition acquired in between is handed over at
 * once, for which all its workers must reconnect.
 */
export const START_GRACE_MS = 1500;
