/** Planning, preemption and re-matching. */

/** ms between two runs of the planner when nothing happens. */
export const PLAN_TICK_MS = 500;

/** ms that events are collected before the planner runs. */
export const PLAN_GATHER_MS = 20;

/** Machines sampled for each kind of task when demand exceeds the time for planning. */
export const SAMPLE_MACHINES = 64;

/** Tasks matched in one planner run: bounds the processor time of one turn. */
export const MAX_PLAN_TASKS = 400;

/** Queued tasks listed in one planner run; beyond, each job is represented by `SAMPLE_TASKS_OF_JOB` tasks only. */
export const MAX_UNPLACED_TASKS = 1500;

/** ms after which a job should have started, whatever is queued before it: users expect the largest within four minutes. */
export const OVERDUE_START_MS = 120_000;

/** Tasks of one job tried where many others are queued already, or where the job is overdue. */
export const SAMPLE_TASKS_OF_JOB = 16;

/** ms of backoff before a failed task is tried again; doubled each time. */
export const RETRY_BASE_MS = 500;

/** ms of backoff between two attempts of a failing task at most. */
export const RETRY_MAX_MS = 30_000;

/** ms for which a service waits for a machine that has its image cached: preempting lower work takes less than most fetches. */
export const CACHED_IMAGE_WAIT_MS = 700;

/** ms for which a task that is marked for stopping counts as stopping before its placement shows it. */
export const EVICTION_PENDING_MS = 2000;

/** Cost of a machine without the image in choosing what to preempt, in units of one preempted low-priority task with checkpoints. */
export const IMAGE_FETCH_COST = 4;

/** Weight of the newest run in a job class's moving average of run time by estimate: follows a day's bias within some ten tasks. */
export const RUN_TIME_RATIO_WEIGHT = 0.05;

/**
 * Share of the time that a search of the whole cluster (planning, preemption) may take: a search that takes long runs more
 * rarely, so that heartbeats and submissions always find the processor free. Work that must start within seconds, services
 * and gangs, may take more.
 */
export const PLANNING_TIME_SHARE = 0.01;
export const URGENT_PLANNING_TIME_SHARE = 0.025;

/**
 * ms between two plans at most: the first plans of a process take many times as long as later ones, and the whole cluster waits
 * for them when all nodes have restarted at once.
 */
export const MAX_PLAN_REST_MS = 800;

/** Times a plan's duration that the next one waits at least: a node short of processor time must serve heartbeats in between. */
export const LEAST_PLAN_REST_FACTOR = 2;

/** ms between two preemption rounds: the exits that the last one caused must have been seen. */
export const PREEMPT_PERIOD_MS = 200;

/** Default values of what operators may set in TOML; the first three are those of the design. */
export const DEFAULT_TUNING = {
  /** Happiness below which a task is unhappy, a share. */
  threshold: 0.9,
  /** s of the sliding window of checks. */
  window_s: 30,
  /** s between two checks. */
  check_s: 10,
  /** Tasks moved at most by one partition in one round. */
  moves_per_round: 2,
  /** Share of the distance taken off for machines that have the image cached; 1: the image decides alone. */
  image_bonus: 1,
};

/** Distance added where a task without GPUs would take a GPU machine; for comparison, a missing image counts `image_bonus`. */
export const GPU_TIER = 4;
/** s of fetching an image that count as much again as its being missing at all. */
export const FETCH_TIER_S = 20;
