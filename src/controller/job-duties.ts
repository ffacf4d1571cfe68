/** Joins the duties that follow a job through its life: what users are told, what ends it, and the jobs that wait for it. */
import { JobLookup, type JobLookupDependencies } from '../api/job-lookup.js';
import { JobService, type JobServiceDependencies } from '../api/job-service.js';
import { DependencyProgress } from '../jobs/dependency-progress.js';
import { DependencyStates, type DependencyStatesDependencies } from '../jobs/dependency-states.js';
import { JobCompletion, type JobCompletionDependencies } from '../jobs/job-completion.js';
import { JobReactions, type JobReactionsDependencies } from '../jobs/job-reactions.js';

type Joined = 'states' | 'completion' | 'dependencyProgress' | 'lookup' | 'cancelDeadlineMs';

/** What the job duties need that they do not build themselves. */
export type JobDutiesDependencies = Omit<
  JobLookupDependencies &
    JobServiceDependencies &
    JobCompletionDependencies &
    JobReactionsDependencies &
    DependencyStatesDependencies,
  Joined
>;

/** The parts that accept jobs and bring them to their end. */
export interface JobDuties {
  /** Answers users. */
  readonly jobs: JobService;
  readonly completion: JobCompletion;
  readonly reactions: JobReactions;
  readonly dependencyProgress: DependencyProgress;
}

/** Builds the parts that accept jobs, advance them and record their end. */
export function createJobDuties(dependencies: JobDutiesDependencies): JobDuties {
  const states = new DependencyStates(dependencies);
  const completion = new JobCompletion({ ...dependencies, states });
  const dependencyProgress = new DependencyProgress({ ...dependencies, states });
  const reactions = new JobReactions({ ...dependencies, completion, dependencyProgress });
  const { cancelDeadlineMs } = dependencies.settings.cluster.workers;
  const lookup = new JobLookup({ ...dependencies, states, cancelDeadlineMs });
  const jobs = new JobService({ ...dependencies, states, lookup });
  return { jobs, completion, reactions, dependencyProgress };
}
