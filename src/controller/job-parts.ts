/** Builds the parts that handle the life cycle of jobs: users' requests, completion, and the release of dependents. */
import { JobLookup, type JobLookupDependencies } from '../api/job-lookup.js';
import { JobService, type JobServiceDependencies } from '../api/job-service.js';
import { DependencyStates, type DependencyStatesDependencies } from '../jobs/dependency-states.js';
import { JobChangeHandler, type JobChangeHandlerDependencies } from '../jobs/job-change-handler.js';
import { JobCompletion, type JobCompletionDependencies } from '../jobs/job-completion.js';
import { WaitingJobAdvancer } from '../jobs/waiting-job-advancer.js';

type BuiltHere = 'states' | 'completion' | 'waitingJobAdvancer' | 'lookup';

/** What the job parts need from outside. */
export type JobPartsDependencies = Omit<
  JobLookupDependencies &
    JobServiceDependencies &
    JobCompletionDependencies &
    JobChangeHandlerDependencies &
    DependencyStatesDependencies,
  BuiltHere
>;

/** The parts that accept jobs, advance them and record their end. */
export interface JobParts {
  /** Handles users' requests. */
  readonly jobs: JobService;
  readonly completion: JobCompletion;
  readonly changeHandler: JobChangeHandler;
  readonly waitingJobAdvancer: WaitingJobAdvancer;
}

/** Builds the job parts on top of the records, the leadership, the workers and the scheduling. */
export function createJobParts(dependencies: JobPartsDependencies): JobParts {
  const states = new DependencyStates(dependencies);
  const completion = new JobCompletion({ ...dependencies, states });
  const waitingJobAdvancer = new WaitingJobAdvancer({ ...dependencies, states });
  const changeHandler = new JobChangeHandler({ ...dependencies, completion, waitingJobAdvancer });
  const lookup = new JobLookup({ ...dependencies, states });
  const jobs = new JobService({ ...dependencies, states, lookup });
  return { jobs, completion, changeHandler, waitingJobAdvancer };
}
