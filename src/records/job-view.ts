/** One job that is not over, with the placements of its tasks, as far as the replica knows them. */
import { JOB_PRIORITIES } from '../domain/job.js';
import type { TaskPlacement } from '../domain/task.js';
import type { Urgency } from './job-dependencies.js';
import { countTasksPerZone } from './placement-rules.js';
import { chunkSize, type JobRecord } from './records.js';

/** One live job: its record and the placements of its tasks. */
export class JobView {
  /** Placements by chunk index; a chunk that is missing holds tasks that were never placed. */
  readonly chunks = new Map<number, readonly TaskPlacement[]>();
  /** Number of tasks that are done, and of those that are on a machine. */
  done = 0;
  placed = 0;
  private queuedTasks: number[] | undefined;
  private effectiveRecord: JobRecord;
  /** Time of day, ms, by which the job must be complete for the sake of the jobs that depend on it; Infinity: no deadline. */
  finishBy = Infinity;
  private inheritedPriorityIndex = JOB_PRIORITIES.length;

  constructor(
    readonly jobId: string,
    private storedRecord: JobRecord,
  ) {
    this.effectiveRecord = storedRecord;
  }

  /** The job's record, but with the priority of the most urgent job that depends on it, where that is higher than its own. */
  get record(): JobRecord {
    return this.effectiveRecord;
  }

  /** Takes in a new record of the job. */
  updateRecord(record: JobRecord): void {
    this.storedRecord = record;
    this.applyInheritedPriority();
  }

  /** Takes in what the jobs that depend on this one ask of it. */
  inherit({ priorityIndex, finishBy }: Urgency): void {
    this.finishBy = finishBy;
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

  /** Replaces a chunk; undefined: it has been deleted. */
  setChunk(chunkIndex: number, placements: readonly TaskPlacement[] | undefined): void {
    this.queuedTasks = undefined;
    if (placements === undefined) this.chunks.delete(chunkIndex);
    else this.chunks.set(chunkIndex, placements);
  }

  /** Counts a task whose placement has changed. */
  countChange(before: TaskPlacement | undefined, now: TaskPlacement | undefined): void {
    this.count(before, -1);
    this.count(now, 1);
  }

  private count(placement: TaskPlacement | undefined, tasks: 1 | -1): void {
    if (placement?.kind === 'done') this.done += tasks;
    if (placement?.kind === 'placed') this.placed += tasks;
  }

  /** Indexes of the tasks that wait for a machine, in order; listed anew only when placements have changed. */
  get queued(): readonly number[] {
    this.queuedTasks ??= this.listQueued();
    return this.queuedTasks;
  }

  private listQueued(): number[] {
    const queued: number[] = [];
    const { tasksPerChunk, spec } = this.record;
    for (let first = 0; first < spec.taskCount; first += tasksPerChunk) {
      const chunkIndex = first / tasksPerChunk;
      const placements = this.chunks.get(chunkIndex);
      const size = chunkSize(this.record, chunkIndex);
      for (let at = 0; at < size; at++) {
        if (placements === undefined || placements[at]!.kind === 'queued') queued.push(first + at);
      }
    }
    return queued;
  }

  /** All tasks that were ever placed, with their indexes. */
  *knownPlacements(): Generator<[taskIndex: number, TaskPlacement]> {
    for (const [chunkIndex, placements] of this.chunks) {
      const first = chunkIndex * this.record.tasksPerChunk;
      for (const [at, placement] of placements.entries()) yield [first + at, placement];
    }
  }

  /** Tasks of the job in each zone, where a rule asks for them; empty for other jobs, whose tasks are not looked through. */
  get tasksPerZone(): Map<string, number> {
    const { spreadAcrossZones, singleZone } = this.record.spec;
    if (!spreadAcrossZones && !singleZone) return new Map();
    return countTasksPerZone([...this.knownPlacements()].map(([, placement]) => placement));
  }

  /** A gang completes together: tasks that were lost before the end of the others was recorded have ended with them. */
  get isComplete(): boolean {
    const { kind, taskCount } = this.record.spec;
    return this.done === taskCount || (kind === 'gang' && this.done > 0 && this.placed === 0);
  }
}
