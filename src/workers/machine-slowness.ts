import { SLOW_MACHINE_FACTOR, SLOW_MACHINE_MS, SLOW_MACHINE_TASKS } from '../constants/workers.js';
import { retainKeys } from './retain-keys.js';

/** Detects from the run times of a machine's last tasks whether it is slow. Invariant: each attempt counts once. */
export class MachineSlowness {
  /** Run times of the last tasks here, as multiples of their siblings' mean. */
  private readonly runTimeRatios: number[] = [];
  /** Monotonic ms. */
  private slowUntil = -Infinity;
  private readonly countedAttempts = new Set<string>();
  private readonly evictedAttempts = new Set<string>();

  /** Records that a task ran, or has run so far, for `ratio` times the mean of its siblings. */
  recordRunTimeRatio(attemptKey: string, ratio: number, now: number): void {
    if (this.countedAttempts.has(attemptKey)) return;
    this.countedAttempts.add(attemptKey);
    this.runTimeRatios.push(ratio);
    if (this.runTimeRatios.length > SLOW_MACHINE_TASKS) this.runTimeRatios.shift();
    // A single task that ran no longer than others shows that the machine is not slow: run times vary between jobs, but
    // a slow machine slows all tasks.
    const areAllSlow =
      this.runTimeRatios.length === SLOW_MACHINE_TASKS &&
      this.runTimeRatios.every((each) => each > SLOW_MACHINE_FACTOR);
    if (areAllSlow) this.slowUntil = now + SLOW_MACHINE_MS;
  }

  /** Whether the machine counts as slow. This expires, since nothing else would show that the machine has recovered. */
  isSlow(now: number): boolean {
    if (now >= this.slowUntil && this.slowUntil > -Infinity) {
      this.slowUntil = -Infinity;
      this.runTimeRatios.length = 0;
    }
    return now < this.slowUntil;
  }

  /** Whether the attempt was evicted because the machine is slow. */
  isEvicted(attemptKey: string): boolean {
    return this.evictedAttempts.has(attemptKey);
  }

  /** Records that the attempt is evicted because the machine is slow. */
  markEvicted(attemptKey: string): void {
    this.evictedAttempts.add(attemptKey);
  }

  /** Forgets attempts that are no longer on the machine. */
  retainAttempts(present: ReadonlySet<string>): void {
    retainKeys(this.countedAttempts, present);
    retainKeys(this.evictedAttempts, present);
  }
}
