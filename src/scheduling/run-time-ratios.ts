/** Corrects estimated run times of jobs by the actual run times of tasks of the same job class. */
import { RUN_TIME_RATIO_WEIGHT } from '../constants/scheduling.js';
import type { JobSpec } from '../domain/job.js';

/** Upper bound on the ratio of one run, so that an outlier doesn't distort the average. */
const MAX_RUN_TIME_RATIO = 4;

/** Moving average of run time divided by estimate, by job class: the estimates of a class are often biased in one direction. */
export class RunTimeRatios {
  private readonly ratios = new Map<string, number>();

  /** Records that a task completed in `ranS` seconds. Jobs without an estimate are ignored. */
  record(spec: JobSpec, ranS: number): void {
    if (spec.estimatedRunS <= 0) return;
    const previous = this.ratios.get(spec.jobClass) ?? 1;
    const ratio = Math.min(ranS / spec.estimatedRunS, MAX_RUN_TIME_RATIO);
    this.ratios.set(spec.jobClass, previous + RUN_TIME_RATIO_WEIGHT * (ratio - previous));
  }

  /** Expected run time of a task of the job in seconds: its estimate times the average ratio of its class. */
  expectedRunS(spec: JobSpec): number {
    return spec.estimatedRunS * (this.ratios.get(spec.jobClass) ?? 1);
  }
}
