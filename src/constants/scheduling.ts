/** Planning, preemption and rescheduling. */

/** ms between planner runs when there are no events. */
export const PLAN_PERIOD_MS = 500;

/** ms for which events are collected before the planner runs. */
export const PLAN_BATCHING_MS = 20;

/** Machines sampled for each kind of task once `MAX_PLAN_TASKS` tasks have been matched in a planner run. */
export const SAMPLE_MACHINES = 64;

/**
 * Tasks matched in one planner run beyond which machines are only sampled, and maximum of tasks listed for one job: bounds the
 * CPU time of one run.
 */
export const MAX_PLAN_TASKS = 400;

/** Unplaced tasks in one planner run beyond which each further job is represented by `SAMPLE_TASKS_OF_JOB` tasks only. */
export const MAX_UNPLACED_TASKS = 1500;

/** ms after which a job is overdue and should start whatever is queued before it: users expect the largest within four minutes. */
export const OVERDUE_START_MS = 120_000;

/** Tasks of one job that are tried if many other tasks are unplaced, or if the job is overdue. */
export const SAMPLE_TASKS_OF_JOB = 16;

/** Initial backoff before a failed task is retried, ms; doubled after each further failure. */
export const RETRY_BASE_MS = 500;

/** Maximum backoff between two attempts of a failing task, ms. */
export const RETRY_MAX_MS = 30_000;

/** ms for which a service waits for a machine with its image cached: preemption there is faster than most image fetches. */
export const CACHED_IMAGE_WAIT_MS = 700;

/** ms for which an evicted task counts as stopping although its placement does not show it yet. */
export const EVICTION_PENDING_MS = 2000;

/** Cost of a machine without the image in choosing what to preempt; one preempted low-priority task with checkpoints costs 1. */
export const IMAGE_FETCH_COST = 4;

/** Weight of the newest run in a job class's moving average of run time over estimate: follows a day's bias in some ten tasks. */
export const RUN_TIME_RATIO_WEIGHT = 0.05;

/**
 * Share of time that searches of the whole cluster (planning, preemption) may take: the longer a search takes, the more rarely
 * it runs, so that heartbeats and submissions are always served. Services and gangs, which must start within seconds, may take
 * more.
 */
export const PLANNING_TIME_SHARE = 0.01;
export const URGENT_PLANNING_TIME_SHARE = 0.025;

/**
 * Maximum pause between two planner runs, ms: the first runs of a process take many times as long as later ones, and the whole
 * cluster waits for them when all nodes have restarted at once.
 */
export const MAX_PLAN_PAUSE_MS = 800;

/** Minimum pause after a planner run, as a multiple of its duration: a node short of CPU time must serve heartbeats meanwhile. */
export const MIN_PLAN_PAUSE_FACTOR = 2;

/** ms between preemption rounds, so that the exits caused by the previous round have been observed. */
export const PREEMPT_PERIOD_MS = 200;

/** Defaults of the operators' settings in TOML; the first three are prescribed by the design. */
export const DEFAULT_TUNING = {
  /** Share of healthy checks below which a task is unhappy. */
  threshold: 0.9,
  /** Length of the sliding window of checks, s. */
  window_s: 30,
  /** s between checks for unhappy tasks. */
  check_s: 10,
  /** Maximum of tasks that one partition moves in one round. */
  moves_per_round: 2,
  /** Share by which a cached image reduces a machine's distance; 1: the image alone decides. */
  image_bonus: 1,
};

/** Distance added for a GPU machine if the task needs no GPUs; for comparison, a missing image adds at least `image_bonus`. */
export const GPU_TIER = 4;
/** Fetch time of a missing image that adds `image_bonus` once more, s. */
export const FETCH_TIER_S = 20;
