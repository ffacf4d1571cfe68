/** Advisory state: what controllers remember beside the records and pass on to their successors. All moments are steady ms. */

/** Advisory state of the cluster leader: read for its followers, and restored from that of a former leader. */
export interface LeaderMemory {
  /** Attempts that were just asked to stop. */
  recentEvictions(): Iterable<{ attempt: string; at: number }>;
  /** Offers that the cloud has just refused. */
  refusedOffers(): Iterable<{ offer: string; at: number }>;
  /** Since when machines are idle. */
  idleMachines(): Iterable<{ machineId: string; at: number }>;
  restoreEviction(attempt: string, at: number): void;
  restoreRefusal(offer: string, at: number): void;
  restoreIdle(machineId: string, at: number): void;
}

/** Advisory state of the health checks of service tasks. */
export interface HappinessMemory {
  /** Tasks with unhealthy checks in the window. */
  tasksWithUnhealthyChecks(now: number): Iterable<{ task: string; healthy: number; unhealthy: number; lastAt: number }>;
  /** Tasks that were moved within the window. */
  recentMoves(): Iterable<{ task: string; at: number }>;
  restore(task: string, healthy: number, unhealthy: number, at: number): void;
  recordMove(task: string, at: number): void;
}
