import { SLOW_MACHINE_FACTOR, SLOW_MACHINE_MS, SLOW_MACHINE_TASKS } from '../constants/workers.js';
import { retainKeys } from './retain-keys.js';

/** Tells by the run times of its last tasks whether a machine is slow. Invariant: each attempt counts once. */
export class MachineSlowness {
  /** How many times longer than their siblings the last tasks ran here. */
  private readonly runTimeRatios: number[] = [];
  /** Steady ms. */
  private slowUntil = -Infinity;
  private readonly countedAttempts = new Set<string>();
  private readonly evictedAttempts = new Set<string>();

  /** A task took, or has taken so far, that many times the mean of its siblings. */
  recordRunTimeRatio(attemptKey: string, ratio: number, now: number): void {
    if (this.countedAttempts.has(attemptKey)) return;
    this.countedAttempts.add(attemptKey);
    this.runTimeRatios.push(ratio);
    if (this.runTimeRatios.length > SLOW_MACHINE_TASKS) this.runTimeRatios.shift();
    // One task that ran as long as others do speaks for the machine: jobs vary, a slow machine slows all.
    const areAllSlow =
      this.runTimeRatios.length === SLOW_MACHINE_TASKS &&
      this.runTimeRatios.every((each) => each > SLOW_MACHINE_FACTOR);
    if (areAllSlow) this.slowUntil = now + SLOW_MACHINE_MS;
  }

  /** Slow for a while: then it gets another chance, since nothing else would show that it has recovered. */
  isSlow(now: number): boolean {
    if (now >= this.slowUntil && this.slowUntil > -Infinity) {
      this.slowUntil = -Infinity;
      this.runTimeRatios.length = 0;
    }
    return now < this.slowUntil;
  }

  /** Was the attempt evicted because the machine is slow? */
  isEvicted(attemptKey: string): boolean {
    return this.evictedAttempts.has(attemptKey);
  }

  /** The attempt is evicted because the machine is slow. */
  markEvicted(attemptKey: string): void {
    this.evictedAttempts.add(attemptKey);
  }

  /** Forgets attempts that are not on the machine any more. */
  retainAttempts(present: ReadonlySet<string>): void {
    retainKeys(this.countedAttempts, present);
    retainKeys(this.evictedAttempts, present);
  }
}
