/** Store leases, terms of roles and their handover. */

/** ms of life of a claim's hold: long enough for a slow renewal (a few hundred ms), short enough for fast takeover. */
export const STORE_LEASE_TTL_MS = 3000;

/** ms between heartbeats (renewal and freshness check); nearly four tries fit into one hold. */
export const LEASE_RENEWAL_PERIOD_MS = 800;

/** ms within which replica and claim must have been confirmed for new starts and other decisions. */
export const REPLICA_FRESH_MS = 2000;

/** ms taken off the hold-over: a worker accepts an answer up to 4 s after it sent its report. */
export const DEGRADED_SERVING_MARGIN_MS = 2000;

/** ms between two raises of one part's fence: each makes every worker of the part report. */
export const TOKEN_ADVANCE_PAUSE_MS = 5000;

/** Share of a part's machines silent at once above which the node suspects itself, not the machines. */
export const SELF_SUSPECT_SHARE = 0.4;

/** Fewer silent workers than that say nothing of the node. */
export const LEAST_SILENT_WORKERS = 2;

/** ms before a part that is not the node's own is given back to its node: the node must be up for that long. */
export const PREFERRED_NODE_UP_MS = 3000;

/** ms for which a node does not take a part again that it gave up because workers don't reach it. */
export const AVOID_ROLE_MS = 15_000;

/** ms that others leave a vacant role to its designated successor: a look at the claims and one transaction. */
export const SUCCESSOR_HEAD_START_MS = 400;

/** ms between two looks at whether the answers to commands have come. */
export const DRAIN_CHECK_PERIOD_MS = 20;

/** Share of the time for a handover in which the answers to launches that are out are waited for. */
export const DRAIN_SHARE = 1 / 3;

/** ms that a node waits with taking an orphaned part of another node: prefers that its own node comes. */
export const VACANT_ROLE_WAIT_MS = 150;

/**
 * ms that a node which has just read the records waits longer with taking a partition that it has never seen claimed: its own
 * node probably starts as well, a second sooner or later, and a partition taken in between is given back at once, for which
 * all its workers must connect anew.
 */
export const START_GRACE_MS = 1500;
