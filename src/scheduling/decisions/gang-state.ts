/** What the placements of a gang's members say about starting those that are missing. */
import type { TaskPlacement } from '../../domain/task.js';

/** Whether and how missing members may start. */
export type GangState =
  /** A member is done or stopping, or members are placed under different attempts: the gang has to come to rest first. */
  | { kind: 'unsettled' }
  /** No member is placed: all start anew. */
  | { kind: 'unplaced'; nextAttempt: number }
  /** Members are placed under one attempt; `heardAtMs`: since when all their machines have been heard, in steady ms. */
  | { kind: 'placed'; attempt: number; heardAtMs: number };

/** Reads the state from the known placements of all members, by task index; `heardAtMsOf` tells when a machine was last heard. */
export function gangStateOf(
  placements: Iterable<readonly [number, TaskPlacement]>,
  heardAtMsOf: (machineId: string) => number,
): GangState {
  let highestAttempt = 0;
  let placedAttempt: number | undefined;
  let heardAtMs = Infinity;
  for (const [, placement] of placements) {
    if (placement.kind === 'done') return { kind: 'unsettled' };
    highestAttempt = Math.max(highestAttempt, placement.attempt);
    if (placement.kind === 'queued') continue;
    if (placement.gracePeriodS !== null) return { kind: 'unsettled' };
    if (placedAttempt !== undefined && placedAttempt !== placement.attempt) return { kind: 'unsettled' };
    placedAttempt = placement.attempt;
    heardAtMs = Math.min(heardAtMs, heardAtMsOf(placement.machineId));
  }
  return placedAttempt === undefined
    ? { kind: 'unplaced', nextAttempt: highestAttempt + 1 }
    : { kind: 'placed', attempt: placedAttempt, heardAtMs };
}
