/** The warm standby. */

/** ms between two runs of the warm standby: it sends what has changed, and detects pauses of the process. */
export const STANDBY_PERIOD_MS = 250;

/** ms between two requests of a follower, and ms after which one that sends no more requests is sent nothing. */
export const FOLLOW_PERIOD_MS = 1000;
export const FOLLOWER_TIMEOUT_MS = 5000;

/** ms between two collections of the advice on checks and idle machines for followers: no more often than workers send heartbeats. */
export const ADVISORY_COLLECTION_PERIOD_MS = 1000;
