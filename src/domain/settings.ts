/** The settings of a controller in the units of the program; each field name states its unit. */
import type { Team } from './team.js';

/** A service-level objective for the jobs of a class. */
export interface ServiceLevelObjective {
  /** The kind of objective, as named by the platform. */
  kind: string;
  /** The job class that it applies to; omitted: all. */
  jobClass?: string;
  /** Time within which a job must be complete. */
  withinMs?: number;
  /** Multiple of its own deadline within which a job must be complete. */
  deadlineFactor?: number;
}

/** Intervals and deadlines of the workers, set by the platform. */
export interface WorkerTimings {
  /** Interval between two heartbeats of a worker. */
  heartbeatIntervalMs: number;
  /** A worker stops its tasks when its last answered heartbeat was sent longer ago than this. */
  workerLeaseMs: number;
  /** Time within which a gang must be complete, or its tasks exit. */
  gangStartTimeoutMs: number;
  /** Time within which the tasks of a running gang notice a lost peer; an orderly stop must reach all of them within it. */
  gangPeerTimeoutMs: number;
  /** Time within which no task of a cancelled job may be left on any machine. */
  cancelDeadlineMs: number;
}

/** Limits of the store. */
export interface StoreLimits {
  /** Puts and deletes per second of all controllers together. */
  writesPerSecond: number;
  /** Maximum size of one value. */
  valueBytes: number;
  /** Maximum of puts and deletes in one transaction. */
  transactionWrites: number;
}

/** The store's rate limit and write limits. */
export interface StoreSettings {
  /** The store's rate limit for all controllers together. */
  requestsPerSecond: number;
  /** The limits in force when the process starts. */
  current: StoreLimits;
  /**
   * Limits that hold both before and after a change that the platform has announced. The change takes effect without notice, so
   * all writes must fit both.
   */
  strictest: StoreLimits;
}

/** Settings that all controllers of the cluster share. */
export interface ClusterSettings {
  /** The number of controllers, and of partitions of the machines. */
  size: number;
  teams: readonly Team[];
  serviceLevelObjectives: readonly ServiceLevelObjective[];
  workers: WorkerTimings;
  store: StoreSettings;
  /** The cloud's rate limit, for all controllers together. */
  cloud: { requestsPerSecond: number };
  /** Maximum of open sockets of the process. */
  sockets: number;
}

/** Another controller. */
export interface PeerSettings {
  node: string;
  zone: string;
  /** 'host:port' where it listens for other controllers. */
  address: string;
}

/** All settings of one controller. Addresses are 'host:port'. */
export interface Settings {
  node: string;
  zone: string;
  /** The address at which it listens for users, workers and health checks. */
  apiAddress: string;
  /** The address at which it listens for other controllers. */
  gossipAddress: string;
  peers: readonly PeerSettings[];
  cloudAddress: string;
  storeAddress: string;
  cluster: ClusterSettings;
}

/** Settings of the rescheduling of services, and of the preference for machines with a cached image. */
export interface ReschedulingSettings {
  /** Happiness (the share of healthy checks in the window) below which a task is unhappy. */
  happinessThreshold: number;
  /** Age beyond which heartbeats no longer count. */
  happinessWindowMs: number;
  /** Interval between two checks for unhappy tasks. */
  checkIntervalMs: number;
  /** Maximum of tasks that one partition moves in one round. */
  movesPerRound: number;
  /** Share by which a cached image reduces a machine's distance; 1: the image alone decides. */
  imageBonus: number;
}
