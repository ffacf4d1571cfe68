/** What the program says of itself. */

/** Name and version shown by `--version`. */
export const VERSION = '0.1.0';
