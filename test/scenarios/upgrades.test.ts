import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { playUpgrade, upgradeScheduleOf } from '../../testing/upgrade-scenario.js';

/** A few of the dozens of scenarios that `npm run upgrades` runs, with the current version only. */
const SEEDS = [1, 2, 7, 28];

describe('pipelines, cancellations and shrinking store limits, under random faults', () => {
  for (const seed of SEEDS) {
    it(`break no invariant: seed ${seed}`, async () => {
      const schedule = upgradeScheduleOf(seed);
      assert.deepEqual(await playUpgrade(schedule), [], JSON.stringify(schedule));
    });
  }
});
