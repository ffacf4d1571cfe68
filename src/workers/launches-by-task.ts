import type { TaskAttempt } from './attempt-key.js';

/** Launches, found by the task that they are for. */
export class LaunchesByTask<Launch extends TaskAttempt> {
  private readonly byTask = new Map<string, Launch[]>();

  /** All launches, task by task. */
  *all(): Generator<Launch> {
    for (const launches of this.byTask.values()) yield* launches;
  }

  /** The launches of all attempts of the task. */
  of(taskId: string): readonly Launch[] {
    return this.byTask.get(taskId) ?? [];
  }

  add(launch: Launch): void {
    const launches = this.byTask.get(launch.taskId);
    if (launches === undefined) this.byTask.set(launch.taskId, [launch]);
    else launches.push(launch);
  }

  /** Removes the launches that match. */
  remove(matches: (launch: Launch) => boolean): void {
    for (const taskId of this.byTask.keys()) this.removeOf(taskId, matches);
  }

  /** Removes the task's launches that match. */
  removeOf(taskId: string, matches: (launch: Launch) => boolean): void {
    const launches = this.of(taskId);
    const kept = launches.filter((launch) => !matches(launch));
    if (kept.length === 0) this.byTask.delete(taskId);
    else if (kept.length < launches.length) this.byTask.set(taskId, kept);
  }

  clear(): void {
    this.byTask.clear();
  }
}
