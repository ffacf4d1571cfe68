/** Starts of tasks that have been decided but are not committed to the store yet. */
import type { JobSpec } from '../domain/job.js';

/** One decided start: where the task will run, and what it will use there. */
export interface InFlightStart {
  machineId: string;
  zone: string;
  spec: JobSpec;
}

/** The in-flight starts of this node, by task and by job. A task has at most one. */
export class InFlightStarts {
  private readonly starts = new Map<string, InFlightStart>();
  private readonly taskIndexesByJob = new Map<string, Set<number>>();

  /** All in-flight starts, in the order in which they were decided. */
  all(): Iterable<InFlightStart> {
    return this.starts.values();
  }

  /** Indexes of the job's tasks that are in flight; undefined where there are none. */
  taskIndexesOf(jobId: string): ReadonlySet<number> | undefined {
    return this.taskIndexesByJob.get(jobId);
  }

  /** Zones of the job's in-flight starts, one entry a start. */
  zonesOf(jobId: string): string[] {
    const zones: string[] = [];
    if (!this.taskIndexesByJob.has(jobId)) return zones;
    for (const start of this.starts.values()) {
      if (start.spec.id === jobId) zones.push(start.zone);
    }
    return zones;
  }

  /** Takes in a decided start. */
  add(taskId: string, taskIndex: number, start: InFlightStart): void {
    this.starts.set(taskId, start);
    const jobId = start.spec.id;
    const taskIndexes = this.taskIndexesByJob.get(jobId);
    if (taskIndexes === undefined) this.taskIndexesByJob.set(jobId, new Set([taskIndex]));
    else taskIndexes.add(taskIndex);
  }

  /** The transaction of the start is over, whatever its outcome. */
  remove(jobId: string, taskId: string, taskIndex: number): void {
    this.starts.delete(taskId);
    const taskIndexes = this.taskIndexesByJob.get(jobId);
    taskIndexes?.delete(taskIndex);
    if (taskIndexes?.size === 0) this.taskIndexesByJob.delete(jobId);
  }
}
