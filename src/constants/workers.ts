/** Heartbeats, commands, and machine health. */
import { MAX_MESSAGE_BYTES } from './protocol.js';

/** ms for which placement changes of a machine are collected before commands are sent to its worker. */
export const COMMAND_BATCHING_MS = 5;

/**
 * Share of the heartbeat interval for which launches of batch tasks wait for others on the same machine, or for its next
 * heartbeat: a busy machine sends several in an interval, and the response carries the launches at no cost.
 */
export const LAUNCH_BATCHING_SHARE = 0.1;

/** Number of leases after its last contact until a worker without tasks is forgotten: its agent epoch has ended long before. */
export const WORKER_RETENTION_LEASES = 10;

/** ms between sweeps for worker leases that have provably expired, for roles to be released, and for cancelled tasks. */
export const SWEEP_PERIOD_MS = 500;

/** ms after which a worker whose heartbeats are forwarded is redirected to its leader again, in case it can reach it by then. */
export const REDIRECT_AGAIN_MS = 60_000;

/**
 * ms beyond its interval that a heartbeat may be late before its worker is assumed to have got no response: more than delays of
 * a few hundred ms, no more than the second that a worker waits, after 4 s without a response, before it tries another node.
 */
export const LATE_HEARTBEAT_MARGIN_MS = 1000;

/**
 * Workers to which the fencing token is announced at the same time after a failover: the larger of this number and this share of
 * the machines in use. Hundreds of connections in one tick would delay heartbeats, but all workers must be reached within a few
 * seconds.
 */
export const MAX_CONCURRENT_TOKEN_ANNOUNCEMENTS = 24;
export const TOKEN_ANNOUNCEMENTS_SHARE = 0.05;

/** Minimum ms between announcements of the fencing token to one worker, so that all that send no heartbeat get their turn. */
export const TOKEN_REANNOUNCE_DELAY_MS = 5000;

/** Timeout of a command to a worker, ms: workers respond at once, unless the machine hangs. */
export const COMMAND_TIMEOUT_MS = 1500;

/** Timeout of connecting to a worker or peer, ms: a machine that is cut off never responds. */
export const CONNECT_TIMEOUT_MS = 1000;

/** Size of a message to a worker without its commands, bytes: the fencing token, the agent epoch and the names of the fields. */
const COMMANDS_ENVELOPE_BYTES = 512;

/** ms between two requests to a worker if its commands don't fit into one: some are repeated until the worker reports their effect. */
export const MORE_COMMANDS_DELAY_MS = 100;

/** Maximum size of the commands in one message to a worker, bytes. */
export const MAX_COMMANDS_BYTES = MAX_MESSAGE_BYTES - COMMANDS_ENVELOPE_BYTES;

/** Number of different jobs with failures on a machine, without a success in between, from which it is quarantined. */
export const MIN_FAILED_JOBS_FOR_QUARANTINE = 2;

/** ms for which a quarantined machine gets no new tasks, unless it is replaced earlier. */
export const QUARANTINE_MS = 120_000;

/**
 * Backoff for which a machine gets no task of a job that has failed there, ms, doubled with each further failure up to the
 * maximum: the machine may be at fault, so others are tried first; but a job that has failed on all must not wait forever.
 */
export const FAILED_JOB_BACKOFF_BASE_MS = 10_000;
export const FAILED_JOB_BACKOFF_MAX_MS = 60_000;

/** Consecutive missed heartbeats after which a machine counts as silent and gets no new tasks. */
export const SILENT_AFTER_MISSED_HEARTBEATS = 3;

/**
 * ms beyond the heartbeat interval after which a silent machine is scaled in, which releases its tasks at once: a worker that
 * can't reach its leader waits 4 s, then 1 s, before it tries another node, which informs the leader at once.
 */
export const NODE_SWITCH_MS = 5400;

/** Number of consecutive tasks that must all have run too long for their machine to count as slow. */
export const SLOW_MACHINE_TASKS = 3;

/** ms for which a machine counts as slow. */
export const SLOW_MACHINE_MS = 60_000;

/** Minimum of finished tasks of a job for their mean run time to be used. */
export const MIN_FINISHED_SIBLINGS = 3;

/**
 * Multiple of the mean run time of the job's finished tasks beyond which a running task indicates a slow machine. The tasks that
 * have finished by then are the shorter half: if run times vary by 0.4 either way, the longest is 1.9 times their mean.
 */
export const STRAGGLER_FACTOR = 2.3;

/** Multiple of that mean beyond which a task stays on its slow machine: it will end there sooner than if it were restarted. */
export const EVICT_STRAGGLER_FACTOR = 3;

/** Multiple of their jobs' mean run times beyond which a machine's last tasks make it count as slow; see `STRAGGLER_FACTOR`. */
export const SLOW_MACHINE_FACTOR = 2.3;

/** ms between checks for workers that have sent no heartbeat since a failover. */
export const TOKEN_ANNOUNCE_PERIOD_MS = 700;
