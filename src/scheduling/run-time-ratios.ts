/** Corrects the estimated run times of jobs by what the tasks of the same job class took. */
import { RUN_TIME_RATIO_WEIGHT } from '../constants/scheduling.js';
import type { JobSpec } from '../domain/job.js';

/** One outlier must not distort the average: a run counts as at most so many times its estimate. */
const MAX_RUN_TIME_RATIO = 4;

/** Moving average of run time over estimate, by job class: estimates of a class are often wrong all in the same direction. */
export class RunTimeRatios {
  private readonly ratios = new Map<string, number>();

  /** Takes in a task that ran to its end in `ranS` seconds. Jobs without an estimate teach nothing. */
  record(spec: JobSpec, ranS: number): void {
    if (spec.estimatedRunS <= 0) return;
    const previous = this.ratios.get(spec.jobClass) ?? 1;
    const ratio = Math.min(ranS / spec.estimatedRunS, MAX_RUN_TIME_RATIO);
    this.ratios.set(spec.jobClass, previous + RUN_TIME_RATIO_WEIGHT * (ratio - previous));
  }

  /** Seconds that a task of the job is expected to run: its estimate, corrected by its class. */
  expectedRunS(spec: JobSpec): number {
    return spec.estimatedRunS * (this.ratios.get(spec.jobClass) ?? 1);
  }
}
