import type { Team } from '../domain/team.js';
import { chunkCount, chunkSize, type JobRecord } from './records.js';
import type { TaskPlacement } from '../domain/task.js';
import { finalJobKey, jobKey, placementChunkKey } from './record-keys.js';
import { decodeChunk, withPlacement } from './placement-codec.js';
import { decodeJobRecord, encodeFinalJobRecord } from './record-codecs.js';
import type { Machine } from '../domain/machine.js';
import { type Proof, provesFree, whyNotStartable } from './placement-rules.js';
import type { TeamAccounting } from './team-accounting.js';
import type { TransactionDraft } from '../store/transaction-draft.js';

/** Reads a job and makes it a condition. */
export function readJob(draft: TransactionDraft, jobId: string): JobRecord | undefined {
  const value = draft.get(jobKey(jobId));
  return value === undefined ? undefined : decodeJobRecord(value);
}

function readChunk(draft: TransactionDraft, job: JobRecord, index: number): readonly TaskPlacement[] {
  return decodeChunk(draft.get(placementChunkKey(job.spec.id, index)), chunkSize(job, index));
}

export function* readPlacements(draft: TransactionDraft, job: JobRecord): Generator<TaskPlacement> {
  for (let index = 0; index < chunkCount(job); index++) yield* readChunk(draft, job, index);
}

function editPlacement(
  draft: TransactionDraft,
  job: JobRecord,
  taskIndex: number,
  change: (placement: TaskPlacement) => TaskPlacement | undefined,
): boolean {
  const index = Math.floor(taskIndex / job.tasksPerChunk);
  const at = taskIndex % job.tasksPerChunk;
  const next = change(readChunk(draft, job, index)[at]!);
  if (next === undefined) return false;
  const key = placementChunkKey(job.spec.id, index);
  draft.set(key, withPlacement(draft.get(key), chunkSize(job, index), at, next));
  return true;
}

/** Commits one shard to a machine, if the rules allow it on the records as they are. */
export function startTask(
  draft: TransactionDraft,
  accounting: TeamAccounting,
  team: Team,
  jobId: string,
  taskIndex: number,
  machine: Machine,
  attempt: number,
): string | undefined {
  const job = readJob(draft, jobId);
  if (job === undefined) return 'no such job';
  const index = Math.floor(taskIndex / job.tasksPerChunk);
  const placement = readChunk(draft, job, index)[taskIndex % job.tasksPerChunk]!;
  const why = whyNotStartable({
    job,
    placement,
    others: job.spec.spreadAcrossZones || job.spec.singleZone ? readPlacements(draft, job) : [],
    team,
    teamUsage: accounting.usageOf(draft, team, job.spec),
    machine,
    attempt,
  });
  if (why !== undefined) return why;
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

export type TaskEnding = 'done' | 'failed' | 'lost';

/** Frees a place on proof, and records how the task ended. */
export function releasePlacement(
  draft: TransactionDraft,
  accounting: TeamAccounting,
  jobId: string,
  taskIndex: number,
  machineId: string,
  proof: Proof,
  ending: TaskEnding,
): boolean {
  const job = readJob(draft, jobId);
  if (job === undefined) return false;
  // A gang completes together: once one task is done, the others are, also those whose machine went away just then.
  const complete =
    ending === 'done' ||
    (job.spec.kind === 'gang' && [...readPlacements(draft, job)].some((placement) => placement.kind === 'done'));
  const freed = editPlacement(draft, job, taskIndex, (placement) => {
    if (placement.kind !== 'placed' || placement.machineId !== machineId || !provesFree(proof, placement))
      return undefined;
    if (complete) return { kind: 'done' };
    return {
      kind: 'queued',
      attempt: placement.attempt,
      failures: ending === 'failed' ? placement.failures + 1 : placement.failures,
    };
  });
  if (freed) accounting.addExit(draft, job.spec);
  return freed;
}

/** Marks a place for stopping; the owner of its machine sends the kill. A shorter grace replaces a longer one. */
export function markForStop(
  draft: TransactionDraft,
  jobId: string,
  taskIndex: number,
  machineId: string,
  attempt: number,
  gracePeriodS: number,
): boolean {
  const job = readJob(draft, jobId);
  if (job === undefined) return false;
  return editPlacement(draft, job, taskIndex, (placement) =>
    placement.kind === 'placed' &&
    placement.machineId === machineId &&
    placement.attempt === attempt &&
    (placement.gracePeriodS === null || placement.gracePeriodS > gracePeriodS)
      ? { ...placement, gracePeriodS: gracePeriodS }
      : undefined,
  );
}

/**
 * Moves a job whose tasks are all over to its final record. The chunks need no conditions: a done slot stays done, and
 * once a job is withdrawn nothing more can start. For the latter the caller makes sure that it has seen all that
 * happened before the withdrawal. Chunks beyond the room of one transaction are swept later.
 */
export function endJob(draft: TransactionDraft, jobId: string, ops: number): boolean {
  const job = readJob(draft, jobId);
  if (job === undefined || job.state === 'waiting') return false;
  const keys = Array.from({ length: chunkCount(job) }, (_, index) => placementChunkKey(jobId, index));
  const placements = keys.flatMap((key, index) => decodeChunk(draft.peek(key), chunkSize(job, index)));
  if (placements.some(({ kind }) => kind === 'placed')) return false;
  // A gang completes together. Its ledger fits one transaction, so all of it is compared here.
  const isDone =
    job.spec.kind === 'gang'
      ? placements.some(({ kind }) => kind === 'done')
      : placements.every(({ kind }) => kind === 'done');
  if (job.state === 'active' && !isDone) return false;
  if (job.spec.kind === 'service' && job.state === 'active') return false;
  const state = job.state === 'cancelled' ? 'cancelled' : 'done';
  draft.set(finalJobKey(jobId), encodeFinalJobRecord({ state, taskCount: job.spec.taskCount }));
  draft.delete(jobKey(jobId));
  for (const key of keys.filter((each) => draft.peek(each) !== undefined).slice(0, ops - 2)) draft.delete(key);
  return true;
}
