import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { MAX_PLAN_PAUSE_MS, MIN_PLAN_PAUSE_FACTOR, PLANNING_TIME_SHARE } from '../../../src/constants/scheduling.js';
import { planPauseMs } from '../../../src/scheduling/decisions/plan-pause.js';

describe('pause after a plan', () => {
  it('keeps plans within their share of the time, up to a maximum pause, and is longer than a long plan', () => {
    assert.equal(planPauseMs(1, PLANNING_TIME_SHARE), 99);
    assert.equal(planPauseMs(100, PLANNING_TIME_SHARE), MAX_PLAN_PAUSE_MS);
    assert.equal(
      planPauseMs(1300, PLANNING_TIME_SHARE),
      1300 * MIN_PLAN_PAUSE_FACTOR,
      'two thirds of the time are left to heartbeats',
    );
  });
});
