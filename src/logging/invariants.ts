/** Reports violated invariants: they are logged and counted, and never end the process. */
import { EventCounts } from './event-counts.js';
import type { Log } from './log.js';

/** The message of the log line about a violated invariant. */
export const INVARIANT_VIOLATED = 'invariant violated';

/** The invariants of one process. */
export class Invariants {
  private readonly counts = new EventCounts();

  constructor(private readonly log: Log) {}

  /** Records that the invariant does not hold; `fields` say where. */
  violated(invariant: string, fields: object): void {
    this.counts.record(invariant);
    this.log.error({ invariant, ...fields }, INVARIANT_VIOLATED);
  }

  /** Returns the number of violations by invariant since the last call. */
  takeCounts(): Record<string, number> {
    return this.counts.take();
  }
}
