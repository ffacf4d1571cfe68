/** Counts refusals by kind and reason, and logs them at a bounded rate. */
import { EventCounts } from './event-counts.js';
import type { Log } from './log.js';

/** Minimum ms between two log lines about refusals of the same kind and reason. */
const LOG_PERIOD_MS = 5000;

/** One request that was not answered, and why. */
export interface Refusal {
  /** What was refused, for example `query`. */
  kind: string;
  reason: string;
  /** ms from the arrival of the request to the refusal; absent if it was refused at once. */
  ageMs?: number;
  /** Further fields of the log line, such as the job. */
  fields?: object;
}

/** Where users' requests and heartbeats that can't be answered are recorded. */
export class RefusalLog {
  private readonly counts = new EventCounts();
  /** Monotonic ms of the last line, by kind and reason. */
  private readonly loggedAt = new Map<string, number>();

  constructor(
    /** Monotonic ms. */
    private readonly now: () => number,
    private readonly log: Log,
  ) {}

  record({ kind, reason, ageMs, fields }: Refusal): void {
    const name = `${kind}: ${reason}`;
    this.counts.record(name);
    const nowMs = this.now();
    if (nowMs - (this.loggedAt.get(name) ?? -Infinity) < LOG_PERIOD_MS) return;
    this.loggedAt.set(name, nowMs);
    const age = ageMs === undefined ? {} : { ageMs: Math.round(ageMs) };
    this.log.info({ kind, reason, ...age, ...fields }, 'request refused');
  }

  /** Returns the counts by kind and reason since the last call. */
  takeCounts(): Record<string, number> {
    return this.counts.take();
  }
}
