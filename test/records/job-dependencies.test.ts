import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { JOB_PRIORITIES } from '../../src/domain/job.js';
import { DependencyProgress, type DependencyProgressDependencies } from '../../src/jobs/dependency-progress.js';
import { JobDependencies } from '../../src/records/job-dependencies.js';
import type { JobRecord } from '../../src/records/records.js';
import { noLog, specOf } from '../../testing/fixtures.js';

let changes = 0;
const countedDependencies = () => {
  changes = 0;
  return new JobDependencies(() => changes++);
};
const waiting = (dependencies: string[], fields: object = {}): JobRecord => ({
  spec: specOf({ priority: 'low', deadlineS: null, ...fields }),
  state: 'waiting',
  submittedAtMs: 0,
  tasksPerChunk: 64,
  dependencies,
});
const priorityIndexOf = (index: JobDependencies, jobId: string) => JOB_PRIORITIES[index.urgencyOf(jobId).priorityIndex];

describe('the urgency that jobs inherit from their dependents', () => {
  it('is computed along a chain of thousands in one step for each new job, and in one pass for a more urgent one', () => {
    const index = countedDependencies();
    const length = 5000;
    for (let n = 1; n < length; n++) index.update(`j-${n}`, waiting([`j-${n - 1}`]));
    assert.equal(changes, length - 1);
    index.update('j-last', waiting([`j-${length - 1}`], { priority: 'high', deadlineS: 1000, estimatedRunS: 10 }));
    assert.equal(changes, 2 * length - 1);
    assert.equal(priorityIndexOf(index, 'j-0'), 'high');
    // The first one is done: nothing before the others changes.
    index.update('j-1', { ...waiting([]), state: 'active' });
    assert.equal(changes, 2 * length);
    assert.equal(priorityIndexOf(index, 'j-0'), undefined);
    assert.equal(priorityIndexOf(index, 'j-1'), 'high');
  });

  it('is computed in a wide fan and a diamond at the cost of their edges, in whatever order the records come', () => {
    const index = countedDependencies();
    const width = 500;
    const middle = Array.from({ length: width }, (_, n) => `j-middle-${n}`);
    // Pages of records bring them in the order of their names, not of their submission.
    index.update('j-end', waiting(middle, { priority: 'prod', deadlineS: 100, estimatedRunS: 10 }));
    for (const jobId of middle) index.update(jobId, waiting(['j-begin'], { estimatedRunS: 20 }));
    assert.equal(priorityIndexOf(index, 'j-begin'), 'prod');
    assert.equal(index.urgencyOf('j-begin').finishBy, (100 - 10 - 20) * 1000);
    assert.ok(changes <= 2 * width + 1, `${changes}`);
    index.update('j-end', undefined);
    assert.equal(priorityIndexOf(index, 'j-begin'), 'low');
    assert.equal(index.urgencyOf('j-begin').finishBy, Infinity);
    for (const jobId of middle) index.update(jobId, undefined);
    assert.equal(index.hasDependents('j-begin'), false);
    assert.equal(index.waitingCount, 0);
  });

  it('keeps the earlier of two deadlines, less the estimated run times on each path', () => {
    const index = countedDependencies();
    index.update('j-short', waiting(['j-a'], { deadlineS: 100, estimatedRunS: 60 }));
    index.update('j-long', waiting(['j-a'], { deadlineS: 90, estimatedRunS: 10 }));
    assert.equal(index.urgencyOf('j-a').finishBy, 40_000);
    index.update('j-short', undefined);
    assert.equal(index.urgencyOf('j-a').finishBy, 80_000);
  });
});

describe('the sweep over waiting jobs', () => {
  it('costs a long chain its length, and takes the one step that is due', () => {
    const index = countedDependencies();
    const length = 2000;
    for (let n = 1; n <= length; n++) index.update(`j-${n}`, waiting([`j-${n - 1}`]));
    let looks = 0;
    const steps: string[] = [];
    const progress = new DependencyProgress({
      leadership: { hasRecentStoreContact: true, partitionOf: () => 0, leadershipOf: () => ({}) },
      clusterState: { dependencies: index, jobs: new Map() },
      transactions: {
        commit: (name: string) => {
          steps.push(name);
          return Promise.resolve({ kind: 'void' });
        },
      },
      states: {
        stateOfAll: (predecessors: readonly string[]) => {
          looks += predecessors.length;
          return predecessors.includes('j-0') ? 'done' : 'open';
        },
      },
      clock: { wall: () => 0 },
      log: noLog,
    } as unknown as DependencyProgressDependencies);
    progress.sweep();
    assert.equal(looks, length);
    assert.deepEqual(steps, ['release']);
  });
});
