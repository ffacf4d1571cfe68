/** Priorities of the transactions that start tasks and record their exits. */
import { JOB_PRIORITIES, type JobSpec } from '../domain/job.js';
import { Priority } from '../net/token-bucket.js';

/** Exits of array tasks may wait; exits of service and gang tasks are followed by a start that must not wait. */
export const exitPriority = (spec: JobSpec | undefined): Priority =>
  spec?.kind === 'array' ? Priority.record : Priority.start;

/** Starts of array tasks may wait, unless the priority of the job, or of a job that depends on it, is above `normal`. */
export const startPriority = (spec: JobSpec): Priority =>
  spec.kind === 'array' && JOB_PRIORITIES.indexOf(spec.priority) >= JOB_PRIORITIES.indexOf('normal')
    ? Priority.background
    : Priority.start;
