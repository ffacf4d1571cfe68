/** The settings of a controller as the program works with them: one unit for each kind of amount, named in the field. */

import type { Team } from './team.js';

/** What is expected for the jobs of a class. */
export interface ServiceLevelObjective {
  kind: string;
  jobClass?: string;
  /** Time within which a job is to be complete. */
  withinMs?: number;
  /** Times its own deadline by which a job is to be complete. */
  deadlineFactor?: number;
}

/** How workers behave, by the platform's word. */
export interface WorkerTimings {
  heartbeatIntervalMs: number;
  /** A worker ends its tasks if it sent its last answered heartbeat longer ago. */
  workerLeaseMs: number;
  /** A gang that is not complete by then exits. */
  gangStartTimeoutMs: number;
  /** Within it the tasks of a running gang notice that one is gone, and an orderly stop must have reached all. */
  gangPeerTimeoutMs: number;
  /** Within it nothing of a cancelled job may be left on any machine. */
  cancelDeadlineMs: number;
}

/** What the store takes. */
export interface StoreLimits {
  /** Puts and deletes a second, of all controllers together. */
  writesPerSecond: number;
  /** Size of one value. */
  valueBytes: number;
  /** Puts and deletes in one transaction. */
  transactionWrites: number;
}

export interface StoreSettings {
  requestsPerSecond: number;
  /** The limits in force when the process starts. */
  present: StoreLimits;
  /**
   * Limits that hold before and after a change that the platform has announced. It changes over without notice, so whatever is
   * written is made to fit both.
   */
  lasting: StoreLimits;
}

export interface ClusterSettings {
  /** Controllers, and as many partitions of the machines. */
  size: number;
  teams: readonly Team[];
  serviceLevelObjectives: readonly ServiceLevelObjective[];
  workers: WorkerTimings;
  store: StoreSettings;
  cloud: { requestsPerSecond: number };
  /** Sockets that the process may have open. */
  sockets: number;
}

/** Another controller. */
export interface PeerSettings {
  node: string;
  zone: string;
  /** Where it listens for other controllers. */
  address: string;
}

/** What the platform tells a controller. */
export interface Settings {
  node: string;
  zone: string;
  /** Where users, workers and health checks come. */
  apiAddress: string;
  /** Where the other controllers come. */
  gossipAddress: string;
  peers: readonly PeerSettings[];
  cloudAddress: string;
  storeAddress: string;
  cluster: ClusterSettings;
}

/** How services are re-matched, and machines with a cached image preferred. */
export interface ReschedulingSettings {
  /** Happiness below which a task is unhappy, a share. */
  happinessThreshold: number;
  /** Heartbeats older than that no longer count. */
  happinessWindowMs: number;
  /** Time between two tests. */
  checkIntervalMs: number;
  /** Tasks moved at most by one partition in one round. */
  movesPerRound: number;
  /** Share of distance taken off for machines that have the image cached; 1: the image decides alone. */
  imageBonus: number;
}
