/** The replica's records, decoded and indexed: jobs, placements by machine and by team, leadership, rentals. */
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
import { isLimited } from './placement-rules.js';
import { decodeJobRecord, decodeLeadershipRecord, decodeRentalRecord } from './record-codecs.js';
import { JOB_PREFIX, LEADERSHIP_PREFIX, PLACEMENT_PREFIX, placementChunkKey, RENTAL_PREFIX } from './record-keys.js';
import { chunkSize, type LeadershipRecord, type RentalRecord } from './records.js';
import { TeamUsageIndex } from './team-usage-index.js';

export { JobView } from './job-view.js';
export type { PlacedTask } from './machine-placements.js';

/** Told of changes after they have been taken in. */
export interface ClusterStateListener {
  /** Something about a job has changed; with `taskIndexes`: the placements of these tasks. */
  jobChanged?(jobId: string, taskIndexes?: readonly number[]): void;
  /** A job has another priority or deadline for the sake of those that depend on it. */
  urgencyChanged?(jobId: string): void;
  leadershipChanged?(role: string): void;
  /** A record could not be decoded; nothing is decided on it. */
  recordUnreadable?(key: string, error: unknown): void;
}

/** All live records as decoded objects, kept current from the replica. */
export class ClusterState {
  /** Jobs that are not over. */
  readonly jobs = new Map<string, JobView>();
  /** Which jobs wait for which others. */
  readonly dependencies = new JobDependencies((jobId, urgency) => this.applyUrgency(jobId, urgency));
  /** Who leads each role, by role. */
  readonly leadershipRecords = new Map<string, { record: LeadershipRecord; modRevision: number }>();
  /** Rentals that are not over, by the name in their key. */
  readonly rentals = new Map<string, RentalRecord>();
  private readonly machines = new MachinePlacements();
  private readonly teams = new TeamUsageIndex();
  private readonly orphanChunks = new OrphanChunks();
  private readonly unreadableKeys = new Set<string>();

  constructor(
    private readonly replica: Replica,
    private readonly listener: ClusterStateListener,
  ) {
    replica.onChange((key, now) => this.apply(key, now));
  }

  /** Tasks that are placed on a machine, whatever the epoch of its agent. */
  tasksOn(machineId: string): Iterable<PlacedTask> {
    return this.machines.tasksOn(machineId);
  }

  taskCountOn(machineId: string): number {
    return this.machines.taskCountOn(machineId);
  }

  /** Resources that placed tasks use on a machine; undefined: no task is placed there. */
  usedOn(machineId: string): Readonly<Resources> | undefined {
    return this.machines.usedOn(machineId);
  }

  /** Machines with a placed task. */
  get usedMachineCount(): number {
    return this.machines.machineCount;
  }

  *usedMachines(): Iterable<string> {
    yield* this.machines.machineIds;
  }

  /** What each team's placed tasks use together. */
  get teamUsages(): ReadonlyMap<string, Readonly<TeamUsage>> {
    return this.teams.all;
  }

  /**
   * What a team's placed tasks use, if the replica holds all that happened up to the revision and all of it can be read; it may
   * count tasks that have ended by now, and misses none.
   */
  placedUsageOf(team: string, upTo: number): Readonly<TeamUsage> | undefined {
    const isComplete =
      this.replica.revision >= upTo && this.unreadableKeys.size === 0 && !this.orphanChunks.hasActivePlacements;
    return isComplete ? this.teams.usageOf(team) : undefined;
  }

  /** Hint for the start or exit of a task: it writes the task's chunk, and its team's record if that may change with it. */
  batchingHintFor(jobId: string, taskIndex: number, team?: Team): BatchingHint | undefined {
    const view = this.jobs.get(jobId);
    if (view === undefined) return undefined;
    const isTeamCounted = team !== undefined && isLimited(team, view.record.spec);
    return {
      key: placementChunkKey(jobId, Math.floor(taskIndex / view.record.tasksPerChunk)),
      shared: isTeamCounted ? team.name : undefined,
    };
  }

  /** Chunks of jobs that are over: those that the transaction of the end had no room to delete. */
  *leftoverChunks(): Iterable<{ jobId: string; chunks: number[] }> {
    for (const [jobId, chunks] of this.orphanChunks.entries()) {
      if (!this.unreadableKeys.has(`${JOB_PREFIX}${jobId}`)) yield { jobId, chunks: [...chunks.keys()] };
    }
  }

  private apply(key: string, now: StoredValue): void {
    try {
      if (key.startsWith(JOB_PREFIX)) this.applyJob(key.slice(JOB_PREFIX.length), now.value);
      else if (key.startsWith(PLACEMENT_PREFIX)) this.applyChunk(key.slice(PLACEMENT_PREFIX.length), now.value);
      else if (key.startsWith(LEADERSHIP_PREFIX)) this.applyLeadership(key.slice(LEADERSHIP_PREFIX.length), now);
      else if (key.startsWith(RENTAL_PREFIX)) this.applyRental(key.slice(RENTAL_PREFIX.length), now.value);
      this.unreadableKeys.delete(key);
    } catch (error) {
      // Refuse to act on what can't be read: the job stays out of this state, and its resources stay taken in the store.
      this.unreadableKeys.add(key);
      this.listener.recordUnreadable?.(key, error);
    }
  }

  private applyUrgency(jobId: string, urgency: Urgency): void {
    const view = this.jobs.get(jobId);
    if (view === undefined) return;
    view.inherit(urgency);
    this.listener.urgencyChanged?.(jobId);
  }

  private applyRental(name: string, value: unknown): void {
    if (value === undefined) this.rentals.delete(name);
    else this.rentals.set(name, decodeRentalRecord(value));
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
    view.inherit(this.dependencies.urgencyOf(jobId));
    this.dependencies.update(jobId, record);
    // Pages and changes may bring chunks before their job.
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

  /** `path`: the part of the key behind the prefix, JOB/INDEX. */
  private applyChunk(path: string, value: unknown): void {
    const slash = path.lastIndexOf('/');
    const jobId = path.slice(0, slash);
    const chunkIndex = Number(path.slice(slash + 1));
    const view = this.jobs.get(jobId);
    if (view === undefined) {
      this.orphanChunks.set(jobId, chunkIndex, value);
      return;
    }
    const before = view.chunks.get(chunkIndex);
    const placements = value === undefined ? undefined : decodeChunk(value, chunkSize(view.record, chunkIndex), before);
    this.listener.jobChanged?.(jobId, this.setChunk(view, chunkIndex, placements));
  }

  /**
   * Takes in a chunk, placement by placement: most of it stays as it was, whatever its size. Returns the indexes of the tasks
   * whose placement has changed.
   */
  private setChunk(view: JobView, chunkIndex: number, placements: readonly TaskPlacement[] | undefined): number[] {
    const changed: number[] = [];
    const first = chunkIndex * view.record.tasksPerChunk;
    const before = view.chunks.get(chunkIndex) ?? [];
    const now = placements ?? [];
    const size = Math.max(before.length, now.length);
    for (let at = 0; at < size; at++) {
      if (before[at] === now[at]) continue;
      changed.push(first + at);
      this.updateIndexes(view, first + at, before[at], now[at]);
    }
    view.setChunk(chunkIndex, placements);
    return changed;
  }

  private updateIndexes(view: JobView, taskIndex: number, before?: TaskPlacement, now?: TaskPlacement): void {
    view.countChange(before, now);
    const { jobId, record } = view;
    const oldTask = before?.kind === 'placed' ? { jobId, taskIndex, placement: before } : undefined;
    const newTask = now?.kind === 'placed' ? { jobId, taskIndex, placement: now } : undefined;
    if (newTask !== undefined && newTask.placement.machineId === oldTask?.placement.machineId) {
      this.machines.replace(newTask);
      return;
    }
    if (oldTask !== undefined) this.removeTask(oldTask, record.spec);
    if (newTask !== undefined) this.addTask(newTask, record.spec);
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
