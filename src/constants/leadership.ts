/** Store leases, leadership terms and the handover of roles. */

/** Time to live of a store lease, ms: long enough for slow renewals (a few hundred ms), short enough for fast failover. */
export const STORE_LEASE_TTL_MS = 3000;

/** ms between lease renewals, each with a check of the replica's freshness; nearly four attempts fit into one lease. */
export const LEASE_RENEWAL_PERIOD_MS = 800;

/** Maximum ms since the replica and the leadership were confirmed for new starts and other decisions to be made. */
export const REPLICA_FRESH_MS = 2000;

/** ms by which degraded serving ends early: a worker accepts a response up to 4 s after it sent its heartbeat. */
export const DEGRADED_SERVING_MARGIN_MS = 2000;

/** Minimum ms between advances of a partition's fencing token: each makes every worker of the partition send a heartbeat. */
export const TOKEN_ADVANCE_PAUSE_MS = 5000;

/** Number of exits kept on one worker for which the fencing token is advanced at once: a status may have 64 KiB. */
export const MAX_KEPT_EXITS = 200;

/** Share of a partition's machines silent at the same time above which the fault is assumed to be the leader's, not theirs. */
export const LEADER_FAULT_SHARE = 0.4;

/** Minimum of silent workers from which a fault of the node itself is considered. */
export const MIN_SILENT_WORKERS = 2;

/** Minimum uptime of a partition's preferred node before the partition is handed over to it, ms. */
export const PREFERRED_NODE_UP_MS = 3000;

/** ms for which a node does not reacquire a partition that it released because its workers can't reach this node. */
export const AVOID_ROLE_MS = 15_000;

/** ms for which others leave a vacant role to its designated successor: time to read the leadership records and commit once. */
export const SUCCESSOR_HEAD_START_MS = 400;

/** ms between checks whether the responses to commands have arrived. */
export const DRAIN_CHECK_PERIOD_MS = 20;

/** Share of a handover's time limit that may be spent on waiting for responses to in-flight commands. */
export const DRAIN_TIME_SHARE = 1 / 3;

/**
 * ms that a node waits before it acquires a vacant role, for each partition that it already leads, and as the maximum of an
 * additional random wait: nodes that lead fewer partitions come first.
 */
export const VACANT_ROLE_WAIT_MS = 150;

/**
 * Additional ms that a node waits before it acquires a partition that it has never seen led, as after loading the records: the
 * preferred node is probably starting too, within about a second, and a partition acquired before that is soon handed over to
 * it, for which all its workers must reconnect.
 */
export const START_GRACE_MS = 1500;
