/** Tasks: their ids, and where they are placed. */

/** Where one task is. */
export type TaskPlacement =
  /** Waits for a machine. */
  | {
      kind: 'queued';
      /** Distinguishes one start of the task from another. */
      attempt: number;
      /** How often the task has failed. */
      failures: number;
    }
  /** On a machine, from the decision to start it there until its exit is recorded. */
  | {
      kind: 'placed';
      attempt: number;
      failures: number;
      machineId: string;
      /** The epoch of the machine's agent that the placement is valid for. */
      agentEpoch: number;
      /** Of the stop, once the task is to be stopped; null: it is not. */
      gracePeriodS: number | null;
      zone: string;
    }
  | { kind: 'done' };

/** The placement of a task that is on a machine. */
export type ActivePlacement = Extract<TaskPlacement, { kind: 'placed' }>;

/** 'jobId/index'. */
export const taskIdOf = (jobId: string, taskIndex: number): string => `${jobId}/${taskIndex}`;

/** Takes a task id apart at its last slash; undefined: it is no task id. */
export function parseTaskId(taskId: string): { jobId: string; taskIndex: number } | undefined {
  const slash = taskId.lastIndexOf('/');
  const taskIndex = Number(taskId.slice(slash + 1));
  const isValid = slash > 0 && Number.isSafeInteger(taskIndex) && taskIndex >= 0;
  return isValid ? { jobId: taskId.slice(0, slash), taskIndex } : undefined;
}
