/** Dependencies between jobs, for the invariant checker's rules on the order of jobs. */

import type { Submission } from './submission-wire-codec.js';

/** The part of an observed job that the dependency rules need. */
export interface CheckedJob {
  spec?: Pick<Submission, 'taskCount' | 'dependencies'>;
  done: ReadonlySet<number>;
  cancelledAt?: number;
  cancelRequestedAt?: number;
}

/** Evaluates a job together with the jobs that it depends on. */
export class PipelineChecker {
  constructor(
    private readonly jobOf: (jobId: string) => CheckedJob | undefined,
    /** ms within which a cancellation must have spread to all dependent jobs. */
    private readonly cancelMs: number,
  ) {}

  /** A direct dependency of the job with unfinished tasks, if there is any. */
  unfinishedDependency(job: CheckedJob): string | undefined {
    return job.spec?.dependencies?.find((jobId) => {
      const dependency = this.jobOf(jobId);
      return dependency?.spec === undefined || dependency.done.size < dependency.spec.taskCount;
    });
  }

  /** A direct dependency of the job that was never submitted, if there is any. */
  unknownDependency(job: CheckedJob): string | undefined {
    return job.spec?.dependencies?.find((jobId) => this.jobOf(jobId)?.spec === undefined);
  }

  /** Has the cancellation of a direct or indirect dependency been requested? */
  mayBeCancelled(job: CheckedJob): boolean {
    return this.allDependencies(job).some(({ cancelRequestedAt }) => cancelRequestedAt !== undefined);
  }

  /** Has the cancellation of a dependency been confirmed to its user? All its tasks may have ended by then. */
  isCancelled(job: CheckedJob): boolean {
    return this.allDependencies(job).some(({ cancelledAt }) => cancelledAt !== undefined);
  }

  /** ms since the cancellation of a dependency was confirmed, if that is longer than allowed. */
  orphanedForMs(job: CheckedJob, at: number): number | undefined {
    const ages = this.allDependencies(job).map(({ cancelledAt }) => at - (cancelledAt ?? Infinity));
    const longest = Math.max(...ages, -Infinity);
    return longest > this.cancelMs ? longest : undefined;
  }

  private allDependencies(job: CheckedJob): CheckedJob[] {
    const found = new Set(job.spec?.dependencies ?? []);
    const jobs: CheckedJob[] = [];
    for (const jobId of found) {
      const dependency = this.jobOf(jobId);
      if (dependency === undefined) continue;
      jobs.push(dependency);
      // Iteration over a set also visits elements that are added during it.
      for (const each of dependency.spec?.dependencies ?? []) found.add(each);
    }
    return jobs;
  }
}
