/** Exponential backoff of tasks whose attempts fail. */
import { RETRY_BASE_MS, RETRY_MAX_MS } from '../constants/scheduling.js';

interface Backoff {
  /** Failures of the task when the backoff began; another count begins a new one. */
  failures: number;
  /** Steady ms before which the task is not started again. */
  untilMs: number;
}

/** When each failed task may be started again; the backoff begins when the failure is first seen here. */
export class RetryBackoff {
  private readonly backoffs = new Map<string, Backoff>();

  /** Must a task with so many failures (at least one) still wait at steady time `nowMs`? */
  isBackingOff(taskId: string, failures: number, nowMs: number): boolean {
    return this.untilMs(taskId, failures, nowMs) > nowMs;
  }

  /** Forgets the tasks whose backoff ended long ago. */
  prune(nowMs: number): void {
    for (const [taskId, backoff] of this.backoffs) {
      if (nowMs > backoff.untilMs + RETRY_MAX_MS) this.backoffs.delete(taskId);
    }
  }

  private untilMs(taskId: string, failures: number, nowMs: number): number {
    const known = this.backoffs.get(taskId);
    if (known?.failures === failures) return known.untilMs;
    const untilMs = nowMs + Math.min(RETRY_MAX_MS, RETRY_BASE_MS * 2 ** (failures - 1));
    this.backoffs.set(taskId, { failures, untilMs });
    return untilMs;
  }
}
