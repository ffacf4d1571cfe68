/** The program's log: one JSON line for each event of interest to operators. */
import { performance } from 'node:perf_hooks';

import { type Logger, pino } from 'pino';

/** The logging interface of the program's components: fields first, then a short message. */
export type Log = Pick<Logger, 'error' | 'warn' | 'info' | 'debug'>;

const LEVELS: readonly string[] = ['error', 'info', 'debug'];
const DEFAULT_LEVEL = 'info';

/** Creates a log to standard error, with the node and its monotonic time (ms) in each line. An unknown level (LOG_LEVEL) counts as `info`. */
export function createLog(node: string, level: string | undefined): Log {
  const isKnown = level !== undefined && LEVELS.includes(level);
  return pino(
    {
      level: isKnown ? level : DEFAULT_LEVEL,
      base: { node },
      timestamp: () => `,"monotonicMs":${Math.round(performance.now())}`,
    },
    pino.destination({ dest: 2, sync: true }),
  );
}
