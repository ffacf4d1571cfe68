/** Sizes of records in the store, and periods of their maintenance. */

/** Writes that every end of a job needs: its final record, and the deletion of its live record. */
export const MIN_JOB_END_WRITES = 2;

/** Upper bound of one task's placement in a chunk, bytes; used to size chunks. */
export const PLACEMENT_BYTES = 64;

/** Upper bound of a job's record without its specification and the ids of its dependencies, bytes. */
export const RECORD_ENVELOPE_BYTES = 200;

/**
 * Share of a team's limit up to which exits do not update the team's usage record: until the team's next start, the record may
 * still count tasks that have ended, but this leaves enough room for a start.
 */
export const DEFERRED_EXIT_SHARE = 0.7;

/** ms between checks for team records that overstate the usage: that of an idle team is corrected within a second or two. */
export const TEAM_SETTLEMENT_PERIOD_MS = 1000;

/** Maximum of tasks in a chunk of placements: larger chunks cost more CPU time at each change. */
export const MAX_CHUNK_TASKS = 64;

/** ms between sweeps for finished jobs: `done` may be reported up to 3 s late. */
export const FINISHED_JOB_SWEEP_PERIOD_MS = 700;

/** ms between checks of the record formats that the controllers read, until all are known to read the current one. */
export const FORMAT_CHECK_PERIOD_MS = 2000;

/** ms between sweeps over jobs that wait for others: they only catch what the events have missed. */
export const DEPENDENCY_SWEEP_PERIOD_MS = 1000;

/** Maximum age of a complete replica for accepting a job with dependencies, as a share of the cancellation deadline. */
export const SUBMISSION_REPLICA_AGE_SHARE = 0.5;
