/**
 * Happiness, the term of the paper that the design follows: the share of healthy checks among all checks of a service task in
 * a sliding window. A heartbeat that lists the task as running is a healthy check, its death an unhealthy one. A task whose
 * happiness is below a threshold is unhappy and may be moved. All times are steady ms of this node.
 */

interface Check {
  at: number;
  isHealthy: boolean;
}

/** A task with unhealthy checks in the window. */
export interface TroubledTask {
  task: string;
  /** Number of healthy checks in the window. */
  healthy: number;
  /** Number of unhealthy checks in the window, at least one. */
  unhealthy: number;
  /** Time of the last check. */
  lastAt: number;
}

/** The checks and moves of service tasks, by task id; checks of a task are in order of time. */
export class Happiness {
  private readonly checks = new Map<string, Check[]>();
  private readonly movedAt = new Map<string, number>();

  constructor(private readonly windowMs: number) {}

  /** Takes in a check of the task. */
  recordCheck(task: string, isHealthy: boolean, at: number): void {
    const checks = this.checks.get(task);
    if (checks === undefined) {
      this.checks.set(task, [{ at, isHealthy }]);
      return;
    }
    checks.push({ at, isHealthy });
    while (checks[0]!.at < at - this.windowMs) checks.shift();
  }

  /** The task's happiness, from 0 to 1; undefined: without checks in the window there is no judgement. */
  happinessOf(task: string, now: number): number | undefined {
    const checks = this.recentChecks(this.checks.get(task) ?? [], now);
    if (checks.length === 0) return undefined;
    return checks.filter((check) => check.isHealthy).length / checks.length;
  }

  /** Tasks with unhealthy checks in the window: what a successor could not learn from the next heartbeats. */
  *tasksWithUnhealthyChecks(now: number): Iterable<TroubledTask> {
    for (const [task, checks] of this.checks) {
      const recent = this.recentChecks(checks, now);
      const healthy = recent.filter((check) => check.isHealthy).length;
      const lastAt = recent.at(-1)?.at;
      if (lastAt === undefined || healthy === recent.length) continue;
      yield { task, healthy, unhealthy: recent.length - healthy, lastAt };
    }
  }

  /** Takes in what a former leader has counted; the checks all count as made at its last one. */
  restore(task: string, healthy: number, unhealthy: number, at: number): void {
    const restored: Check[] = [];
    for (let index = 0; index < healthy + unhealthy; index++) restored.push({ at, isHealthy: index < healthy });
    this.checks.set(task, [...restored, ...(this.checks.get(task) ?? [])]);
  }

  /** Tasks that were moved within the window, with the time. */
  *recentMoves(): Iterable<{ task: string; at: number }> {
    for (const [task, at] of this.movedAt) yield { task, at };
  }

  /** The task is moved now. */
  recordMove(task: string, now: number): void {
    this.movedAt.set(task, now);
  }

  /** Each task moves at most once per window. */
  canMove(task: string, now: number): boolean {
    return now - (this.movedAt.get(task) ?? -Infinity) >= this.windowMs;
  }

  /** Drops what is too old to matter. */
  prune(now: number): void {
    for (const [task, checks] of this.checks) {
      if (checks.at(-1)!.at < now - this.windowMs) this.checks.delete(task);
    }
    for (const [task, at] of this.movedAt) if (now - at >= this.windowMs) this.movedAt.delete(task);
  }

  private recentChecks(checks: readonly Check[], now: number): Check[] {
    return checks.filter((check) => check.at >= now - this.windowMs);
  }
}
