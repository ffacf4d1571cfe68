import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { play, scheduleOf } from '../src/testing/drawn.js';

/** A few of the stories that `npm run drawn` plays by the hundred. */
const SEEDS = [1, 9, 12, 22];

describe('a story with drawn troubles', () => {
  for (const seed of SEEDS) {
    it(`breaks no rule: seed ${seed}`, async () => {
      const schedule = scheduleOf(seed);
      assert.deepEqual(await play(schedule), [], JSON.stringify(schedule));
    });
  }
});
