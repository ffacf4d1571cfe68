/** Exponential backoff of tasks whose attempts fail. */
import { RETRY_BASE_MS, RETRY_MAX_MS } from '../constants/scheduling.js';

interface Backoff {
  /** Failures of the task when the backoff began; a different count begins a new backoff. */
  failures: number;
  /** Monotonic ms before which the task is not started again. */
  untilMs: number;
}

/** Records when each failed task may be started again. The backoff begins when this node first sees the failure. */
export class RetryBackoff {
  private readonly backoffs = new Map<string, Backoff>();

  /** Whether a task with `failures` failures (at least one) must still wait at monotonic time `nowMs`. */
  isBackingOff(taskId: string, failures: number, nowMs: number): boolean {
    return this.untilMs(taskId, failures, nowMs) > nowMs;
  }

  /** Removes the tasks whose backoff ended more than `RETRY_MAX_MS` ago. */
  prune(nowMs: number): void {
    for (const [taskId, backoff] of this.backoffs) {
      if (nowMs > backoff.untilMs + RETRY_MAX_MS) this.backoffs.delete(taskId);
    }
  }

  private untilMs(taskId: string, failures: number, nowMs: number): number {
    const existing = this.backoffs.get(taskId);
    if (existing?.failures === failures) return existing.untilMs;
    const untilMs = nowMs + Math.min(RETRY_MAX_MS, RETRY_BASE_MS * 2 ** (failures - 1));
    this.backoffs.set(taskId, { failures, untilMs });
    return untilMs;
  }
}
