/** What controllers remember beside the records, and hand over to whoever succeeds them. */

/** What a leader remembers beside the records, and what it takes over of a former one's memory. */
export interface LeaderMemory {
  stopping(): Iterable<{ attempt: string; at: number }>;
  refused(): Iterable<{ offer: string; at: number }>;
  idle(): Iterable<{ machineId: string; at: number }>;
  restoreStopping(attempt: string, at: number): void;
  restoreRefusal(offer: string, at: number): void;
  restoreIdle(machineId: string, at: number): void;
}

/** What is remembered of the happiness of service tasks. */
export interface HappinessMemory {
  troubled(now: number): Iterable<{ task: string; healthy: number; unhealthy: number; lastAt: number }>;
  movedLately(): Iterable<{ task: string; at: number }>;
  restore(task: string, healthy: number, unhealthy: number, at: number): void;
  noteMove(task: string, at: number): void;
}
