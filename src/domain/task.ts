/** Task ids and placements. */
import type { Count } from './count.js';

/** The placement of one task. */
export type TaskPlacement =
  /** Waiting for a machine. */
  | {
      kind: 'queued';
      /** The number of this attempt, which distinguishes starts of the task. */
      attempt: number;
      /** How often the task has failed. */
      failures: number;
    }
  /** On a machine, from the decision to start it there until its exit has been recorded. */
  | {
      kind: 'placed';
      attempt: number;
      failures: number;
      machineId: string;
      /** The epoch of the machine's agent that the placement is valid for. */
      agentEpoch: Count;
      /** The grace period if the task is to be stopped; null: it is not to be stopped. */
      gracePeriodS: number | null;
      zone: string;
    }
  | { kind: 'done' };

/** The placement of a task that is on a machine. */
export type ActivePlacement = Extract<TaskPlacement, { kind: 'placed' }>;

/** 'jobId/index'. */
export const taskIdOf = (jobId: string, taskIndex: number): string => `${jobId}/${taskIndex}`;

/** Splits a task id at its last slash; undefined if it is not a valid task id. */
export function parseTaskId(taskId: string): { jobId: string; taskIndex: number } | undefined {
  const slash = taskId.lastIndexOf('/');
  const taskIndex = Number(taskId.slice(slash + 1));
  const isValid = slash > 0 && Number.isSafeInteger(taskIndex) && taskIndex >= 0;
  return isValid ? { jobId: taskId.slice(0, slash), taskIndex } : undefined;
}
