/** The program's identity. */

/** The version shown by `--version`. */
export const VERSION = '0.1.0';
