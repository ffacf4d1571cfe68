/** Joins the duties that follow a job through its life: what users are told, what ends it, and the jobs that wait for it. */
import { JobLookup, type JobLookupDependencies } from '../api/job-lookup.js';
import { JobService, type JobServiceDependencies } from '../api/job-service.js';
import { JobCompletion, type JobCompletionDependencies } from '../jobs/job-completion.js';
import { JobReactions, type JobReactionsDependencies } from '../jobs/job-reactions.js';
import { DependencyProgress } from '../jobs/dependency-progress.js';
import { DependencyStates, type DependencyStatesDependencies } from '../jobs/dependency-states.js';

type Joined = 'states' | 'completion' | 'dependencyProgress' | 'lookup' | 'cancelDeadlineMs';

export type JobDutiesDependencies = Omit<
  JobLookupDependencies &
    JobServiceDependencies &
    JobCompletionDependencies &
    JobReactionsDependencies &
    DependencyStatesDependencies,
  Joined
>;

export interface JobDuties {
  /** Answers users. */
  readonly jobs: JobService;
  readonly completion: JobCompletion;
  readonly reactions: JobReactions;
  readonly dependencyProgress: DependencyProgress;
}

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
