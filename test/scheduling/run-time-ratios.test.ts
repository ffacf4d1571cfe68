import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { RUN_TIME_RATIO_WEIGHT } from '../../src/constants/scheduling.js';
import type { JobSpec } from '../../src/domain/job.js';
import { RunTimeRatios } from '../../src/scheduling/run-time-ratios.js';

const spec = (jobClass: string, estimatedRunS: number) => ({ jobClass, estimatedRunS }) as JobSpec;

describe('run-time ratios', () => {
  it('leave estimates unchanged until a task of the class has completed', () => {
    const ratios = new RunTimeRatios();
    ratios.record(spec('other', 10), 20);
    assert.equal(ratios.expectedRunS(spec('batch', 10)), 10);
  });

  it('move the expected run time of a class by the weight of the newest run', () => {
    const ratios = new RunTimeRatios();
    ratios.record(spec('batch', 10), 20);
    assert.equal(ratios.expectedRunS(spec('batch', 100)), 100 * (1 + RUN_TIME_RATIO_WEIGHT));
  });

  it('count an outlier as four times its estimate, and ignore runs without an estimate', () => {
    const ratios = new RunTimeRatios();
    ratios.record(spec('batch', 10), 1000);
    ratios.record(spec('batch', 0), 1000);
    assert.equal(ratios.expectedRunS(spec('batch', 100)), 100 * (1 + RUN_TIME_RATIO_WEIGHT * 3));
  });
});
