/** Task ids take the form `<job id>/<index>`. */

/** The job that a task belongs to. */
export const jobIdOf = (taskId: string): string => taskId.slice(0, taskId.lastIndexOf('/'));

/** The task's index in its job. */
export const taskIndexOf = (taskId: string): number => Number(taskId.slice(taskId.lastIndexOf('/') + 1));
