/** Sizes of records in the store, and periods of their upkeep. */

/** Writes that the end of a job takes at least: its final record, and the deletion of its live one. */
export const END_WRITES = 2;

/** Bytes of one task's placement in a chunk, a safe upper bound used to size chunks. */
export const PLACEMENT_BYTES = 64;

/** Bytes of a job's record beside its specification and the ids of its dependencies, a safe upper bound. */
export const RECORD_ENVELOPE_BYTES = 200;

/**
 * Share of a team's limit up to which exits leave its record as it is: below, the record may count tasks that have ended for as
 * long as nothing of the team starts, and a start still finds room.
 */
export const DEFERRED_EXIT_SHARE = 0.7;

/** ms between two checks for team records that say more than the team's tasks use: that of an idle team is corrected within a second or two. */
export const TEAM_SETTLEMENT_PERIOD_MS = 1000;

/** Tasks in a chunk of placements at most: larger chunks cost processor time at every change. */
export const MAX_CHUNK_TASKS = 64;

/** ms between two sweeps for jobs that are over: `done` may be 3 s late. */
export const FINISH_PERIOD_MS = 700;

/** ms between two checks of the record format that the controllers read, until all are known to read the present one. */
export const FORMAT_CHECK_PERIOD_MS = 2000;

/** ms between two sweeps over jobs that wait for others: they find only what an event has missed. */
export const DEPENDENCY_SWEEP_MS = 1000;

/** Share of a cancellation's deadline within which a replica must have been complete to report a waiting job as queued. */
export const QUEUED_FRESH_SHARE = 0.5;
