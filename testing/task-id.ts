/** Task ids take the form `<job id>/<index>`. */

export const jobIdOf = (taskId: string): string => taskId.slice(0, taskId.lastIndexOf('/'));

export const taskIndexOf = (taskId: string): number => Number(taskId.slice(taskId.lastIndexOf('/') + 1));
