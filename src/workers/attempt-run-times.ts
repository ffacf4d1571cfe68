import { attemptKeyFrom } from './attempt-key.js';
import { retainKeys } from './retain-keys.js';
import type { ReportedTask } from './worker-wire-codec.js';

/** When the attempts on a machine were first seen, and first seen running: monotonic ms, by attempt key. */
export class AttemptRunTimes {
  private readonly firstSeenAt = new Map<string, number>();
  private readonly startedAt = new Map<string, number>();
  /** Attempts that were already running at the first contact with the worker: their run times can't be known. */
  private readonly alreadyRunning = new Set<string>();

  /** Start times of the attempts that were seen to start running. */
  get runningSince(): ReadonlyMap<string, number> {
    return this.startedAt;
  }

  /** Monotonic ms when the attempt was first seen, in any state. */
  firstSeen(attemptKey: string): number | undefined {
    return this.firstSeenAt.get(attemptKey);
  }

  /** Applies the tasks of a newer status, and returns their attempt keys. */
  update(tasks: ReadonlyMap<string, ReportedTask>, now: number, isFirstContact: boolean): Set<string> {
    const present = new Set<string>();
    for (const [taskId, task] of tasks) {
      const key = attemptKeyFrom(taskId, task.attempt);
      present.add(key);
      if (!this.firstSeenAt.has(key)) this.firstSeenAt.set(key, now);
      if (task.state === 'running') this.recordRunning(key, now, isFirstContact);
    }
    for (const keys of [this.firstSeenAt, this.startedAt, this.alreadyRunning]) retainKeys(keys, present);
    return present;
  }

  private recordRunning(key: string, now: number, isFirstContact: boolean): void {
    if (isFirstContact) this.alreadyRunning.add(key);
    if (!this.alreadyRunning.has(key) && !this.startedAt.has(key)) this.startedAt.set(key, now);
  }
}
