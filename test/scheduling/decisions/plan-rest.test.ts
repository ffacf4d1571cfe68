import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { LEAST_PLAN_REST_FACTOR, MAX_PLAN_REST_MS, PLANNING_TIME_SHARE } from '../../../src/constants/scheduling.js';
import { planRestMs } from '../../../src/scheduling/decisions/plan-rest.js';

describe('rest after a plan', () => {
  it('follows the share of time that plans may take, and after a long plan is longer than the plan', () => {
    assert.equal(planRestMs(1, PLANNING_TIME_SHARE), 99);
    assert.equal(planRestMs(100, PLANNING_TIME_SHARE), MAX_PLAN_REST_MS);
    assert.equal(
      planRestMs(1300, PLANNING_TIME_SHARE),
      1300 * LEAST_PLAN_REST_FACTOR,
      'two thirds of the time are left to heartbeats',
    );
  });
});
