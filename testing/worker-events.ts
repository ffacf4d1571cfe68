/** What happens on a fake worker, as it reports it to the checks of a scenario. */

/** One run of a task; `to` is undefined until it ends. */
export interface TaskRun {
  taskId: string;
  attempt: number;
  from: number;
  to: number | undefined;
}

/** How commands reached the worker. */
export interface CommandDelivery {
  sentAt: number;
  /** The worker has executed and answered the same request before. */
  isCopy?: boolean;
}

/** A launch that a worker has accepted. */
export interface AcceptedLaunch {
  taskId: string;
  attempt: number;
  /** The fencing token of the command. */
  fencingToken: number;
  /** The command came in a copy of a request that was executed before. */
  isCopy: boolean;
}
