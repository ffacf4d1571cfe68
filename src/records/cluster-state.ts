import type { Team, TeamUsage } from '../domain/team.js';
import { JobDependencies, type Urgency } from './job-dependencies.js';
import { JOB_PREFIX, LEADERSHIP_PREFIX, PLACEMENT_PREFIX, placementChunkKey, RENTAL_PREFIX } from './record-keys.js';
import type { ActivePlacement, TaskPlacement } from '../domain/task.js';
import { chunkSize, type JobRecord, type LeadershipRecord, type RentalRecord } from './records.js';
import { JOB_PRIORITIES } from '../domain/job.js';
import { type Resources, roundAmount, subtractResources } from '../domain/resources.js';
import { decodeChunk, hasNoActivePlacements } from './placement-codec.js';
import { decodeJobRecord, decodeLeadershipRecord, decodeRentalRecord } from './record-codecs.js';
import { isLimited, countTasksPerZone } from './placement-rules.js';
import type { BatchingHint } from '../store/transaction-batcher.js';
import type { Replica, StoredValue } from '../store/replica.js';

export interface PlacedTask {
  jobId: string;
  taskIndex: number;
  placement: ActivePlacement;
}

/** A job and where its shards stand, as far as the replica knows. */
export class JobView {
  readonly chunks = new Map<number, readonly TaskPlacement[]>();
  done = 0;
  placed = 0;
  private queuedTasks: number[] | undefined;
  private effective: JobRecord;
  /** Time of day, ms, by which the job must be complete for the sake of the jobs that need it; Infinity: no matter. */
  finishBy = Infinity;
  private inheritedPriorityIndex = JOB_PRIORITIES.length;

  constructor(
    readonly jobId: string,
    private stored: JobRecord,
  ) {
    this.effective = stored;
  }

  /** The job's record, but with the rank of the most urgent job that needs it, where that is higher than its own. */
  get record(): JobRecord {
    return this.effective;
  }

  /** Takes in a new record of the job. */
  updateRecord(record: JobRecord): void {
    this.stored = record;
    this.applyInheritedPriority();
  }

  /** Takes in what the jobs that need this one ask of it. */
  inherit({ priorityIndex, finishBy }: Urgency): void {
    this.finishBy = finishBy;
    this.inheritedPriorityIndex = priorityIndex;
    this.applyInheritedPriority();
  }

  private applyInheritedPriority(): void {
    const { spec } = this.stored;
    const isRaised = this.inheritedPriorityIndex < JOB_PRIORITIES.indexOf(spec.priority);
    this.effective = isRaised
      ? { ...this.stored, spec: { ...spec, priority: JOB_PRIORITIES[this.inheritedPriorityIndex]! } }
      : this.stored;
  }

  placementOf(taskIndex: number): TaskPlacement {
    const chunk = this.chunks.get(Math.floor(taskIndex / this.record.tasksPerChunk));
    return chunk?.[taskIndex % this.record.tasksPerChunk] ?? { kind: 'queued', attempt: 0, failures: 0 };
  }

  /** The shards that wait for a place, in order; listed anew only when the ledger has changed. */
  get queued(): readonly number[] {
    if (this.queuedTasks === undefined) {
      this.queuedTasks = [];
      const { tasksPerChunk, spec } = this.record;
      for (let first = 0; first < spec.taskCount; first += tasksPerChunk) {
        const placements = this.chunks.get(first / tasksPerChunk);
        const size = Math.min(tasksPerChunk, spec.taskCount - first);
        for (let at = 0; at < size; at++) {
          if (placements === undefined || placements[at]!.kind === 'queued') this.queuedTasks.push(first + at);
        }
      }
    }
    return this.queuedTasks;
  }

  /** The ledger has changed. */
  placementsChanged(): void {
    this.queuedTasks = undefined;
  }

  /** All slots that were ever placed, with their numbers. */
  *knownPlacements(): Generator<[number, TaskPlacement]> {
    for (const [index, placements] of this.chunks) {
      for (const [at, placement] of placements.entries()) yield [index * this.record.tasksPerChunk + at, placement];
    }
  }

  /** Tasks of the job in each zone, where a rule asks for them; else nobody looks through them. */
  get tasksPerZone(): Map<string, number> {
    const { spreadAcrossZones, singleZone } = this.record.spec;
    return countTasksPerZone(
      spreadAcrossZones || singleZone ? [...this.knownPlacements()].map(([, placement]) => placement) : [],
    );
  }

  /** A gang completes together: what was lost before the others' end was recorded has ended with them. */
  get isComplete(): boolean {
    const { kind, taskCount } = this.record.spec;
    return this.done === taskCount || (kind === 'gang' && this.done > 0 && this.placed === 0);
  }
}

export interface ClusterStateListener {
  /** Something about a job has changed, or of its ledger these shards. */
  jobChanged?(jobId: string, taskIndexes?: readonly number[]): void;
  /** A job has another rank or deadline for the sake of those that need it. */
  urgencyChanged?(jobId: string): void;
  leadershipChanged?(role: string): void;
  recordUnreadable?(key: string, error: unknown): void;
}

/** The replica's records, read and indexed: jobs, places by machine, claims. */
export class ClusterState {
  readonly jobs = new Map<string, JobView>();
  /** Which jobs wait for which others. */
  readonly dependencies = new JobDependencies((jobId, urgency) => this.inherit(jobId, urgency));
  readonly leadershipRecords = new Map<string, { record: LeadershipRecord; modRevision: number }>();
  /** Rentals that are not over. */
  readonly rentals = new Map<string, RentalRecord>();
  private readonly tasksByMachine = new Map<string, Map<string, PlacedTask>>();
  /** Room that each machine's places take, and each team's use, kept up with every change instead of summed anew. */
  private readonly usedByMachine = new Map<string, Resources>();
  private readonly teams = new Map<string, TeamUsage>();
  private readonly chunksWithoutJob = new Map<string, Map<number, unknown>>();
  private readonly unreadable = new Set<string>();

  constructor(
    private readonly replica: Replica,
    private readonly listener: ClusterStateListener,
  ) {
    replica.onChange((key, now) => this.apply(key, now));
  }

  private inherit(jobId: string, urgency: Urgency): void {
    const view = this.jobs.get(jobId);
    if (view === undefined) return;
    view.inherit(urgency);
    this.listener.urgencyChanged?.(jobId);
  }

  /** Places that the ledger gives to a machine, whatever its session. */
  tasksOn(machineId: string): Iterable<PlacedTask> {
    return this.tasksByMachine.get(machineId)?.values() ?? [];
  }

  /** Room that the ledger gives away on a machine. */
  usedOn(machineId: string): Readonly<Resources> | undefined {
    return this.usedByMachine.get(machineId);
  }

  /** What each team's places use together. */
  get teamUsages(): ReadonlyMap<string, Readonly<TeamUsage>> {
    return this.teams;
  }

  /**
   * What a team's places use, if the copy holds all that happened up to the revision and all of it can be read; it may count
   * places that are free by now, and misses none.
   */
  placedUsageOf(team: string, upTo: number): Readonly<TeamUsage> | undefined {
    const isWhole = this.replica.revision >= upTo && this.unreadable.size === 0 && !this.hasPlacesWithoutJob();
    return isWhole ? (this.teams.get(team) ?? { cpus: 0, gpus: 0 }) : undefined;
  }

  private hasPlacesWithoutJob(): boolean {
    for (const chunks of this.chunksWithoutJob.values()) {
      for (const chunk of chunks.values()) if (!hasNoActivePlacements(chunk)) return true;
    }
    return false;
  }

  /** The record that holds a shard's place, and that of its team, should its start or exit change one. */
  batchingHintFor(jobId: string, taskIndex: number, team?: Team): BatchingHint | undefined {
    const view = this.jobs.get(jobId);
    if (view === undefined) return undefined;
    const counts = team !== undefined && isLimited(team, view.record.spec);
    return {
      key: placementChunkKey(jobId, Math.floor(taskIndex / view.record.tasksPerChunk)),
      shared: counts ? team.name : undefined,
    };
  }

  taskCountOn(machineId: string): number {
    return this.tasksByMachine.get(machineId)?.size ?? 0;
  }

  get usedMachineCount(): number {
    return this.tasksByMachine.size;
  }

  *usedMachines(): Iterable<string> {
    yield* this.tasksByMachine.keys();
  }

  /** Ledger chunks of jobs that are over: what the transaction of the end had no room for. */
  *leftoverChunks(): Iterable<{ jobId: string; chunks: number[] }> {
    for (const [jobId, chunks] of this.chunksWithoutJob)
      if (!this.unreadable.has(`${JOB_PREFIX}${jobId}`)) yield { jobId, chunks: [...chunks.keys()] };
  }

  private apply(key: string, now: StoredValue): void {
    try {
      if (key.startsWith(JOB_PREFIX)) this.applyJob(key.slice(JOB_PREFIX.length), now.value);
      else if (key.startsWith(PLACEMENT_PREFIX)) this.applyChunk(key.slice(PLACEMENT_PREFIX.length), now.value);
      else if (key.startsWith(LEADERSHIP_PREFIX)) this.applyLeadership(key.slice(LEADERSHIP_PREFIX.length), now);
      else if (key.startsWith(RENTAL_PREFIX)) this.applyRental(key.slice(RENTAL_PREFIX.length), now.value);
      this.unreadable.delete(key);
    } catch (error) {
      // Refuse to act on what can't be read: the job stays out of the book, and its places stay taken in the store.
      this.unreadable.add(key);
      this.listener.recordUnreadable?.(key, error);
    }
  }

  private applyRental(name: string, value: unknown): void {
    if (value === undefined) this.rentals.delete(name);
    else this.rentals.set(name, decodeRentalRecord(value));
  }

  private applyLeadership(role: string, now: StoredValue): void {
    if (now.value === undefined) this.leadershipRecords.delete(role);
    else this.leadershipRecords.set(role, { record: decodeLeadershipRecord(now.value)!, modRevision: now.modRevision });
    this.listener.leadershipChanged?.(role);
  }

  private applyJob(jobId: string, value: unknown): void {
    const old = this.jobs.get(jobId);
    if (value === undefined) {
      if (old === undefined) return;
      const left = new Map<number, unknown>();
      for (const index of [...old.chunks.keys()]) {
        this.setChunk(old, index, undefined);
        left.set(index, this.replica.get(placementChunkKey(jobId, index)).value);
      }
      if (left.size > 0) this.chunksWithoutJob.set(jobId, left);
      this.jobs.delete(jobId);
      this.dependencies.update(jobId, undefined);
    } else if (old !== undefined) {
      const record = decodeJobRecord(value);
      old.updateRecord(record);
      this.dependencies.update(jobId, record);
    } else {
      const record = decodeJobRecord(value);
      const view = new JobView(jobId, record);
      this.jobs.set(jobId, view);
      view.inherit(this.dependencies.urgencyOf(jobId));
      this.dependencies.update(jobId, record);
      // Pages and news may bring a ledger before its job.
      for (const [index, chunk] of this.chunksWithoutJob.get(jobId) ?? []) {
        this.setChunk(view, index, decodeChunk(chunk, chunkSize(view.record, index)));
      }
      this.chunksWithoutJob.delete(jobId);
    }
    this.listener.jobChanged?.(jobId);
  }

  private applyChunk(rest: string, value: unknown): void {
    const slash = rest.lastIndexOf('/');
    const jobId = rest.slice(0, slash);
    const index = Number(rest.slice(slash + 1));
    const view = this.jobs.get(jobId);
    if (view === undefined) {
      const waiting = this.chunksWithoutJob.get(jobId) ?? new Map<number, unknown>();
      if (value === undefined) waiting.delete(index);
      else waiting.set(index, value);
      if (waiting.size > 0) this.chunksWithoutJob.set(jobId, waiting);
      else this.chunksWithoutJob.delete(jobId);
      return;
    }
    const before = view.chunks.get(index);
    const placements = value === undefined ? undefined : decodeChunk(value, chunkSize(view.record, index), before);
    this.listener.jobChanged?.(jobId, this.setChunk(view, index, placements));
  }

  /** Takes in a chunk, slot by slot: most of it stays as it was, whatever its size. Returns the shards that did not. */
  private setChunk(view: JobView, index: number, placements: readonly TaskPlacement[] | undefined): number[] {
    const changed: number[] = [];
    view.placementsChanged();
    const first = index * view.record.tasksPerChunk;
    const before = view.chunks.get(index);
    for (let at = 0; at < Math.max(before?.length ?? 0, placements?.length ?? 0); at++) {
      const old = before?.[at];
      const now = placements?.[at];
      if (old === now) continue;
      changed.push(first + at);
      if (old?.kind === 'done') view.done--;
      if (now?.kind === 'done') view.done++;
      if (old?.kind === 'placed') {
        if (now?.kind === 'placed' && now.machineId === old.machineId) {
          this.tasksByMachine
            .get(old.machineId)!
            .set(`${view.jobId}/${first + at}`, { jobId: view.jobId, taskIndex: first + at, placement: now });
          continue;
        }
        this.removeActive(view, first + at, old.machineId);
      }
      if (now?.kind === 'placed') this.addActive(view, first + at, now);
    }
    if (placements === undefined) view.chunks.delete(index);
    else view.chunks.set(index, placements);
    return changed;
  }

  private addActive(view: JobView, taskIndex: number, placement: ActivePlacement): void {
    view.placed++;
    let placedTasks = this.tasksByMachine.get(placement.machineId);
    if (placedTasks === undefined)
      this.tasksByMachine.set(placement.machineId, (placedTasks = new Map<string, PlacedTask>()));
    placedTasks.set(`${view.jobId}/${taskIndex}`, { jobId: view.jobId, taskIndex, placement });
    this.countUsage(view, placement.machineId, 1);
  }

  private removeActive(view: JobView, taskIndex: number, machineId: string): void {
    view.placed--;
    const placedTasks = this.tasksByMachine.get(machineId)!;
    placedTasks.delete(`${view.jobId}/${taskIndex}`);
    this.countUsage(view, machineId, -1);
    if (placedTasks.size > 0) return;
    this.tasksByMachine.delete(machineId);
    this.usedByMachine.delete(machineId);
  }

  private countUsage(view: JobView, machineId: string, tasks: 1 | -1): void {
    const { spec } = view.record;
    let room = this.usedByMachine.get(machineId);
    if (room === undefined) this.usedByMachine.set(machineId, (room = { cpus: 0, gpus: 0, memoryGb: 0 }));
    subtractResources(room, spec, -tasks);
    const use = this.teams.get(spec.team) ?? { cpus: 0, gpus: 0 };
    this.teams.set(spec.team, {
      cpus: roundAmount(use.cpus + tasks * spec.cpus),
      gpus: roundAmount(use.gpus + tasks * spec.gpus),
    });
  }
}
