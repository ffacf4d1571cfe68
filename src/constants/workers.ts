/** Heartbeats, commands, and what they show of machines. */

/** ms that ledger changes of one machine are collected before its worker is told. */
export const PUSH_GATHER_MS = 5;

/**
 * Share of a report's period that launches of batch tasks wait for others on the same machine, or for its next report: a busy
 * machine reports several times in a period, and the answer takes them along for nothing.
 */
export const BATCH_PUSH_GATHER_SHARE = 0.1;

/** Leases for which a worker without tasks is remembered after its last sign of life: its session is over long before. */
export const FORGET_WORKER_LEASES = 10;

/** ms between two looks for leases that are proved over. */
export const SWEEP_MS = 500;

/** ms after which a worker whose reports are relayed is sent to its owner again, to see whether the way is open. */
export const REDIRECT_AGAIN_MS = 60_000;

/**
 * ms beyond its period that a report may be late before its worker counts as one that waited for an answer in vain: above
 * delays of a few hundred ms, below the second that it waits, after 4 s, before it tries another node.
 */
export const ANSWER_MISSED_MS = 1000;

/**
 * Workers told the token at once after a takeover, at least, and as a share of those in use: hundreds of connections in one tick would
 * keep reports waiting, but all must have had their turn within a few seconds.
 */
export const MAX_TOKEN_ANNOUNCEMENTS = 24;
export const TOKEN_ANNOUNCEMENTS_SHARE = 0.05;

/** ms between two announcements of the token to one worker: those who are not heard all get their turn. */
export const TOKEN_ANNOUNCE_AGAIN_MS = 5000;

/** ms for a command to a worker: workers answer at once; a hanging machine does not. */
export const COMMAND_TIMEOUT_MS = 1500;

/** ms to connect to a worker or peer; a cut machine never answers. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Bytes of an answer to a worker, below the 64 KiB that a line may hold. */
export const MAX_COMMANDS_BYTES = 60_000;

/** Errors of different tasks in a row, without a success, that make a machine sick. */
export const QUARANTINE_ERRORS = 2;

/** ms that a sick machine takes no new work, if it can't be replaced. */
export const QUARANTINE_MS = 120_000;

/**
 * ms for which a machine is closed to a job whose task has failed there, doubled with each further failure up to the most: the
 * fault may be the machine's, and others come first; but a job that has failed on all of them must not wait for ever.
 */
export const FAILED_JOB_BACKOFF_BASE_MS = 10_000;
export const FAILED_JOB_BACKOFF_MAX_MS = 60_000;

/** Reports missed in a row after which a machine is silent and gets no new work. */
export const SILENT_HEARTBEATS = 3;

/**
 * ms beyond a report's period after which a silent machine is given back, which frees its places at once: a worker that
 * can't reach its owner waits 4 s, then 1 s, before it knocks elsewhere, which is told at once.
 */
export const ROUND_TRIP_MS = 5400;

/** Tasks in a row that must all have run long before their machine counts as slow. */
export const SLOW_MACHINE_TASKS = 3;

/** ms for which a machine counts as slow. */
export const SLOW_MACHINE_MS = 60_000;

/** Finished siblings from which their mean run time is trusted. */
export const SIBLINGS_KNOWN = 3;

/**
 * Times as long as the mean of its siblings, from which a running task shows that its machine is slow. The siblings that are
 * through by then are the shorter half: among runs that differ by 0.4 either way the longest takes 1.9 times their mean.
 */
export const STRAGGLER_FACTOR = 2.3;

/** Times the mean after which a task stays on its slow machine: it will end there sooner than anew. */
export const EVICT_STRAGGLER_FACTOR = 3;

/** Times as long as its siblings from which a machine's tasks make it count as slow, for the same reason. */
export const SLOW_MACHINE_FACTOR = 2.3;

/** ms between two looks at workers that have not been heard since a takeover. */
export const TOKEN_ANNOUNCE_PERIOD_MS = 700;
