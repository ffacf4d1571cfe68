/** Heartbeats, commands, and the health of machines. */

/** ms that placement changes of one machine are collected before commands are sent to its worker. */
export const COMMAND_BATCHING_MS = 5;

/**
 * Share of the heartbeat interval for which launches of batch tasks wait for others on the same machine, or for its next
 * heartbeat: a busy machine sends several in an interval, and the answer carries the launches at no cost.
 */
export const BATCH_PUSH_GATHER_SHARE = 0.1;

/** Leases for which a worker without tasks is remembered after its last heartbeat: its agent epoch is over long before. */
export const WORKER_RETENTION_LEASES = 10;

/** ms between two sweeps for worker leases that are proved to have expired. */
export const SWEEP_MS = 500;

/** ms after which a worker whose heartbeats are forwarded is redirected to its leader again, to test whether it reaches it. */
export const REDIRECT_AGAIN_MS = 60_000;

/**
 * ms beyond its interval that a heartbeat may be late before its worker counts as one that got no answer: above delays of a
 * few hundred ms, below the second that it waits, after 4 s, before it tries another node.
 */
export const ANSWER_MISSED_MS = 1000;

/**
 * Workers to which the fencing token is announced at once after a failover, at least, and as a share of those in use: hundreds
 * of connections in one tick would keep heartbeats waiting, but all must have had their turn within a few seconds.
 */
export const MAX_TOKEN_ANNOUNCEMENTS = 24;
export const TOKEN_ANNOUNCEMENTS_SHARE = 0.05;

/** ms between two announcements of the fencing token to one worker, so that all that send no heartbeat get their turn. */
export const TOKEN_ANNOUNCE_AGAIN_MS = 5000;

/** ms for a command to a worker: workers answer at once; a hanging machine does not. */
export const COMMAND_TIMEOUT_MS = 1500;

/** ms to connect to a worker or peer; a machine that is cut off never answers. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Bytes of an answer to a worker, below the 64 KiB that a line may hold. */
export const MAX_COMMANDS_BYTES = 60_000;

/** Errors of different tasks in a row, without a success, after which a machine is quarantined. */
export const QUARANTINE_ERRORS = 2;

/** ms for which a quarantined machine takes no new work, if it can't be replaced. */
export const QUARANTINE_MS = 120_000;

/**
 * ms of backoff for which a machine takes no task of a job that has failed there, doubled with each further failure up to the
 * maximum: the fault may be the machine's, and others come first; but a job that has failed on all must not wait for ever.
 */
export const FAILED_JOB_BACKOFF_BASE_MS = 10_000;
export const FAILED_JOB_BACKOFF_MAX_MS = 60_000;

/** Heartbeats missed in a row after which a machine counts as silent and gets no new work. */
export const SILENT_HEARTBEATS = 3;

/**
 * ms beyond the heartbeat interval after which a silent machine is scaled in, which releases its tasks at once: a worker that
 * can't reach its leader waits 4 s, then 1 s, before it tries another node, which tells the leader at once.
 */
export const ROUND_TRIP_MS = 5400;

/** Tasks in a row that must all have run long before their machine counts as slow. */
export const SLOW_MACHINE_TASKS = 3;

/** ms for which a machine counts as slow. */
export const SLOW_MACHINE_MS = 60_000;

/** Finished tasks of a job from which their mean run time is trusted. */
export const MIN_FINISHED_SIBLINGS = 3;

/**
 * Times the mean of the job's finished tasks from which a running task shows that its machine is slow. The tasks that have
 * finished by then are the shorter half: among runs that differ by 0.4 either way the longest takes 1.9 times their mean.
 */
export const STRAGGLER_FACTOR = 2.3;

/** Times the mean after which a task stays on its slow machine: it will end there sooner than started anew. */
export const EVICT_STRAGGLER_FACTOR = 3;

/** Times the mean of the same jobs' tasks from which a machine's tasks make it count as slow, for the same reason. */
export const SLOW_MACHINE_FACTOR = 2.3;

/** ms between two checks for workers that have sent no heartbeat since a failover. */
export const TOKEN_ANNOUNCE_PERIOD_MS = 700;
