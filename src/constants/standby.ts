/** The warm standby. */

/** ms between runs of the warm standby: each sends what has changed, and detects pauses of the process. */
export const STANDBY_PERIOD_MS = 250;

/** ms between requests of a follower, and ms without a request after which nothing is sent to a follower any more. */
export const FOLLOW_PERIOD_MS = 1000;
export const FOLLOWER_TIMEOUT_MS = 5000;

/** ms between collections of advisory data (checks, idle machines) for followers: not more often than workers send heartbeats. */
export const ADVISORY_COLLECTION_PERIOD_MS = 1000;
