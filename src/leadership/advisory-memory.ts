/** Advisory state: what controllers remember beside the records and pass on to their successors. All moments are steady ms. */

/** Advisory state of the cluster leader: read for its followers, and restored from that of a former leader. */
export interface LeaderMemory {
  /** Attempts that were just asked to stop. */
  stopping(): Iterable<{ attempt: string; at: number }>;
  /** Offers that the cloud has just refused. */
  refused(): Iterable<{ offer: string; at: number }>;
  /** Since when machines are idle. */
  idle(): Iterable<{ machineId: string; at: number }>;
  restoreStopping(attempt: string, at: number): void;
  restoreRefusal(offer: string, at: number): void;
  restoreIdle(machineId: string, at: number): void;
}

/** Advisory state of the health checks of service tasks. */
export interface HappinessMemory {
  /** Tasks with unhealthy checks in the window. */
  troubled(now: number): Iterable<{ task: string; healthy: number; unhealthy: number; lastAt: number }>;
  /** Tasks that were moved within the window. */
  movedLately(): Iterable<{ task: string; at: number }>;
  restore(task: string, healthy: number, unhealthy: number, at: number): void;
  noteMove(task: string, at: number): void;
}
