import { attemptKeyFrom } from './attempt-key.js';
import { retainKeys } from './retain-keys.js';
import type { ReportedTask } from './worker-wire-codec.js';

/** When the attempts on a machine were first seen, and first seen running: steady ms, by attempt key. */
export class AttemptRunTimes {
  private readonly seenSince = new Map<string, number>();
  private readonly startedAt = new Map<string, number>();
  /** Attempts that ran already at the first contact with the worker: how long they take can't be told. */
  private readonly alreadyRunning = new Set<string>();

  /** Attempts that were seen to start running. */
  get runningSince(): ReadonlyMap<string, number> {
    return this.startedAt;
  }

  /** Steady ms when the attempt was first seen at all. */
  firstSeen(attemptKey: string): number | undefined {
    return this.seenSince.get(attemptKey);
  }

  /** Takes in the tasks of a newer status, and returns the attempt keys in it. */
  update(tasks: ReadonlyMap<string, ReportedTask>, now: number, isFirstContact: boolean): Set<string> {
    const present = new Set<string>();
    for (const [taskId, task] of tasks) {
      const key = attemptKeyFrom(taskId, task.attempt);
      present.add(key);
      if (!this.seenSince.has(key)) this.seenSince.set(key, now);
      if (task.state === 'running') this.recordRunning(key, now, isFirstContact);
    }
    for (const keys of [this.seenSince, this.startedAt, this.alreadyRunning]) retainKeys(keys, present);
    return present;
  }

  private recordRunning(key: string, now: number, isFirstContact: boolean): void {
    if (isFirstContact) this.alreadyRunning.add(key);
    if (!this.alreadyRunning.has(key) && !this.startedAt.has(key)) this.startedAt.set(key, now);
  }
}
