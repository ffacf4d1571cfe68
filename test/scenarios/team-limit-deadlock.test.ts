import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { Schedule } from '../../testing/random-schedule.js';
import { playRandomized } from '../../testing/randomized-scenario.js';

describe('two jobs of a team whose limit has room for only one of them', () => {
  // Generated from seed 4074. Each node leaves the team's room to the other node's job, since their queue orders differ.
  it('do not wait for each other forever', async () => {
    const schedule = {
      seed: 11,
      faults: [
        { kind: 'refusedByStore', atMs: 6436, node: 1, forMs: 6933 },
        { kind: 'lateHeartbeats', atMs: 19996, share: 0.1678187363524589, forMs: 10905 },
      ],
      cancels: [
        { fault: 1, afterMs: -7 },
        { fault: 0, afterMs: 4736 },
      ],
    } as Schedule;
    assert.deepEqual(await playRandomized(schedule), []);
  });
});
