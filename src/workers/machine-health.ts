import {
  FAILED_JOB_BACKOFF_BASE_MS,
  FAILED_JOB_BACKOFF_MAX_MS,
  QUARANTINE_ERRORS,
  QUARANTINE_MS,
} from '../constants/workers.js';

interface JobFailures {
  count: number;
  /** Steady ms of the last one that counted. */
  at: number;
  /** Steady ms until which the job is kept off the machine. */
  until: number;
}

/** Failures of tasks on a machine, and how long it takes no new work for them. All times are steady ms. */
export class MachineHealth {
  /** Until when no new work comes here after a launch was refused. */
  backoffUntil = -Infinity;
  private quarantinedUntil = -Infinity;
  /** Jobs whose tasks failed here in a row without a success in between. */
  private readonly failures = new Map<string, JobFailures>();

  /** A task of a job ended by itself; a success ends the quarantine. */
  recordExit(jobId: string, ending: 'done' | 'failed', now: number): void {
    if (ending === 'failed') {
      this.recordFailure(jobId, now);
      return;
    }
    this.failures.clear();
    this.quarantinedUntil = -Infinity;
  }

  /** Jobs that are to look elsewhere first; of a quarantined machine, all whose failures led to that. */
  failedJobs(now: number): string[] {
    const isQuarantined = this.isQuarantined(now);
    return [...this.failures].filter(([, { until }]) => isQuarantined || now < until).map(([jobId]) => jobId);
  }

  /** Does the machine take no new work, since tasks of several jobs failed there? */
  isQuarantined(now: number): boolean {
    return now < this.quarantinedUntil;
  }

  private recordFailure(jobId: string, now: number): void {
    for (const [failedJobId, { at }] of this.failures) if (now - at > QUARANTINE_MS) this.failures.delete(failedJobId);
    const known = this.failures.get(jobId);
    // Tasks of one job that fail together count once.
    if (known !== undefined && now < known.until) return;
    const count = (known?.count ?? 0) + 1;
    const until = now + Math.min(FAILED_JOB_BACKOFF_MAX_MS, FAILED_JOB_BACKOFF_BASE_MS * 2 ** (count - 1));
    this.failures.set(jobId, { count, at: now, until });
    if (this.failures.size >= QUARANTINE_ERRORS) this.quarantinedUntil = now + QUARANTINE_MS;
  }
}
