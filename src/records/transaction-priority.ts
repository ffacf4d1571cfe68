/** How urgent the transactions of a job's tasks are. */
import { JOB_PRIORITIES, type JobSpec } from '../domain/job.js';
import { Priority } from '../net/token-bucket.js';

/** Exits of arrays may wait; those of services and gangs are followed by a start that may not. */
export const exitPriority = (spec: JobSpec | undefined): Priority =>
  spec?.kind === 'array' ? Priority.record : Priority.start;

/** Starts of arrays may wait, unless their priority, or that of a job that depends on them, is urgent. */
export const startPriority = (spec: JobSpec): Priority =>
  spec.kind === 'array' && JOB_PRIORITIES.indexOf(spec.priority) >= JOB_PRIORITIES.indexOf('normal')
    ? Priority.background
    : Priority.start;
