/** Starts of tasks that are planned but not yet committed to the store. */
import type { JobSpec } from '../domain/job.js';

/** One planned start: where the task will run, and the job spec with the resources that it will use. */
export interface InFlightStart {
  machineId: string;
  zone: string;
  spec: JobSpec;
}

/** The in-flight starts of this node, by task and by job. Each task has at most one. */
export class InFlightStarts {
  private readonly starts = new Map<string, InFlightStart>();
  private readonly taskIndexesByJob = new Map<string, Set<number>>();

  /** All in-flight starts, in the order in which they were added. */
  all(): Iterable<InFlightStart> {
    return this.starts.values();
  }

  /** Indexes of the job's tasks with an in-flight start; undefined if there are none. */
  taskIndexesOf(jobId: string): ReadonlySet<number> | undefined {
    return this.taskIndexesByJob.get(jobId);
  }

  /** Zones of the job's in-flight starts, one entry per start. */
  zonesOf(jobId: string): string[] {
    const zones: string[] = [];
    if (!this.taskIndexesByJob.has(jobId)) return zones;
    for (const start of this.starts.values()) {
      if (start.spec.id === jobId) zones.push(start.zone);
    }
    return zones;
  }

  add(taskId: string, taskIndex: number, start: InFlightStart): void {
    this.starts.set(taskId, start);
    const jobId = start.spec.id;
    const taskIndexes = this.taskIndexesByJob.get(jobId);
    if (taskIndexes === undefined) this.taskIndexesByJob.set(jobId, new Set([taskIndex]));
    else taskIndexes.add(taskIndex);
  }

  /** Removes a start whose transaction has ended, whatever its outcome. */
  remove(jobId: string, taskId: string, taskIndex: number): void {
    this.starts.delete(taskId);
    const taskIndexes = this.taskIndexesByJob.get(jobId);
    taskIndexes?.delete(taskIndex);
    if (taskIndexes?.size === 0) this.taskIndexesByJob.delete(jobId);
  }
}
