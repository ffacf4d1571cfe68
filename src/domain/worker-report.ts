/**
 * Sizes of the reports in which a worker names all tasks on its machine. A report is the body of a request, whose size the protocol
 * limits: a worker with more tasks than fit could send none, and would lose its lease with all that it runs.
 */
import { MAX_TASKS_PER_JOB } from '../constants/protocol.js';
import { LONGEST_REPORTED_TASK_BYTES } from '../constants/worker-report.js';
import { taskIdOf } from './task.js';

/** Upper bound for a task's size in a report, bytes, in whatever state it is. */
export const reportedTaskBytes = (taskId: string): number => LONGEST_REPORTED_TASK_BYTES + Buffer.byteLength(taskId);

/** Upper bound for the size of any task of a job in a report, bytes. */
export const maxReportedTaskBytes = (jobId: string): number =>
  reportedTaskBytes(taskIdOf(jobId, MAX_TASKS_PER_JOB - 1));
