/** Scale out and in, and calls to the cloud. */

/** ms for a cloud request: rentals take longer than state requests. */
export const CLOUD_TIMEOUT_MS = 5000;

/** ms after a 429 of the cloud: its limit is a few calls a second; what is urgent tries again after a fifth of that. */
export const CLOUD_BUSY_PAUSE_MS = 2000;

/** Failures of a task up to which machines are rented for all its job: some machines are faulty, more often jobs are. */
export const FAILURES_WORTH_SCALING_OUT = 2;

/** ms for which a machine must look sick before it is given back: what the same jobs do on others' machines is told by then. */
export const QUARANTINE_PATIENCE_MS = 4000;

/** Share of a zone's machines silent at once above which the zone counts as cut off. */
export const ZONE_CUT_SHARE = 0.5;

/** Times the limit of silence after which a machine that no owner has heard since a takeover is given back. */
export const UNHEARD_SILENCE_LIMITS = 2;

/** ms for which a zone's machines are spared after most have come back: the last ones try other nodes first. */
export const ZONE_HEAL_MS = 30_000;

/** ms for which the machines of a zone that is cut off are kept: longer than most cuts, and than renting others takes. */
export const ZONE_PATIENCE_MS = 120_000;

/** ms after its rental until a machine that never reported is given back: many times its boot time is `BootS` * this. */
export const BOOT_PATIENCE = 3;

/** ms an idle machine beyond the wanted reserve is kept (hysteresis against renting again). */
export const IDLE_SCALE_IN_MS = 180_000;

/** ms between two looks for idle machines. */
export const IDLE_CHECK_PERIOD_MS = 5000;

/** Share of all room kept free as reserve for bursts: a machine takes longer to boot than work may wait. */
export const RESERVE_SHARE = 0.3;

/** Looks at renting in a row while requests are refused: as many as there are kinds of offers to try, roughly. */
export const SCALE_OUT_ROUNDS = 4;

/** Machines rented at once for the reserve. */
export const MAX_RESERVE_AT_ONCE = 3;

/** ms between two looks at the cloud's list. */
export const LIST_PERIOD_MS = 4000;

/** ms between two looks at the catalogue: prices move, types hardly. */
export const CATALOG_PERIOD_MS = 30_000;

/** Machines rented by one decision: the protocol lets one request ask for 50, and need is what really waits. */
export const MAX_SCALE_OUT_AT_ONCE = 40;

/** ms between two decisions about renting. */
export const SCALE_OUT_PERIOD_MS = 2000;

/** ms for which a refused type, zone and kind is not asked for again. */
export const NO_CAPACITY_MS = 15_000;

/** ms for which a refused rental is remembered: writes to the store come late by seconds, behind a cut by minutes. */
export const REFUSED_RENTAL_KEPT_MS = 600_000;

/** ms between two lines that say how full the cluster is. */
export const STATUS_PERIOD_MS = 10_000;
