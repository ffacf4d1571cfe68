interface Check {
  at: number;
  isHealthy: boolean;
}

/** Happiness of service tasks: healthy checks over all checks in a window. */
export class Happiness {
  private readonly checks = new Map<string, Check[]>();
  private readonly movedAt = new Map<string, number>();

  constructor(private readonly windowMs: number) {}

  note(task: string, isHealthy: boolean, at: number): void {
    let list = this.checks.get(task);
    if (list === undefined) this.checks.set(task, (list = []));
    list.push({ at, isHealthy });
    while (list.length > 0 && list[0]!.at < at - this.windowMs) list.shift();
  }

  /** undefined: no checks, no judgement. */
  happinessOf(task: string, now: number): number | undefined {
    const list = (this.checks.get(task) ?? []).filter((check) => check.at >= now - this.windowMs);
    if (list.length === 0) return undefined;
    return list.filter((check) => check.isHealthy).length / list.length;
  }

  /** Tasks with unhealthy checks in the window: what a successor could not learn from the next reports. */
  *troubled(now: number): Iterable<{ task: string; healthy: number; unhealthy: number; lastAt: number }> {
    for (const [task, list] of this.checks) {
      const recent = list.filter((check) => check.at >= now - this.windowMs);
      const healthy = recent.filter((check) => check.isHealthy).length;
      const lastAt = recent.at(-1)?.at;
      if (lastAt !== undefined && healthy < recent.length)
        yield { task, healthy, unhealthy: recent.length - healthy, lastAt };
    }
  }

  /** Takes in what a former leader has counted; the checks all count as made at its last one. */
  restore(task: string, healthy: number, unhealthy: number, at: number): void {
    const restored: Check[] = [];
    for (let n = 0; n < healthy + unhealthy; n++) restored.push({ at, isHealthy: n < healthy });
    this.checks.set(task, [...restored, ...(this.checks.get(task) ?? [])]);
  }

  /** Tasks that were moved within the window. */
  *movedLately(): Iterable<{ task: string; at: number }> {
    for (const [task, at] of this.movedAt) yield { task, at };
  }

  noteMove(task: string, now: number): void {
    this.movedAt.set(task, now);
  }

  /** Each task moves at most once per window. */
  canMove(task: string, now: number): boolean {
    return now - (this.movedAt.get(task) ?? -Infinity) >= this.windowMs;
  }

  /** Drops what is too old to matter. */
  prune(now: number): void {
    for (const [task, list] of this.checks)
      if (list[list.length - 1]!.at < now - this.windowMs) this.checks.delete(task);
    for (const [task, at] of this.movedAt) if (now - at >= this.windowMs) this.movedAt.delete(task);
  }
}
