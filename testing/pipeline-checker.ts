/** The rules about jobs that wait for others, as the invariant checker asks for them: what came before what. */

import type { Submission } from './submission-wire-codec.js';

/** What the invariant checker knows of a job. */
export interface CheckedJob {
  spec?: Pick<Submission, 'taskCount' | 'dependencies'>;
  done: ReadonlySet<number>;
  cancelledAt?: number;
  cancelAskedAt?: number;
}

/** Looks at a job together with all that it depends on. */
export class PipelineChecker {
  constructor(
    private readonly jobOf: (jobId: string) => CheckedJob | undefined,
    /** ms within which a cancellation must have reached the jobs after it. */
    private readonly cancelMs: number,
  ) {}

  /** A job before this one of which not all tasks are done, if there is any. */
  openPredecessor(job: CheckedJob): string | undefined {
    return job.spec?.dependencies?.find((jobId) => {
      const before = this.jobOf(jobId);
      return before?.spec === undefined || before.done.size < before.spec.taskCount;
    });
  }

  /** A job before this one that was never submitted, if there is any. */
  unknownPredecessor(job: CheckedJob): string | undefined {
    return job.spec?.dependencies?.find((jobId) => this.jobOf(jobId)?.spec === undefined);
  }

  /** Has a user asked to cancel a job before this one, directly or through others? */
  mayBeCancelled(job: CheckedJob): boolean {
    return this.before(job).some(({ cancelAskedAt }) => cancelAskedAt !== undefined);
  }

  /** Has the user of a job before this one been told that it is cancelled? Its tasks may all have ended by then. */
  isCancelled(job: CheckedJob): boolean {
    return this.before(job).some(({ cancelledAt }) => cancelledAt !== undefined);
  }

  /** ms since the user of a job before this one was told of its cancellation, where that is longer than allowed. */
  orphanedForMs(job: CheckedJob, at: number): number | undefined {
    const ages = this.before(job).map(({ cancelledAt }) => at - (cancelledAt ?? Infinity));
    const longest = Math.max(...ages, -Infinity);
    return longest > this.cancelMs ? longest : undefined;
  }

  private before(job: CheckedJob): CheckedJob[] {
    const found = new Set(job.spec?.dependencies ?? []);
    const jobs: CheckedJob[] = [];
    for (const jobId of found) {
      const before = this.jobOf(jobId);
      if (before === undefined) continue;
      jobs.push(before);
      // A set hands out what is added to it while it is looked through.
      for (const each of before.spec?.dependencies ?? []) found.add(each);
    }
    return jobs;
  }
}
