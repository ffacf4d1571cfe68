/** Mutations of task placements: start, release and stop of a task, and the end of a job. */
import { END_WRITES } from '../constants/records.js';
import type { Machine } from '../domain/machine.js';
import type { ActivePlacement, TaskPlacement } from '../domain/task.js';
import type { Team } from '../domain/team.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import { decodeChunk, withPlacement } from './placement-codec.js';
import { findStartRefusal, provesFree, type ReleaseProof, type StartRefusal } from './placement-rules.js';
import { decodeJobRecord, encodeFinalJobRecord } from './record-codecs.js';
import { finalJobKey, jobKey, placementChunkKey } from './record-keys.js';
import { chunkCount, chunkSize, type JobRecord } from './records.js';
import type { TeamAccounting } from './team-accounting.js';

/** Reads a job's record and makes it a condition; undefined: there is no such job, or it is over. */
export function readJob(draft: TransactionDraft, jobId: string): JobRecord | undefined {
  const value = draft.get(jobKey(jobId));
  return value === undefined ? undefined : decodeJobRecord(value);
}

function readChunk(draft: TransactionDraft, job: JobRecord, chunkIndex: number): readonly TaskPlacement[] {
  return decodeChunk(draft.get(placementChunkKey(job.spec.id, chunkIndex)), chunkSize(job, chunkIndex));
}

function readPlacement(draft: TransactionDraft, job: JobRecord, taskIndex: number): TaskPlacement {
  const chunk = readChunk(draft, job, Math.floor(taskIndex / job.tasksPerChunk));
  return chunk[taskIndex % job.tasksPerChunk]!;
}

/** Reads the placements of all tasks of a job and makes them conditions. */
function* readPlacements(draft: TransactionDraft, job: JobRecord): Generator<TaskPlacement> {
  for (let chunkIndex = 0; chunkIndex < chunkCount(job); chunkIndex++) yield* readChunk(draft, job, chunkIndex);
}

/** Replaces a placement by what `change` makes of it; undefined leaves it as it is, and the result is false. */
function editPlacement(
  draft: TransactionDraft,
  job: JobRecord,
  taskIndex: number,
  change: (placement: TaskPlacement) => TaskPlacement | undefined,
): boolean {
  const next = change(readPlacement(draft, job, taskIndex));
  if (next === undefined) return false;
  const chunkIndex = Math.floor(taskIndex / job.tasksPerChunk);
  const key = placementChunkKey(job.spec.id, chunkIndex);
  const at = taskIndex % job.tasksPerChunk;
  draft.set(key, withPlacement(draft.get(key), chunkSize(job, chunkIndex), at, next));
  return true;
}

/** Which task is to start, and where. */
export interface TaskStart {
  /** The job's team. */
  team: Team;
  jobId: string;
  taskIndex: number;
  machine: Machine;
  attempt: number;
}

/** Places a task on a machine, if the rules allow it on the records as they are; else the rule that it would break. */
export function startTask(
  draft: TransactionDraft,
  accounting: TeamAccounting,
  { team, jobId, taskIndex, machine, attempt }: TaskStart,
): StartRefusal | undefined {
  const job = readJob(draft, jobId);
  if (job === undefined) return 'no_such_job';
  const placement = readPlacement(draft, job, taskIndex);
  const refusal = findStartRefusal({
    job,
    placement,
    others: job.spec.spreadAcrossZones || job.spec.singleZone ? readPlacements(draft, job) : [],
    team,
    teamUsage: accounting.usageOf(draft, team, job.spec),
    machine,
    attempt,
  });
  if (refusal !== undefined) return refusal;
  editPlacement(draft, job, taskIndex, (old) => ({
    kind: 'placed',
    attempt,
    failures: old.kind === 'queued' ? old.failures : 0,
    machineId: machine.machineId,
    agentEpoch: machine.agentEpoch,
    gracePeriodS: null,
    zone: machine.zone,
  }));
  accounting.addStart(draft, team, job.spec);
  return undefined;
}

/** How a task ended. */
export type TaskEnding = 'done' | 'failed' | 'lost';

/** Which task has left its machine, how, and what proves it. */
export interface TaskRelease {
  jobId: string;
  taskIndex: number;
  machineId: string;
  proof: ReleaseProof;
  ending: TaskEnding;
}

/** Takes a task off its machine on proof, and records how it ended. False: the proof is of no task that is there. */
export function releasePlacement(
  draft: TransactionDraft,
  accounting: TeamAccounting,
  { jobId, taskIndex, machineId, proof, ending }: TaskRelease,
): boolean {
  const job = readJob(draft, jobId);
  if (job === undefined) return false;
  // A gang completes together: once one task is done, the others are, also those whose machine went away just then.
  const isDone =
    ending === 'done' ||
    (job.spec.kind === 'gang' && [...readPlacements(draft, job)].some((placement) => placement.kind === 'done'));
  const isReleased = editPlacement(draft, job, taskIndex, (placement) => {
    if (placement.kind !== 'placed' || placement.machineId !== machineId) return undefined;
    if (!provesFree(proof, placement)) return undefined;
    if (isDone) return { kind: 'done' };
    const failures = ending === 'failed' ? placement.failures + 1 : placement.failures;
    return { kind: 'queued', attempt: placement.attempt, failures };
  });
  if (isReleased) accounting.addExit(draft, job.spec);
  return isReleased;
}

/** A task that is to stop, as it was seen on its machine. */
export interface StopTarget {
  jobId: string;
  taskIndex: number;
  placement: Pick<ActivePlacement, 'machineId' | 'attempt'>;
}

/**
 * Marks a task for stopping, if it is still where it was seen; the leader of the machine's partition sends the command. A
 * shorter grace period replaces a longer one.
 */
export function markForStop(
  draft: TransactionDraft,
  { jobId, taskIndex, placement: seen }: StopTarget,
  gracePeriodS: number,
): boolean {
  const job = readJob(draft, jobId);
  if (job === undefined) return false;
  return editPlacement(draft, job, taskIndex, (placement) => {
    if (placement.kind !== 'placed') return undefined;
    if (placement.machineId !== seen.machineId || placement.attempt !== seen.attempt) return undefined;
    const isShorter = placement.gracePeriodS === null || placement.gracePeriodS > gracePeriodS;
    return isShorter ? { ...placement, gracePeriodS } : undefined;
  });
}

/**
 * Moves a job whose tasks are all over to its final record. The chunks need no conditions: a task that is done stays done, and
 * once a job is cancelled nothing more can start. For the latter the caller makes sure that it has seen all that happened
 * before the cancellation. Chunks beyond the limit of one transaction, `maxWrites`, are deleted later.
 */
export function endJob(draft: TransactionDraft, jobId: string, maxWrites: number): boolean {
  const job = readJob(draft, jobId);
  if (job === undefined) return false;
  const keys = Array.from({ length: chunkCount(job) }, (_, chunkIndex) => placementChunkKey(jobId, chunkIndex));
  const placements = (): TaskPlacement[] =>
    keys.flatMap((key, chunkIndex) => decodeChunk(draft.peek(key), chunkSize(job, chunkIndex)));
  if (!isOver(job, placements)) return false;
  const state = job.state === 'cancelled' ? 'cancelled' : 'done';
  draft.set(finalJobKey(jobId), encodeFinalJobRecord({ state, taskCount: job.spec.taskCount }));
  draft.delete(jobKey(jobId));
  const storedKeys = keys.filter((key) => draft.peek(key) !== undefined);
  for (const key of storedKeys.slice(0, maxWrites - END_WRITES)) draft.delete(key);
  return true;
}

/** Is nothing of the job left to be done? `placements` of its tasks, read only where they matter. */
function isOver({ state, spec }: JobRecord, readAll: () => TaskPlacement[]): boolean {
  if (state === 'waiting') return false;
  const placements = readAll();
  if (placements.some(({ kind }) => kind === 'placed')) return false;
  if (state === 'cancelled') return true;
  switch (spec.kind) {
    case 'service':
      return false;
    // A gang completes together. Its placements fit one transaction, so all of them are compared here.
    case 'gang':
      return placements.some(({ kind }) => kind === 'done');
    case 'array':
      return placements.every(({ kind }) => kind === 'done');
  }
}
