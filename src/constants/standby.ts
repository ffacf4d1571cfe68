/** The warm standby. */

/** ms between two looks of the warm standby: it sends what changed, and notices pauses of the process. */
export const STANDBY_PERIOD_MS = 250;

/** ms between two requests of a follower, and ms after which one that asks no more is sent nothing. */
export const FOLLOW_PERIOD_MS = 1000;
export const FOLLOWER_TIMEOUT_MS = 5000;

/** ms between two collections of what followers are told of checks and idle machines: as often as workers report at most. */
export const ADVICE_PERIOD_MS = 1000;
