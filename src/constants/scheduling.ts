/** Plans, preemption and re-matching. */

/** ms between two runs of the planner when nothing happens. */
export const PLAN_TICK_MS = 500;

/** ms that events are collected before the planner runs. */
export const PLAN_GATHER_MS = 20;

/** Machines looked at for each kind of task when more is asked than can be done (house style: samples). */
export const SAMPLE_MACHINES = 64;

/** Tasks matched in one planner run: bounds the processor time of one turn. */
export const MAX_PLAN_TASKS = 400;

/** Waiting tasks listed in one planner run; beyond, a job is only looked at with `SAMPLE_TASKS_OF_JOB` tasks. */
export const MAX_UNPLACED = 1500;

/** ms after which a job should have begun, whatever waits before it: users expect the largest within four minutes. */
export const OVERDUE_START_MS = 120_000;

/** Tasks of one job tried where many others wait already, or where it must begin at last. */
export const SAMPLE_TASKS_OF_JOB = 16;

/** ms pause before a shard that failed is tried again; doubled each time. */
export const RETRY_BASE_MS = 500;

/** ms at most between two tries of a failing shard. */
export const RETRY_MAX_MS = 30_000;

/** ms for which a service holds out for a machine with its image: stopping lower work takes less than most fetches. */
export const CACHED_IMAGE_WAIT_MS = 700;

/** ms for which a task that was told to stop counts as stopping before the ledger shows it. */
export const STOPPING_MS = 2000;

/** What a machine without the image costs in choosing whom to stop, in units of one stopped low task that can save. */
export const IMAGE_FETCH_COST = 4;

/** Weight of the newest run in a class's ratio of run time to estimate: follows a day's bias within some ten tasks. */
export const RUN_TIME_RATIO_WEIGHT = 0.05;

/**
 * Share of the time that a search of the whole cluster (plan, preemption) may take: whoever needs long looks more rarely,
 * so that reports and submissions always find the processor free. Work that is waited for within seconds, services and
 * gangs, may take more.
 */
export const PLANNING_TIME_SHARE = 0.01;
export const URGENT_PLANNING_TIME_SHARE = 0.025;

/**
 * ms between two plans at most: the first plans of a process take many times as long as later ones, and a whole cluster waits
 * for them when all nodes have come back at once.
 */
export const MAX_PLAN_REST_MS = 800;

/** Times as long as a plan took that the next one waits at least: a node short of processor time must hear reports in between. */
export const LEAST_PLAN_REST_FACTOR = 2;

/** ms between two preemption rounds: the exits of the last must have been seen. */
export const PREEMPT_PERIOD_MS = 200;

/** Default values of what operators may set in TOML; the first three are DESIGN's. */
export const DEFAULT_TUNING = {
  /** Happiness below which a task is unhappy, a share. */
  threshold: 0.9,
  /** s of worker reports that count. */
  window_s: 30,
  /** s between two tests. */
  check_s: 10,
  /** Tasks moved at most by one part in one round. */
  moves_per_round: 2,
  /** Share of distance taken off for machines that hold the image, 1 = the image decides alone. */
  image_bonus: 1,
};

/** Tiers put machines behind others whatever their distance; a missing image counts `image_bonus` (1 by default). */
export const GPU_TIER = 4;
/** s of fetching that count as much again as the image's being missed at all. */
export const FETCH_TIER_S = 20;
