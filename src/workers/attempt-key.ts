import { taskIdOf } from '../domain/task.js';
import type { PlacedTask } from '../records/cluster-state.js';
import type { WorkerCommand } from './worker-wire-codec.js';

/** One start of a task, as commands and workers name it: `<task id>#<attempt>`. */
export const attemptKeyFrom = (taskId: string, attempt: number): string => `${taskId}#${attempt}`;

/** The attempt that a command is about. */
export const attemptKeyOfCommand = ({ taskId, attempt }: WorkerCommand): string => attemptKeyFrom(taskId, attempt);

/** The attempt that is recorded on a machine. */
export const attemptKeyOf = (placedTask: PlacedTask): string =>
  attemptKeyFrom(taskIdOfPlaced(placedTask), placedTask.placement.attempt);

/** The id of a task that is recorded on a machine. */
export const taskIdOfPlaced = (placedTask: PlacedTask): string => taskIdOf(placedTask.jobId, placedTask.taskIndex);
