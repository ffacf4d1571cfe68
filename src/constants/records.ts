/** Records in the store, and their sizes. */

/** Changes that the end of a job takes at least: its final record, and the drop of its live one. */
export const END_WRITES = 2;

/** Bytes of one shard's entry in a ledger chunk, a safe upper bound used to size chunks. */
export const PLACEMENT_BYTES = 64;

/** Bytes of a job's record beside its submission and the names of its predecessors, a safe upper bound. */
export const RECORD_ENVELOPE_BYTES = 200;

/**
 * Share of a team's limit up to which exits leave its record as it is: below, the record may count tasks that have ended for as
 * long as nothing of the team starts, and a start still finds room.
 */
export const DEFERRED_EXIT_SHARE = 0.7;

/** ms between two looks at records of teams that say more than their tasks use: a quiet team's is right a second or two later. */
export const TEAM_SETTLEMENT_PERIOD_MS = 1000;

/** Shards a ledger chunk at most: larger chunks cost processor time at every change. */
export const MAX_CHUNK_TASKS = 64;

/** ms between two sweeps for jobs that are over: `done` may be 3 s late. */
export const FINISH_PERIOD_MS = 700;

/** ms between two looks at which form of records the controllers read, until all are known to read the present one. */
export const FORMAT_CHECK_PERIOD_MS = 2000;

/** ms between two looks at jobs that wait for others: only what an event has missed is found so. */
export const DEPENDENCY_SWEEP_MS = 1000;

/** Share of a cancellation's time within which a copy must have been complete to call a job that waits for others queued. */
export const QUEUED_FRESH_SHARE = 0.5;
