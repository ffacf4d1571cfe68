/** Scale out and in, and calls to the cloud. */

/** ms for a cloud request: scaling out takes longer than a store request. */
export const CLOUD_TIMEOUT_MS = 5000;

/** ms after a 429 of the cloud: its limit is a few calls a second; urgent requests are tried again after a fifth of that. */
export const CLOUD_BUSY_PAUSE_MS = 2000;

/** Failures of a task up to which its whole job counts as demand: some machines are faulty, but more often jobs are. */
export const FAILURES_WORTH_SCALING_OUT = 2;

/** ms for which a machine must look faulty before it is scaled in: by then it is known how the same jobs do on other machines. */
export const QUARANTINE_PATIENCE_MS = 4000;

/** Share of a zone's machines silent at once above which the zone counts as partitioned from the network. */
export const ZONE_CUT_SHARE = 0.5;

/** Times the silence limit after which a machine that no leader has heard of since a failover is scaled in. */
export const UNSEEN_SILENCE_LIMITS = 2;

/** ms for which a zone's machines are kept after most have come back: the last ones try other nodes first. */
export const ZONE_HEAL_MS = 30_000;

/** ms for which the machines of a partitioned zone are kept: longer than most partitions, and than scaling out elsewhere takes. */
export const ZONE_PATIENCE_MS = 120_000;

/** Times its boot time after which a machine that has never sent a heartbeat is scaled in. */
export const BOOT_PATIENCE = 3;

/** ms for which an idle machine beyond the reserve is kept: hysteresis against scaling out again. */
export const IDLE_SCALE_IN_MS = 180_000;

/** ms between two checks for idle machines. */
export const IDLE_CHECK_PERIOD_MS = 5000;

/** Share of all resources kept free as reserve for bursts: a machine takes longer to boot than work may wait. */
export const RESERVE_SHARE = 0.3;

/** Scale-out decisions in a row while requests are refused: roughly as many as there are kinds of offers to try. */
export const SCALE_OUT_ROUNDS = 4;

/** Machines scaled out at once for the reserve. */
export const MAX_RESERVE_AT_ONCE = 3;

/** ms between two reads of the cloud's list of machines. */
export const LIST_PERIOD_MS = 4000;

/** ms between two reads of the catalog: prices move, types hardly. */
export const CATALOG_PERIOD_MS = 30_000;

/** Machines scaled out by one decision: the protocol lets one request ask for 50, and demand counts only tasks that really wait. */
export const MAX_SCALE_OUT_AT_ONCE = 40;

/** ms between two scale-out decisions. */
export const SCALE_OUT_PERIOD_MS = 2000;

/** ms for which a machine type in a zone, spot or not, that had no capacity is not asked for again. */
export const NO_CAPACITY_MS = 15_000;

/** ms for which a refused rental is remembered: writes to the store may be delayed by seconds, and by minutes behind a network partition. */
export const REFUSED_RENTAL_KEPT_MS = 600_000;

/** ms between two lines that say how full the cluster is. */
export const STATUS_PERIOD_MS = 10_000;
