import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { RUN_TIME_RATIO_WEIGHT } from '../../src/constants/scheduling.js';
import type { JobSpec } from '../../src/domain/job.js';
import { RunTimeRatios } from '../../src/scheduling/run-time-ratios.js';

const spec = (jobClass: string, estimatedRunS: number) => ({ jobClass, estimatedRunS }) as JobSpec;

describe('run-time ratios', () => {
  it('leaves estimates as they are until a task of the class has run to its end', () => {
    const ratios = new RunTimeRatios();
    ratios.record(spec('other', 10), 20);
    assert.equal(ratios.expectedRunS(spec('batch', 10)), 10);
  });

  it('moves the expectation of a class by the weight of the newest run', () => {
    const ratios = new RunTimeRatios();
    ratios.record(spec('batch', 10), 20);
    assert.equal(ratios.expectedRunS(spec('batch', 100)), 100 * (1 + RUN_TIME_RATIO_WEIGHT));
  });

  it('counts an outlier as four times its estimate, and learns nothing without an estimate', () => {
    const ratios = new RunTimeRatios();
    ratios.record(spec('batch', 10), 1000);
    ratios.record(spec('batch', 0), 1000);
    assert.equal(ratios.expectedRunS(spec('batch', 100)), 100 * (1 + RUN_TIME_RATIO_WEIGHT * 3));
  });
});
