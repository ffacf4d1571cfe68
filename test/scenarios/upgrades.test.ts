import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { playUpgrade, upgradeScheduleOf } from '../../testing/upgrade-scenario.js';

/** A few of the scenarios that `npm run upgrades` runs by the dozen, with the present version alone. */
const SEEDS = [1, 2, 7, 28];

describe('pipelines, cancellations and limits that shrink, among random faults', () => {
  for (const seed of SEEDS) {
    it(`break no rule: seed ${seed}`, async () => {
      const schedule = upgradeScheduleOf(seed);
      assert.deepEqual(await playUpgrade(schedule), [], JSON.stringify(schedule));
    });
  }
});
