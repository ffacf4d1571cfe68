/** Limits that the protocols state. */

/** Maximum size of a request's body, and of a line in a response to users and workers, bytes. */
export const MAX_MESSAGE_BYTES = 65_536;

/** Maximum number of tasks of a job. */
export const MAX_TASKS_PER_JOB = 100_000;

/** The fields that hold counts, in messages and in stored records. */
export const COUNT_FIELDS: ReadonlySet<string> = new Set([
  ...['Tenure', 'Tick', 'Fence', 'Try'],
  ...['Epoch', 'Stamp', 'Latch', 'latch'],
]);
