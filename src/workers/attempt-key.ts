import type { Count } from '../domain/count.js';
import { taskIdOf } from '../domain/task.js';
import type { PlacedTask } from '../records/cluster-state.js';

/** One attempt of a task, as commands and statuses identify it. */
export interface TaskAttempt {
  readonly taskId: string;
  readonly attempt: Count;
}

/** The key of one attempt of a task, as commands and statuses identify it: `<task id>#<attempt>`. */
export const attemptKeyFrom = (taskId: string, attempt: Count): string => `${taskId}#${attempt}`;

/** The key of an attempt that is recorded on a machine. */
export const attemptKeyOf = (placedTask: PlacedTask): string =>
  attemptKeyFrom(taskIdOfPlaced(placedTask), placedTask.placement.attempt);

/** The attempt that is recorded on a machine. */
export const attemptOf = (placedTask: PlacedTask): TaskAttempt => ({
  taskId: taskIdOfPlaced(placedTask),
  attempt: placedTask.placement.attempt,
});

/** The id of a task that is recorded on a machine. */
export const taskIdOfPlaced = (placedTask: PlacedTask): string => taskIdOf(placedTask.jobId, placedTask.taskIndex);
