/** Derives from the placements of a gang's members whether its missing members may start. */
import type { TaskPlacement } from '../../domain/task.js';

/** Whether and how missing members may start. */
export type GangState =
  /** A member is done or stopping, or members are placed under different attempts: nothing starts until this has changed. */
  | { kind: 'unsettled' }
  /** No member is placed: all start under a new attempt. */
  | { kind: 'unplaced'; nextAttempt: number }
  /** Members are placed under one attempt. `oldestHeartbeatAtMs`: the oldest last heartbeat of their machines, monotonic ms. */
  | { kind: 'placed'; attempt: number; oldestHeartbeatAtMs: number };

/** The state of a gang by its known placements; `lastHeartbeatAtMsOf` returns the time of a machine's last heartbeat. */
export function gangStateOf(
  placements: Iterable<readonly [number, TaskPlacement]>,
  lastHeartbeatAtMsOf: (machineId: string) => number,
): GangState {
  let highestAttempt = 0;
  let placedAttempt: number | undefined;
  let oldestHeartbeatAtMs = Infinity;
  for (const [, placement] of placements) {
    if (placement.kind === 'done') return { kind: 'unsettled' };
    highestAttempt = Math.max(highestAttempt, placement.attempt);
    if (placement.kind === 'queued') continue;
    if (placement.gracePeriodS !== null) return { kind: 'unsettled' };
    if (placedAttempt !== undefined && placedAttempt !== placement.attempt) return { kind: 'unsettled' };
    placedAttempt = placement.attempt;
    oldestHeartbeatAtMs = Math.min(oldestHeartbeatAtMs, lastHeartbeatAtMsOf(placement.machineId));
  }
  return placedAttempt === undefined
    ? { kind: 'unplaced', nextAttempt: highestAttempt + 1 }
    : { kind: 'placed', attempt: placedAttempt, oldestHeartbeatAtMs };
}
