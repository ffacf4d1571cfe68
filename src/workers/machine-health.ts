import {
  FAILED_JOB_BACKOFF_BASE_MS,
  FAILED_JOB_BACKOFF_MAX_MS,
  MIN_FAILED_JOBS_FOR_QUARANTINE,
  QUARANTINE_MS,
} from '../constants/workers.js';

interface JobFailures {
  count: number;
  /** Monotonic ms of the last failure that counted. */
  lastFailureAt: number;
  /** Monotonic ms until which the job's tasks avoid the machine. */
  backoffUntil: number;
}

/**
 * Failures of tasks on a machine, and for how long it takes no new work because of them. All times are monotonic ms.
 */
export class MachineHealth {
  /** Until when the machine takes no new work because it refused a launch. */
  backoffUntil = -Infinity;
  private quarantinedUntil = -Infinity;
  /** Jobs whose tasks have failed here since the last success of any task, by job id. */
  private readonly failures = new Map<string, JobFailures>();

  /** Records that a task ended by itself; a success ends the quarantine. */
  recordExit(jobId: string, ending: 'done' | 'failed', now: number): void {
    if (ending === 'failed') {
      this.recordFailure(jobId, now);
      return;
    }
    this.failures.clear();
    this.quarantinedUntil = -Infinity;
  }

  /**
   * Ids of jobs that should try other machines first; for a quarantined machine, all jobs whose failures led to the
   * quarantine.
   */
  failedJobs(now: number): string[] {
    const isQuarantined = this.isQuarantined(now);
    return [...this.failures]
      .filter(([, { backoffUntil }]) => isQuarantined || now < backoffUntil)
      .map(([jobId]) => jobId);
  }

  /** Whether the machine takes no new work because tasks of several jobs failed there. */
  isQuarantined(now: number): boolean {
    return now < this.quarantinedUntil;
  }

  private recordFailure(jobId: string, now: number): void {
    for (const [failedJobId, { lastFailureAt }] of this.failures)
      if (now - lastFailureAt > QUARANTINE_MS) this.failures.delete(failedJobId);
    const previous = this.failures.get(jobId);
    // Tasks of one job that fail together count as one failure.
    if (previous !== undefined && now < previous.backoffUntil) return;
    const count = (previous?.count ?? 0) + 1;
    const backoffUntil = now + Math.min(FAILED_JOB_BACKOFF_MAX_MS, FAILED_JOB_BACKOFF_BASE_MS * 2 ** (count - 1));
    this.failures.set(jobId, { count, lastFailureAt: now, backoffUntil });
    if (this.failures.size >= MIN_FAILED_JOBS_FOR_QUARANTINE) this.quarantinedUntil = now + QUARANTINE_MS;
  }
}
