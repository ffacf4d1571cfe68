/** The log of the controllers in scenarios: it keeps the violated invariants and discards everything else. */
import { INVARIANT_VIOLATED } from '../src/logging/invariants.js';
import type { Log } from '../src/logging/log.js';
import { noLog } from './fixtures.js';

const violations: string[] = [];

export const invariantLog: Log = {
  ...noLog,
  error: (fields: unknown, message?: string) => {
    if (message === INVARIANT_VIOLATED) violations.push(`${message}: ${JSON.stringify(fields)}`);
  },
};

/** Returns the violations since the last call. */
export const takeViolatedInvariants = (): string[] => violations.splice(0);
