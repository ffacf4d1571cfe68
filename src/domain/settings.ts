/** The settings of a controller as the program works with them: one unit for each kind of amount, named in the field. */
import type { Team } from './team.js';

/** A service-level objective: what is expected for the jobs of a class. */
export interface ServiceLevelObjective {
  /** Which objective it is, as the platform names it. */
  kind: string;
  /** The job class that it is for; left out: any. */
  jobClass?: string;
  /** Time within which a job is to be complete. */
  withinMs?: number;
  /** Multiple of its own deadline within which a job is to be complete. */
  deadlineFactor?: number;
}

/** Intervals and deadlines of the workers, as the platform sets them. */
export interface WorkerTimings {
  /** Between two heartbeats of a worker. */
  heartbeatIntervalMs: number;
  /** A worker ends its tasks once its last answered heartbeat was sent longer ago. */
  workerLeaseMs: number;
  /** A gang that is not complete by then exits. */
  gangStartTimeoutMs: number;
  /** Within it the tasks of a running gang notice that one is lost, and an orderly stop must have reached all. */
  gangPeerTimeoutMs: number;
  /** Within it nothing of a cancelled job may be left on any machine. */
  cancelDeadlineMs: number;
}

/** Limits of the store. */
export interface StoreLimits {
  /** Puts and deletes a second, of all controllers together. */
  writesPerSecond: number;
  /** Size of one value. */
  valueBytes: number;
  /** Puts and deletes in one transaction. */
  transactionWrites: number;
}

/** The store's rate limit and write limits. */
export interface StoreSettings {
  /** Of all controllers together. */
  requestsPerSecond: number;
  /** The limits in force when the process starts. */
  present: StoreLimits;
  /**
   * Limits that hold before and after a change that the platform has announced. It changes over without notice, so whatever is
   * written is made to fit both.
   */
  lasting: StoreLimits;
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
  /** Sockets that the process may have open. */
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
  /** Where it listens for users, workers and health checks. */
  apiAddress: string;
  /** Where it listens for the other controllers. */
  gossipAddress: string;
  peers: readonly PeerSettings[];
  cloudAddress: string;
  storeAddress: string;
  cluster: ClusterSettings;
}

/** How services are re-matched, and machines with a cached image preferred. */
export interface ReschedulingSettings {
  /** Happiness (the share of healthy checks in the window) below which a task is unhappy. */
  happinessThreshold: number;
  /** Heartbeats older than that no longer count. */
  happinessWindowMs: number;
  /** Between two checks for unhappy tasks. */
  checkIntervalMs: number;
  /** Tasks that one partition moves at most in one round. */
  movesPerRound: number;
  /** Share of the distance taken off for machines that have the image cached; 1: the image decides alone. */
  imageBonus: number;
}
