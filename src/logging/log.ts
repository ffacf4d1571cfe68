import { pino, type Logger } from 'pino';

export type Log = Pick<Logger, 'error' | 'warn' | 'info' | 'debug'>;

const LEVELS = ['error', 'info', 'debug'];

/** One line per event that an operator would ask about, to standard error, in the amount that LOG_LEVEL sets. */
export function createLog(node: string, level: string | undefined): Log {
  return pino(
    { level: level !== undefined && LEVELS.includes(level) ? level : 'info', base: { node }, timestamp: false },
    pino.destination({ dest: 2, sync: true }),
  );
}
