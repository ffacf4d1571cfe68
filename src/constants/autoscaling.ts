/** Scaling out and in, and calls to the cloud. */

/** Timeout of a cloud request, ms: scaling out takes longer than a store request. */
export const CLOUD_TIMEOUT_MS = 5000;

/** Pause after a 429 of the cloud, ms: its limit is a few calls per second. Urgent requests are retried after a fifth of this. */
export const CLOUD_BUSY_PAUSE_MS = 2000;

/** Failures of a task up to which all pending tasks of its job count as demand: more are usually the job's own fault. */
export const MAX_FAILURES_FOR_SCALE_OUT = 2;

/** ms for which a machine must seem faulty before it is scaled in: by then the same jobs have run on other machines. */
export const FAULTY_MACHINE_SCALE_IN_MS = 4000;

/** Share of a zone's machines with late heartbeats above which the zone counts as isolated by a network partition. */
export const ZONE_ISOLATION_SHARE = 0.5;

/** Multiple of the usual limit (`unresponsiveAfterMs`) after which a machine without heartbeats since a failover is scaled in. */
export const UNSEEN_MACHINE_SILENCE_FACTOR = 2;

/** ms for which an isolated zone's machines are kept after most of them have reconnected: the last ones try other nodes first. */
export const ZONE_RECOVERY_MS = 30_000;

/** ms for which an isolated zone's unresponsive machines are kept: longer than most partitions and scaling out elsewhere take. */
export const ISOLATED_ZONE_RETENTION_MS = 120_000;

/** Multiple of its type's boot time after which a machine that has never sent a heartbeat is scaled in. */
export const BOOT_TIMEOUT_FACTOR = 3;

/** ms for which an idle machine beyond the reserve is kept, so that scaling out does not have to replace it soon afterwards. */
export const IDLE_SCALE_IN_MS = 180_000;

/** ms between checks for idle machines. */
export const IDLE_CHECK_PERIOD_MS = 5000;

/** Share of all resources kept free for bursts: a machine takes longer to boot than tasks may wait. */
export const RESERVE_SHARE = 0.3;

/** Maximum of consecutive scale-out decisions while requests are refused: roughly the number of different offers to try. */
export const SCALE_OUT_ROUNDS = 4;

/** Maximum of machines scaled out at once for the reserve. */
export const MAX_RESERVE_AT_ONCE = 3;

/** ms between reads of the cloud's list of machines. */
export const LIST_PERIOD_MS = 4000;

/** ms between reads of the catalog: prices change often, machine types rarely. */
export const CATALOG_PERIOD_MS = 30_000;

/** Maximum of machines scaled out by one decision: the protocol allows 50 per request, and demand counts only waiting tasks. */
export const MAX_SCALE_OUT_AT_ONCE = 40;

/** ms between scale-out decisions. */
export const SCALE_OUT_PERIOD_MS = 2000;

/** ms for which an offer (machine type, zone, spot or not) without capacity is not requested again. */
export const NO_CAPACITY_BACKOFF_MS = 15_000;

/** ms for which a refused rental is remembered: store writes may be delayed by seconds, and by minutes in a network partition. */
export const REFUSED_RENTAL_KEPT_MS = 600_000;

/** ms between log lines with the cluster's status. */
export const STATUS_PERIOD_MS = 10_000;
