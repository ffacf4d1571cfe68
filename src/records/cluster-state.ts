/** The replica's records, decoded and indexed: jobs, placements by machine and by team, leadership, rentals. */
import type { Count } from '../domain/count.js';
import type { JobSpec } from '../domain/job.js';
import type { Resources } from '../domain/resources.js';
import type { TaskPlacement } from '../domain/task.js';
import type { Team, TeamUsage } from '../domain/team.js';
import type { Replica, StoredValue } from '../store/replica.js';
import type { BatchingHint } from '../store/transaction-batcher.js';
import { JobDependencies, type Urgency } from './job-dependencies.js';
import { JobView } from './job-view.js';
import { MachinePlacements, type PlacedTask } from './machine-placements.js';
import { OrphanChunks } from './orphan-chunks.js';
import { decodeChunk } from './placement-codec.js';
import { isQuotaLimited } from './placement-rules.js';
import { decodeJobRecord, decodeLeadershipRecord, decodeRentalRecord } from './record-codecs.js';
import { JOB_PREFIX, LEADERSHIP_PREFIX, PLACEMENT_PREFIX, placementChunkKey, RENTAL_PREFIX } from './record-keys.js';
import { chunkSize, type LeadershipRecord, type RentalRecord } from './records.js';
import { TeamUsageIndex } from './team-usage-index.js';

export { JobView } from './job-view.js';
export type { PlacedTask } from './machine-placements.js';

/** Called after a change has been applied. */
export interface ClusterStateListener {
  /** A job's record has changed or, with `taskIndexes`, the placements of these tasks. */
  jobChanged?(jobId: string, taskIndexes?: readonly number[]): void;
  /** The priority or deadline that a job inherits from its dependents has changed. */
  urgencyChanged?(jobId: string): void;
  leadershipChanged?(role: string): void;
  /** A record could not be decoded; no decision is based on it. */
  recordUnreadable?(key: string, error: unknown): void;
}

/** The decoded live records, updated with every change of the replica. */
export class ClusterState {
  /** Jobs that have not ended. */
  readonly jobs = new Map<string, JobView>();
  /** The dependency graph of the waiting jobs. */
  readonly dependencies = new JobDependencies((jobId, urgency) => this.applyUrgency(jobId, urgency));
  /** The leader of each role, by role. */
  readonly leadershipRecords = new Map<string, { record: LeadershipRecord; modRevision: Count }>();
  /** Rentals that have not ended, by rental id. */
  readonly rentals = new Map<string, RentalRecord>();
  private readonly machines = new MachinePlacements();
  private readonly teams = new TeamUsageIndex();
  private readonly orphanChunks = new OrphanChunks();
  private readonly unreadableKeys = new Set<string>();

  constructor(
    private readonly replica: Replica,
    private readonly listener: ClusterStateListener,
  ) {
    replica.onChange((key, stored) => this.applyChange(key, stored));
  }

  /** Tasks that are placed on a machine, in any agent epoch. */
  tasksOn(machineId: string): Iterable<PlacedTask> {
    return this.machines.tasksOn(machineId);
  }

  taskCountOn(machineId: string): number {
    return this.machines.taskCountOn(machineId);
  }

  /** Resources used by the tasks placed on a machine; undefined: no task is placed there. */
  usedResourcesOn(machineId: string): Readonly<Resources> | undefined {
    return this.machines.usedResourcesOn(machineId);
  }

  /** Number of machines with at least one placed task. */
  get usedMachineCount(): number {
    return this.machines.machineCount;
  }

  *usedMachines(): Iterable<string> {
    yield* this.machines.machineIds;
  }

  /** Total usage of each team's placed tasks. */
  get teamUsages(): ReadonlyMap<string, Readonly<TeamUsage>> {
    return this.teams.all;
  }

  /**
   * Usage of a team's placed tasks; undefined unless the replica holds all changes up to `revision` and can decode all of them.
   * The usage may include tasks that have exited since, but omits none.
   */
  placedUsageOf(team: string, revision: Count): Readonly<TeamUsage> | undefined {
    const isComplete =
      this.replica.revision >= revision && this.unreadableKeys.size === 0 && !this.orphanChunks.mayHoldActivePlacements;
    return isComplete ? this.teams.usageOf(team) : undefined;
  }

  /**
   * Hint for a task's start or exit, which writes the task's chunk and, if the job counts against a limit of `team`, the team's
   * record.
   */
  batchingHintFor(jobId: string, taskIndex: number, team?: Team): BatchingHint | undefined {
    const view = this.jobs.get(jobId);
    if (view === undefined) return undefined;
    const isTeamCounted = team !== undefined && isQuotaLimited(team, view.record.spec);
    return {
      key: placementChunkKey(jobId, Math.floor(taskIndex / view.record.tasksPerChunk)),
      sharedRecord: isTeamCounted ? team.name : undefined,
    };
  }

  /** Chunks without a job record, which the transaction that ended the job had no room to delete. */
  *leftoverChunks(): Iterable<{ jobId: string; chunks: number[] }> {
    for (const [jobId, chunks] of this.orphanChunks.entries()) {
      if (!this.unreadableKeys.has(`${JOB_PREFIX}${jobId}`)) yield { jobId, chunks: [...chunks.keys()] };
    }
  }

  private applyChange(key: string, stored: StoredValue): void {
    try {
      if (key.startsWith(JOB_PREFIX)) this.applyJob(key.slice(JOB_PREFIX.length), stored.value);
      else if (key.startsWith(PLACEMENT_PREFIX)) this.applyChunk(key.slice(PLACEMENT_PREFIX.length), stored.value);
      else if (key.startsWith(LEADERSHIP_PREFIX)) this.applyLeadership(key.slice(LEADERSHIP_PREFIX.length), stored);
      else if (key.startsWith(RENTAL_PREFIX)) this.applyRental(key.slice(RENTAL_PREFIX.length), stored.value);
      this.unreadableKeys.delete(key);
    } catch (error) {
      // No decision is based on an undecodable record: it is not applied, and its resources stay allocated in the store.
      this.unreadableKeys.add(key);
      this.listener.recordUnreadable?.(key, error);
    }
  }

  private applyUrgency(jobId: string, urgency: Urgency): void {
    const view = this.jobs.get(jobId);
    if (view === undefined) return;
    view.inheritUrgency(urgency);
    this.listener.urgencyChanged?.(jobId);
  }

  private applyRental(rentalId: string, value: unknown): void {
    if (value === undefined) this.rentals.delete(rentalId);
    else this.rentals.set(rentalId, decodeRentalRecord(value));
  }

  private applyLeadership(role: string, { value, modRevision }: StoredValue): void {
    if (value === undefined) this.leadershipRecords.delete(role);
    else this.leadershipRecords.set(role, { record: decodeLeadershipRecord(value)!, modRevision });
    this.listener.leadershipChanged?.(role);
  }

  private applyJob(jobId: string, value: unknown): void {
    const view = this.jobs.get(jobId);
    if (value === undefined) {
      if (view === undefined) return;
      this.removeJob(view);
    } else if (view === undefined) this.addJob(jobId, value);
    else this.updateJob(view, value);
    this.listener.jobChanged?.(jobId);
  }

  private addJob(jobId: string, value: unknown): void {
    const record = decodeJobRecord(value);
    const view = new JobView(jobId, record);
    this.jobs.set(jobId, view);
    view.inheritUrgency(this.dependencies.urgencyOf(jobId));
    this.dependencies.update(jobId, record);
    // Pages and changes may deliver chunks before their job's record.
    for (const [chunkIndex, chunk] of this.orphanChunks.get(jobId) ?? []) {
      this.setChunk(view, chunkIndex, decodeChunk(chunk, chunkSize(view.record, chunkIndex)));
    }
    this.orphanChunks.delete(jobId);
  }

  private updateJob(view: JobView, value: unknown): void {
    const record = decodeJobRecord(value);
    view.updateRecord(record);
    this.dependencies.update(view.jobId, record);
  }

  private removeJob(view: JobView): void {
    const { jobId } = view;
    for (const chunkIndex of [...view.chunks.keys()]) {
      this.setChunk(view, chunkIndex, undefined);
      this.orphanChunks.set(jobId, chunkIndex, this.replica.get(placementChunkKey(jobId, chunkIndex)).value);
    }
    this.jobs.delete(jobId);
    this.dependencies.update(jobId, undefined);
  }

  /** `path`: the key without its prefix, `JOB/INDEX`. */
  private applyChunk(path: string, value: unknown): void {
    const slash = path.lastIndexOf('/');
    const jobId = path.slice(0, slash);
    const chunkIndex = Number(path.slice(slash + 1));
    const view = this.jobs.get(jobId);
    if (view === undefined) {
      this.orphanChunks.set(jobId, chunkIndex, value);
      return;
    }
    const previous = view.chunks.get(chunkIndex);
    const placements =
      value === undefined ? undefined : decodeChunk(value, chunkSize(view.record, chunkIndex), previous);
    this.listener.jobChanged?.(jobId, this.setChunk(view, chunkIndex, placements));
  }

  /**
   * Applies a chunk placement by placement, since most placements in it are unchanged whatever its size. Returns the indexes of
   * the tasks whose placement has changed.
   */
  private setChunk(view: JobView, chunkIndex: number, placements: readonly TaskPlacement[] | undefined): number[] {
    const changed: number[] = [];
    const firstTaskIndex = chunkIndex * view.record.tasksPerChunk;
    const previous = view.chunks.get(chunkIndex) ?? [];
    const current = placements ?? [];
    const size = Math.max(previous.length, current.length);
    for (let offset = 0; offset < size; offset++) {
      if (previous[offset] === current[offset]) continue;
      changed.push(firstTaskIndex + offset);
      this.reindexTask(view, firstTaskIndex + offset, previous[offset], current[offset]);
    }
    view.setChunk(chunkIndex, placements);
    return changed;
  }

  private reindexTask(view: JobView, taskIndex: number, previous?: TaskPlacement, current?: TaskPlacement): void {
    view.countChange(previous, current);
    const { jobId, record } = view;
    const previousTask = previous?.kind === 'placed' ? { jobId, taskIndex, placement: previous } : undefined;
    const currentTask = current?.kind === 'placed' ? { jobId, taskIndex, placement: current } : undefined;
    if (currentTask !== undefined && currentTask.placement.machineId === previousTask?.placement.machineId) {
      this.machines.replace(currentTask);
      return;
    }
    if (previousTask !== undefined) this.removeTask(previousTask, record.spec);
    if (currentTask !== undefined) this.addTask(currentTask, record.spec);
  }

  private addTask(placedTask: PlacedTask, spec: JobSpec): void {
    this.machines.add(placedTask, spec);
    this.teams.count(spec, 1);
  }

  private removeTask(placedTask: PlacedTask, spec: JobSpec): void {
    this.machines.remove(placedTask, spec);
    this.teams.count(spec, -1);
  }
}
