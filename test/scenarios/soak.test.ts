import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { existsSync } from 'node:fs';
import { before, describe, it } from 'node:test';

import { playSoak } from '../../testing/soak-run.js';
import { type SoakSchedule, soakScheduleOf, withCopies } from '../../testing/soak-schedule.js';

const NODES = 3;
const MACHINES = 12;
const SEEDS = [1, 2, 42];
const SEED_WITH_COPIES = 3;

async function assertRulesKept(schedule: SoakSchedule): Promise<void> {
  const { violations, logLines } = await playSoak(schedule, MACHINES);
  assert.deepEqual(violations, [], `${JSON.stringify(schedule)}\n${logLines.join('\n')}`);
}

/** `npm run soak` plays more seeds. */
describe('controllers in processes of their own under randomized faults', () => {
  before(() => {
    if (!existsSync('target/dewlatch.blob')) execFileSync('npm', ['run', '--silent', 'build']);
  });

  for (const seed of SEEDS) {
    it(`keep all rules, and answer for every accepted job once the faults are over, with seed ${seed}`, async () => {
      await assertRulesKept(soakScheduleOf(seed, NODES));
    });
  }

  it(`keep all rules while copies of answered requests arrive, with seed ${SEED_WITH_COPIES}`, async () => {
    await assertRulesKept(withCopies(soakScheduleOf(SEED_WITH_COPIES, NODES)));
  });
});
