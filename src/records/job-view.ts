/** The replica's view of one live job: its record and the placements of its tasks. */
import { JOB_PRIORITIES } from '../domain/job.js';
import type { TaskPlacement } from '../domain/task.js';
import type { Urgency } from './job-dependencies.js';
import { countTasksPerZone } from './placement-rules.js';
import { chunkSize, type JobRecord } from './records.js';

/** A job that has not ended: its record and the placements of its tasks. */
export class JobView {
  /** Placements by chunk index; the tasks of a missing chunk were never placed. */
  readonly chunks = new Map<number, readonly TaskPlacement[]>();
  /** Number of tasks that are done, and number of tasks that are placed on a machine. */
  doneCount = 0;
  placedCount = 0;
  private queuedTasks: number[] | undefined;
  private effectiveRecord: JobRecord;
  /** Wall-clock time, ms, by which the job must be complete for its dependents to meet their deadlines; Infinity: no deadline. */
  finishByMs = Infinity;
  private inheritedPriorityIndex = JOB_PRIORITIES.length;

  constructor(
    readonly jobId: string,
    private storedRecord: JobRecord,
  ) {
    this.effectiveRecord = storedRecord;
  }

  /** The job's record, with its priority raised to the highest among its dependents if that is higher. */
  get record(): JobRecord {
    return this.effectiveRecord;
  }

  /** Replaces the job's stored record. */
  updateRecord(record: JobRecord): void {
    this.storedRecord = record;
    this.applyInheritedPriority();
  }

  /** Applies the urgency inherited from the job's dependents. */
  inheritUrgency({ priorityIndex, finishByMs }: Urgency): void {
    this.finishByMs = finishByMs;
    this.inheritedPriorityIndex = priorityIndex;
    this.applyInheritedPriority();
  }

  private applyInheritedPriority(): void {
    const { spec } = this.storedRecord;
    const isRaised = this.inheritedPriorityIndex < JOB_PRIORITIES.indexOf(spec.priority);
    this.effectiveRecord = isRaised
      ? { ...this.storedRecord, spec: { ...spec, priority: JOB_PRIORITIES[this.inheritedPriorityIndex]! } }
      : this.storedRecord;
  }

  placementOf(taskIndex: number): TaskPlacement {
    const chunk = this.chunks.get(Math.floor(taskIndex / this.record.tasksPerChunk));
    return chunk?.[taskIndex % this.record.tasksPerChunk] ?? { kind: 'queued', attempt: 0, failures: 0 };
  }

  /** Replaces a chunk; `placements` undefined: the chunk has been deleted. */
  setChunk(chunkIndex: number, placements: readonly TaskPlacement[] | undefined): void {
    this.queuedTasks = undefined;
    if (placements === undefined) this.chunks.delete(chunkIndex);
    else this.chunks.set(chunkIndex, placements);
  }

  /** Updates the counters for a task whose placement has changed. */
  countChange(before: TaskPlacement | undefined, after: TaskPlacement | undefined): void {
    this.count(before, -1);
    this.count(after, 1);
  }

  private count(placement: TaskPlacement | undefined, delta: 1 | -1): void {
    if (placement?.kind === 'done') this.doneCount += delta;
    if (placement?.kind === 'placed') this.placedCount += delta;
  }

  /** Indexes of the tasks that wait for a machine, in ascending order; cached until placements change. */
  get queuedTaskIndexes(): readonly number[] {
    this.queuedTasks ??= this.listQueuedTasks();
    return this.queuedTasks;
  }

  private listQueuedTasks(): number[] {
    const queued: number[] = [];
    const { tasksPerChunk, spec } = this.record;
    for (let firstTaskIndex = 0; firstTaskIndex < spec.taskCount; firstTaskIndex += tasksPerChunk) {
      const chunkIndex = firstTaskIndex / tasksPerChunk;
      const placements = this.chunks.get(chunkIndex);
      const size = chunkSize(this.record, chunkIndex);
      for (let offset = 0; offset < size; offset++) {
        if (placements === undefined || placements[offset]!.kind === 'queued') queued.push(firstTaskIndex + offset);
      }
    }
    return queued;
  }

  /** Placements of the tasks in all stored chunks, with the task indexes. */
  *storedPlacements(): Generator<[taskIndex: number, TaskPlacement]> {
    for (const [chunkIndex, placements] of this.chunks) {
      const firstTaskIndex = chunkIndex * this.record.tasksPerChunk;
      for (const [offset, placement] of placements.entries()) yield [firstTaskIndex + offset, placement];
    }
  }

  /** Placed tasks in each zone, for jobs that are spread or kept in one zone; empty for others, whose tasks are not scanned. */
  get tasksPerZone(): Map<string, number> {
    const { spreadAcrossZones, singleZone } = this.record.spec;
    if (!spreadAcrossZones && !singleZone) return new Map();
    return countTasksPerZone([...this.storedPlacements()].map(([, placement]) => placement));
  }

  /** Whether all tasks are done. A gang completes as a whole: tasks lost before the others' exits were recorded are done too. */
  get isComplete(): boolean {
    const { kind, taskCount } = this.record.spec;
    return this.doneCount === taskCount || (kind === 'gang' && this.doneCount > 0 && this.placedCount === 0);
  }
}
