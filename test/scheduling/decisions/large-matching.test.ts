import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { match, type MatchingMachine, type MatchingTask } from '../../../src/scheduling/decisions/matching.js';

const MACHINES = 200;
const JOBS = 100;
const TASKS_PER_JOB = 4;
const RESOURCES = { cpus: 2, gpus: 0, memoryGb: 4, reportBytes: 1 };

const tasks: MatchingTask[] = Array.from({ length: JOBS * TASKS_PER_JOB }, (_, index) => ({
  ...{ id: `t-${index}`, group: `j-${index % JOBS}` },
  ...{ usage: RESOURCES, requested: RESOURCES },
}));
const machines: MatchingMachine[] = Array.from({ length: MACHINES }, (_, index) => ({
  ...{ id: `i-${index}`, zone: 'a', free: { cpus: 4, gpus: 0, memoryGb: 40, reportBytes: 400 } },
}));

describe('matching of the services of a partition', () => {
  it('considers each pair of a job and a machine a few times, and does not grow with the cube of the partition', () => {
    let consideredCount = 0;
    const isZoneOpen = (): boolean => {
      consideredCount++;
      return true;
    };
    const matches = match(tasks, machines, {
      ...{ isAllowed: () => true, isMachineOpen: () => true, tierOf: () => 0 },
      isZoneOpen,
    });
    assert.equal(matches.size, MACHINES * 2);
    const maxCount = JOBS * MACHINES * 2;
    assert.ok(consideredCount <= maxCount, `${consideredCount} considerations, at most ${maxCount} are expected`);
  });
});
