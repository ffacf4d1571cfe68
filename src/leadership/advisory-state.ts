/** Advisory state: kept in memory only, not in the records, and streamed to successors. All times are monotonic ms. */

/** Advisory state of the cluster leader: streamed to its followers, and restored on its successor after a takeover. */
export interface LeaderAdvisoryState {
  /** Attempts that were recently asked to stop. */
  recentEvictions(): Iterable<{ attempt: string; at: number }>;
  /** Offers that the cloud has recently refused: `<machine type> <zone> <isSpot>`. */
  refusedOffers(): Iterable<{ offer: string; at: number }>;
  /** Idle machines; each has been idle since `at`. */
  idleMachines(): Iterable<{ machineId: string; at: number }>;
  restoreEviction(attempt: string, at: number): void;
  restoreRefusal(offer: string, at: number): void;
  restoreIdle(machineId: string, at: number): void;
}

/** Advisory state about the health checks of service tasks. */
export interface HealthAdvisoryState {
  /** Tasks with unhealthy checks within the observation window. */
  tasksWithUnhealthyChecks(now: number): Iterable<{ task: string; healthy: number; unhealthy: number; lastAt: number }>;
  /** Tasks that were moved within the observation window. */
  recentMoves(): Iterable<{ task: string; at: number }>;
  restore(task: string, healthy: number, unhealthy: number, at: number): void;
  recordMove(task: string, at: number): void;
}
