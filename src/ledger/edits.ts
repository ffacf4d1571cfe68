import type { Team } from '../config/settings.js';
import type { Draft } from '../state/draft.js';
import {
  chunkCount,
  chunkKey,
  chunkSize,
  decodeChunk,
  decodeJob,
  endedKey,
  jobKey,
  withSlot,
  type EndedRecord,
  type JobRecord,
  type Slot,
} from './records.js';
import { proves, whyNotStart, type Machine, type Proof } from './rules.js';
import type { TeamAccounting } from './team-accounting.js';

/** Reads a job and makes it a condition. */
export function readJob(draft: Draft, ref: string): JobRecord | undefined {
  const value = draft.get(jobKey(ref));
  return value === undefined ? undefined : decodeJob(value);
}

function readChunk(draft: Draft, job: JobRecord, index: number): readonly Slot[] {
  return decodeChunk(draft.get(chunkKey(job.spec.Ref, index)), chunkSize(job, index));
}

export function* readSlots(draft: Draft, job: JobRecord): Generator<Slot> {
  for (let index = 0; index < chunkCount(job); index++) yield* readChunk(draft, job, index);
}

function editSlot(draft: Draft, job: JobRecord, shard: number, change: (slot: Slot) => Slot | undefined): boolean {
  const index = Math.floor(shard / job.chunk);
  const at = shard % job.chunk;
  const next = change(readChunk(draft, job, index)[at]!);
  if (next === undefined) return false;
  const key = chunkKey(job.spec.Ref, index);
  draft.set(key, withSlot(draft.get(key), chunkSize(job, index), at, next));
  return true;
}

/** Commits one shard to a machine, if the rules allow it on the records as they are. */
export function startShard(
  draft: Draft,
  accounting: TeamAccounting,
  team: Team,
  ref: string,
  shard: number,
  machine: Machine,
  attempt: number,
): string | undefined {
  const job = readJob(draft, ref);
  if (job === undefined) return 'no such job';
  const index = Math.floor(shard / job.chunk);
  const slot = readChunk(draft, job, index)[shard % job.chunk]!;
  const why = whyNotStart({
    job,
    slot,
    others: job.spec.Spread || job.spec.OneZone ? readSlots(draft, job) : [],
    team,
    use: accounting.useOf(draft, team, job.spec),
    machine,
    attempt,
  });
  if (why !== undefined) return why;
  editSlot(draft, job, shard, (old) => ({
    kind: 'placed',
    attempt,
    fails: old.kind === 'queued' ? old.fails : 0,
    host: machine.host,
    tenure: machine.tenure,
    stop: null,
    site: machine.site,
  }));
  accounting.addStart(draft, team, job.spec);
  return undefined;
}

export type Ending = 'done' | 'failed' | 'lost';

/** Frees a place on proof, and records how the task ended. */
export function freeShard(
  draft: Draft,
  accounting: TeamAccounting,
  ref: string,
  shard: number,
  host: string,
  proof: Proof,
  ending: Ending,
): boolean {
  const job = readJob(draft, ref);
  if (job === undefined) return false;
  // A gang completes together: once one task is done, the others are, also those whose machine went away just then.
  const complete =
    ending === 'done' ||
    (job.spec.Shape === 'ensemble' && [...readSlots(draft, job)].some((slot) => slot.kind === 'done'));
  const freed = editSlot(draft, job, shard, (slot) => {
    if (slot.kind !== 'placed' || slot.host !== host || !proves(proof, slot)) return undefined;
    if (complete) return { kind: 'done' };
    return { kind: 'queued', attempt: slot.attempt, fails: ending === 'failed' ? slot.fails + 1 : slot.fails };
  });
  if (freed) accounting.addExit(draft, job.spec);
  return freed;
}

/** Marks a place for stopping; the owner of its machine sends the kill. A shorter grace replaces a longer one. */
export function stopShard(
  draft: Draft,
  ref: string,
  shard: number,
  host: string,
  attempt: number,
  grace: number,
): boolean {
  const job = readJob(draft, ref);
  if (job === undefined) return false;
  return editSlot(draft, job, shard, (slot) =>
    slot.kind === 'placed' &&
    slot.host === host &&
    slot.attempt === attempt &&
    (slot.stop === null || slot.stop > grace)
      ? { ...slot, stop: grace }
      : undefined,
  );
}

/**
 * Moves a job whose tasks are all over to its final record. The chunks need no conditions: a done slot stays done, and
 * once a job is withdrawn nothing more can start. For the latter the caller makes sure that it has seen all that
 * happened before the withdrawal. Chunks beyond the room of one transaction are swept later.
 */
export function endJob(draft: Draft, ref: string, ops: number): boolean {
  const job = readJob(draft, ref);
  if (job === undefined || job.phase === 'waiting') return false;
  const keys = Array.from({ length: chunkCount(job) }, (_, index) => chunkKey(ref, index));
  const slots = keys.flatMap((key, index) => decodeChunk(draft.peek(key), chunkSize(job, index)));
  if (slots.some(({ kind }) => kind === 'placed')) return false;
  // A gang completes together. Its ledger fits one transaction, so all of it is compared here.
  const isDone =
    job.spec.Shape === 'ensemble'
      ? slots.some(({ kind }) => kind === 'done')
      : slots.every(({ kind }) => kind === 'done');
  if (job.phase === 'active' && !isDone) return false;
  if (job.spec.Shape === 'service' && job.phase === 'active') return false;
  const ended: EndedRecord = { phase: job.phase === 'withdrawn' ? 'withdrawn' : 'done', shards: job.spec.Shards };
  draft.set(endedKey(ref), ended);
  draft.drop(jobKey(ref));
  for (const key of keys.filter((each) => draft.peek(each) !== undefined).slice(0, ops - 2)) draft.drop(key);
  return true;
}
