import { taskIdOf } from '../domain/task.js';
import type { PlacedTask } from '../records/cluster-state.js';
import type { WorkerCommand } from './worker-wire-codec.js';

/** The key of one attempt of a task, as commands and statuses identify it: `<task id>#<attempt>`. */
export const attemptKeyFrom = (taskId: string, attempt: number): string => `${taskId}#${attempt}`;

/** The key of the attempt that a command refers to. */
export const attemptKeyOfCommand = ({ taskId, attempt }: WorkerCommand): string => attemptKeyFrom(taskId, attempt);

/** The key of an attempt that is recorded on a machine. */
export const attemptKeyOf = (placedTask: PlacedTask): string =>
  attemptKeyFrom(taskIdOfPlaced(placedTask), placedTask.placement.attempt);

/** The id of a task that is recorded on a machine. */
export const taskIdOfPlaced = (placedTask: PlacedTask): string => taskIdOf(placedTask.jobId, placedTask.taskIndex);
