/** Joins the duties that follow a job through its life: what users are told, what ends it, and the jobs that wait for it. */
import { JobLookup, type JobLookupDependencies } from '../api/job-lookup.js';
import { Jobs, type JobsDependencies } from '../api/job-service.js';
import { JobCompletion, type JobCompletionDependencies } from '../jobs/job-completion.js';
import { JobReactions, type JobReactionsDependencies } from '../jobs/job-reactions.js';
import { PipelineProgress } from '../jobs/dependency-progress.js';
import { PredecessorStates, type PredecessorStatesDependencies } from '../jobs/dependency-states.js';

type Joined = 'states' | 'completion' | 'pipelineProgress' | 'lookup' | 'cancelDeadlineMs';

export type JobDutiesDependencies = Omit<
  JobLookupDependencies &
    JobsDependencies &
    JobCompletionDependencies &
    JobReactionsDependencies &
    PredecessorStatesDependencies,
  Joined
>;

export interface JobDuties {
  /** Answers users. */
  readonly jobs: Jobs;
  readonly completion: JobCompletion;
  readonly reactions: JobReactions;
  readonly pipelineProgress: PipelineProgress;
}

export function createJobDuties(dependencies: JobDutiesDependencies): JobDuties {
  const states = new PredecessorStates(dependencies);
  const completion = new JobCompletion({ ...dependencies, states });
  const pipelineProgress = new PipelineProgress({ ...dependencies, states });
  const reactions = new JobReactions({ ...dependencies, completion, pipelineProgress });
  const { cancelDeadlineMs } = dependencies.settings.cluster.workers;
  const lookup = new JobLookup({ ...dependencies, states, cancelDeadlineMs });
  const jobs = new Jobs({ ...dependencies, states, lookup });
  return { jobs, completion, reactions, pipelineProgress };
}
