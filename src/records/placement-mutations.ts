/** Mutations that start, release and stop tasks, and that end jobs. */
import { MIN_JOB_END_WRITES } from '../constants/records.js';
import type { Machine } from '../domain/machine.js';
import type { ActivePlacement, TaskPlacement } from '../domain/task.js';
import type { Team } from '../domain/team.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import { decodeChunk, withPlacement } from './placement-codec.js';
import { findStartRefusal, provesRelease, type ReleaseProof, type StartRefusal } from './placement-rules.js';
import { decodeJobRecord, encodeFinalJobRecord } from './record-codecs.js';
import { finalJobKey, jobKey, placementChunkKey } from './record-keys.js';
import { chunkCount, chunkSize, type JobRecord } from './records.js';
import type { TeamAccounting } from './team-accounting.js';

/** Reads a job's record and makes it a condition; undefined: the job does not exist or has ended. */
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

/** Replaces a placement with the result of `change`. Returns false if `change` returns undefined, which leaves it unchanged. */
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
  const offset = taskIndex % job.tasksPerChunk;
  draft.set(key, withPlacement(draft.get(key), chunkSize(job, chunkIndex), offset, next));
  return true;
}

/** A task to start, and the machine to start it on. */
export interface TaskStart {
  /** The job's team. */
  team: Team;
  jobId: string;
  taskIndex: number;
  machine: Machine;
  attempt: number;
}

/** Places a task on a machine if the rules allow it for the current records; otherwise returns the rule that it would break. */
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
    jobPlacements: job.spec.spreadAcrossZones || job.spec.singleZone ? readPlacements(draft, job) : [],
    team,
    teamUsage: accounting.usageOf(draft, team, job.spec),
    machine,
    attempt,
  });
  if (refusal !== undefined) return refusal;
  editPlacement(draft, job, taskIndex, (previous) => ({
    kind: 'placed',
    attempt,
    failures: previous.kind === 'queued' ? previous.failures : 0,
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

/** A task that has left its machine, how it ended, and the proof. */
export interface TaskRelease {
  jobId: string;
  taskIndex: number;
  machineId: string;
  proof: ReleaseProof;
  ending: TaskEnding;
}

/** Releases a task's placement and records how the task ended. Returns false if the proof does not apply to its placement. */
export function releasePlacement(
  draft: TransactionDraft,
  accounting: TeamAccounting,
  { jobId, taskIndex, machineId, proof, ending }: TaskRelease,
): boolean {
  const job = readJob(draft, jobId);
  if (job === undefined) return false;
  // A gang completes as a whole: once one task is done, all are, including those whose machine was lost at that moment.
  const isDone =
    ending === 'done' ||
    (job.spec.kind === 'gang' && [...readPlacements(draft, job)].some((placement) => placement.kind === 'done'));
  const isReleased = editPlacement(draft, job, taskIndex, (placement) => {
    if (placement.kind !== 'placed' || placement.machineId !== machineId) return undefined;
    if (!provesRelease(proof, placement)) return undefined;
    if (isDone) return { kind: 'done' };
    const failures = ending === 'failed' ? placement.failures + 1 : placement.failures;
    return { kind: 'queued', attempt: placement.attempt, failures };
  });
  if (isReleased) accounting.addExit(draft, job.spec);
  return isReleased;
}

/** A task to stop, with the placement in which it was observed. */
export interface StopTarget {
  jobId: string;
  taskIndex: number;
  placement: Pick<ActivePlacement, 'machineId' | 'attempt'>;
}

/**
 * Marks a task for stopping if it is still in the observed placement; the leader of the machine's partition sends the command.
 * A shorter grace period replaces a longer one.
 */
export function markForStop(
  draft: TransactionDraft,
  { jobId, taskIndex, placement: observed }: StopTarget,
  gracePeriodS: number,
): boolean {
  const job = readJob(draft, jobId);
  if (job === undefined) return false;
  return editPlacement(draft, job, taskIndex, (placement) => {
    if (placement.kind !== 'placed') return undefined;
    if (placement.machineId !== observed.machineId || placement.attempt !== observed.attempt) return undefined;
    const isShorter = placement.gracePeriodS === null || placement.gracePeriodS > gracePeriodS;
    return isShorter ? { ...placement, gracePeriodS } : undefined;
  });
}

/**
 * Replaces the record of a job whose tasks have all ended with its final record. The chunks need no conditions: a done task
 * stays done, and no task of a cancelled job can start. For a cancelled job, the replica must hold all changes made before the
 * cancellation. Chunks beyond `maxWrites`, the limit of one transaction, are deleted later.
 */
export function endJob(draft: TransactionDraft, jobId: string, maxWrites: number): boolean {
  const job = readJob(draft, jobId);
  if (job === undefined) return false;
  const keys = Array.from({ length: chunkCount(job) }, (_, chunkIndex) => placementChunkKey(jobId, chunkIndex));
  const readAllPlacements = (): TaskPlacement[] =>
    keys.flatMap((key, chunkIndex) => decodeChunk(draft.getWithoutCondition(key), chunkSize(job, chunkIndex)));
  if (!isFinished(job, readAllPlacements)) return false;
  const state = job.state === 'cancelled' ? 'cancelled' : 'done';
  draft.set(finalJobKey(jobId), encodeFinalJobRecord({ state, taskCount: job.spec.taskCount }));
  draft.delete(jobKey(jobId));
  const storedKeys = keys.filter((key) => draft.getWithoutCondition(key) !== undefined);
  for (const key of storedKeys.slice(0, maxWrites - MIN_JOB_END_WRITES)) draft.delete(key);
  return true;
}

/** Whether the job has nothing left to run. Placements are read only if the job is not waiting. */
function isFinished({ state, spec }: JobRecord, readAllPlacements: () => TaskPlacement[]): boolean {
  if (state === 'waiting') return false;
  const placements = readAllPlacements();
  if (placements.some(({ kind }) => kind === 'placed')) return false;
  if (state === 'cancelled') return true;
  switch (spec.kind) {
    case 'service':
      return false;
    // A gang completes as a whole, so one done task is enough. Its placements fit one transaction, so all are checked here.
    case 'gang':
      return placements.some(({ kind }) => kind === 'done');
    case 'array':
      return placements.every(({ kind }) => kind === 'done');
  }
}
