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
const heardAtMs: Record<string, number> = { m1: 700, m2: 500 };
const stateOf = (...placements: TaskPlacement[]) =>
  gangStateOf(placements.entries(), (machineId) => heardAtMs[machineId] ?? -Infinity);

describe('state of a gang', () => {
  it('is unplaced when no member has a machine, and the next attempt follows the highest one', () => {
    assert.deepEqual(stateOf(queued(2), queued(4), queued(3)), { kind: 'unplaced', nextAttempt: 5 });
    assert.deepEqual(stateOf(), { kind: 'unplaced', nextAttempt: 1 });
  });

  it('is placed under the attempt of its members, heard since the machine heard least lately', () => {
    const state = stateOf(placed(2, 'm1'), queued(2), placed(2, 'm2'));
    assert.deepEqual(state, { kind: 'placed', attempt: 2, heardAtMs: 500 });
    assert.deepEqual(stateOf(placed(2, 'm1'), placed(2, 'unheard')), {
      kind: 'placed',
      attempt: 2,
      heardAtMs: -Infinity,
    });
  });

  it('is unsettled while a member is done or stopping, or members are of different attempts', () => {
    assert.deepEqual(stateOf(queued(1), { kind: 'done' }), { kind: 'unsettled' });
    assert.deepEqual(stateOf(placed(1, 'm1'), placed(1, 'm2', 5)), { kind: 'unsettled' });
    assert.deepEqual(stateOf(placed(1, 'm1'), placed(2, 'm2')), { kind: 'unsettled' });
  });
});
