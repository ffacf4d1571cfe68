import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { TaskPlacement } from '../../../src/domain/task.js';
import { gangStateOf } from '../../../src/scheduling/decisions/gang-state.js';

const queued = (attempt: number): TaskPlacement => ({ kind: 'queued', attempt, failures: 0 });
const placed = (attempt: number, machineId: string, gracePeriodS: number | null = null): TaskPlacement => ({
  kind: 'placed',
  attempt,
  failures: 0,
  machineId,
  agentEpoch: 1,
  gracePeriodS,
  zone: 'a',
});
const lastHeartbeatAtMs: Record<string, number> = { m1: 700, m2: 500 };
const stateOf = (...placements: TaskPlacement[]) =>
  gangStateOf(placements.entries(), (machineId) => lastHeartbeatAtMs[machineId] ?? -Infinity);

describe('gang state', () => {
  it('is unplaced if no member is placed, and the next attempt is one above the highest attempt of a member', () => {
    assert.deepEqual(stateOf(queued(2), queued(4), queued(3)), { kind: 'unplaced', nextAttempt: 5 });
    assert.deepEqual(stateOf(), { kind: 'unplaced', nextAttempt: 1 });
  });

  it('is placed under the attempt of its placed members, with the oldest last heartbeat of their machines', () => {
    const state = stateOf(placed(2, 'm1'), queued(2), placed(2, 'm2'));
    assert.deepEqual(state, { kind: 'placed', attempt: 2, oldestHeartbeatAtMs: 500 });
    assert.deepEqual(stateOf(placed(2, 'm1'), placed(2, 'unheard')), {
      kind: 'placed',
      attempt: 2,
      oldestHeartbeatAtMs: -Infinity,
    });
  });

  it('is unsettled while a member is done or stopping, or members are placed under different attempts', () => {
    assert.deepEqual(stateOf(queued(1), { kind: 'done' }), { kind: 'unsettled' });
    assert.deepEqual(stateOf(placed(1, 'm1'), placed(1, 'm2', 5)), { kind: 'unsettled' });
    assert.deepEqual(stateOf(placed(1, 'm1'), placed(2, 'm2')), { kind: 'unsettled' });
  });
});
