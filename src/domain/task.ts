/** Tasks: their ids, and where they are. */

/** Where one task is. */
export type TaskPlacement =
  | { kind: 'queued'; attempt: number; failures: number }
  | {
      kind: 'placed';
      attempt: number;
      failures: number;
      machineId: string;
      agentEpoch: number;
      gracePeriodS: number | null;
      zone: string;
    }
  | { kind: 'done' };
export type ActivePlacement = Extract<TaskPlacement, { kind: 'placed' }>;

export const taskIdOf = (jobId: string, taskIndex: number): string => `${jobId}/${taskIndex}`;

/** Takes the id of a task apart; undefined: it is none. */
export function parseTaskId(name: string): { jobId: string; taskIndex: number } | undefined {
  const slash = name.lastIndexOf('/');
  const taskIndex = Number(name.slice(slash + 1));
  return slash > 0 && Number.isSafeInteger(taskIndex) && taskIndex >= 0
    ? { jobId: name.slice(0, slash), taskIndex }
    : undefined;
}
