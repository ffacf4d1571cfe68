/** The program's identity, and its report about itself. */

/** The version shown by `--version`. */
export const VERSION = '0.1.0';

/** ms between two "node status" log lines. */
export const NODE_STATUS_PERIOD_MS = 10_000;
