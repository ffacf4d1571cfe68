/**
 * Happiness of a service task, as defined in the paper that the design follows: the share of healthy checks among all checks in
 * a sliding window. A heartbeat that lists the task as running is a healthy check, the task's death an unhealthy one. A task
 * whose happiness is below a threshold is unhappy and may be moved. All times are monotonic ms of this node.
 */

interface Check {
  atMs: number;
  isHealthy: boolean;
}

/** The check counts of a task with unhealthy checks in the window. */
export interface TaskCheckCounts {
  task: string;
  /** Number of healthy checks in the window. */
  healthy: number;
  /** Number of unhealthy checks in the window, at least one. */
  unhealthy: number;
  /** Time of the last check. */
  lastAt: number;
}

/** The checks and moves of service tasks, by task id. The checks of a task are ordered by time. */
export class Happiness {
  private readonly checks = new Map<string, Check[]>();
  private readonly movedAtMs = new Map<string, number>();

  constructor(private readonly windowMs: number) {}

  /** Adds a check of the task. */
  recordCheck(taskId: string, isHealthy: boolean, atMs: number): void {
    const checks = this.checks.get(taskId);
    if (checks === undefined) {
      this.checks.set(taskId, [{ atMs, isHealthy }]);
      return;
    }
    checks.push({ atMs, isHealthy });
    while (checks[0]!.atMs < atMs - this.windowMs) checks.shift();
  }

  /** The task's happiness, from 0 to 1; undefined if there are no checks in the window. */
  happinessOf(taskId: string, nowMs: number): number | undefined {
    const checks = this.recentChecks(this.checks.get(taskId) ?? [], nowMs);
    if (checks.length === 0) return undefined;
    return checks.filter((check) => check.isHealthy).length / checks.length;
  }

  /** Tasks with unhealthy checks in the window. A new leader can't learn of those checks from heartbeats. */
  *tasksWithUnhealthyChecks(nowMs: number): Iterable<TaskCheckCounts> {
    for (const [task, checks] of this.checks) {
      const recent = this.recentChecks(checks, nowMs);
      const healthy = recent.filter((check) => check.isHealthy).length;
      const lastAt = recent.at(-1)?.atMs;
      if (lastAt === undefined || healthy === recent.length) continue;
      yield { task, healthy, unhealthy: recent.length - healthy, lastAt };
    }
  }

  /** Adds the check counts of a former leader; all its checks get the time of its last one. */
  restore(taskId: string, healthy: number, unhealthy: number, atMs: number): void {
    const restored: Check[] = [];
    for (let index = 0; index < healthy + unhealthy; index++) restored.push({ atMs, isHealthy: index < healthy });
    this.checks.set(taskId, [...restored, ...(this.checks.get(taskId) ?? [])]);
  }

  /** Tasks that were moved within the window, with the time of their last move. */
  *recentMoves(): Iterable<{ task: string; at: number }> {
    for (const [task, at] of this.movedAtMs) yield { task, at };
  }

  /** Records a move of the task. */
  recordMove(taskId: string, atMs: number): void {
    this.movedAtMs.set(taskId, atMs);
  }

  /** Whether the task may be moved now: each task moves at most once per window. */
  canMove(taskId: string, nowMs: number): boolean {
    return nowMs - (this.movedAtMs.get(taskId) ?? -Infinity) >= this.windowMs;
  }

  /** Removes tasks without checks in the window, and moves before it. */
  prune(nowMs: number): void {
    for (const [taskId, checks] of this.checks) {
      if (checks.at(-1)!.atMs < nowMs - this.windowMs) this.checks.delete(taskId);
    }
    for (const [taskId, atMs] of this.movedAtMs) if (nowMs - atMs >= this.windowMs) this.movedAtMs.delete(taskId);
  }

  private recentChecks(checks: readonly Check[], nowMs: number): Check[] {
    return checks.filter((check) => check.atMs >= nowMs - this.windowMs);
  }
}
