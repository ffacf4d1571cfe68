import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { largeScheduleOf, type Schedule, scheduleOf } from '../../testing/random-schedule.js';
import { play } from '../../testing/randomized-scenario.js';

/**
 * A few of the randomized scenarios that `npm run randomized` runs by the hundred. In 5039, and in 197 of the large ones, tasks started
 * some milliseconds after their cancellation was confirmed, while the news of it waited for others.
 */
const SEEDS = [1, 9, 12, 22, 5039];
/** In the others of these a task ran on two machines as long as knowledge of workers could be lost before the claim that vouched for it. */
const SEEDS_OF_LARGE = [4, 119, 128, 197];

describe('a scenario with random faults', () => {
  it('breaks no rule where cancellations meet a refusal, cuts and an outage (it does if the hold-over has no end)', async () => {
    const schedule: Schedule = {
      seed: 1,
      faults: [
        { kind: 'refusedThenOutage', atMs: 8000, node: 0, refusedMs: 2500, forMs: 45_000, withoutPeers: 'throughout' },
        { kind: 'delayedCommands', atMs: 8000, forMs: 47_000 },
      ],
      cancels: [300, 600, 700, 900, 1200, 1500].map((afterMs) => ({ fault: 0, afterMs })),
    };
    assert.deepEqual(await play(schedule), []);
  });

  for (const seed of SEEDS) {
    it(`breaks no rule: seed ${seed}`, async () => {
      const schedule = scheduleOf(seed);
      assert.deepEqual(await play(schedule), [], JSON.stringify(schedule));
    });
  }

  for (const seed of SEEDS_OF_LARGE) {
    it(`breaks no rule with tens of machines and controllers that have been up for long: seed ${seed}`, async () => {
      const schedule = largeScheduleOf(seed);
      assert.deepEqual(await play(schedule), [], JSON.stringify(schedule));
    });
  }
});
