import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { JOB_PRIORITIES } from '../../src/domain/job.js';
import { WaitingJobAdvancer, type WaitingJobAdvancerDependencies } from '../../src/jobs/waiting-job-advancer.js';
import { JobDependencies } from '../../src/records/job-dependencies.js';
import type { JobRecord } from '../../src/records/records.js';
import { noLog, specOf } from '../../testing/fixtures.js';

let updateCount = 0;
const countedDependencies = () => {
  updateCount = 0;
  return new JobDependencies(() => updateCount++);
};
const waiting = (dependencies: string[], fields: object = {}): JobRecord => ({
  spec: specOf({ priority: 'low', deadlineS: null, ...fields }),
  state: 'waiting',
  submittedAtMs: 0,
  tasksPerChunk: 64,
  dependencies,
});
const inheritedPriorityOf = (index: JobDependencies, jobId: string) =>
  JOB_PRIORITIES[index.urgencyOf(jobId).priorityIndex];

describe('the urgency that jobs inherit from their dependents', () => {
  it('takes one update per job added to a chain of thousands, and one pass over the chain for a more urgent job', () => {
    const index = countedDependencies();
    const length = 5000;
    for (let n = 1; n < length; n++) index.update(`j-${n}`, waiting([`j-${n - 1}`]));
    assert.equal(updateCount, length - 1);
    index.update('j-last', waiting([`j-${length - 1}`], { priority: 'high', deadlineS: 1000, estimatedRunS: 10 }));
    assert.equal(updateCount, 2 * length - 1);
    assert.equal(inheritedPriorityOf(index, 'j-0'), 'high');
    // j-0 is done and j-1 is released: only the urgency of j-0 changes.
    index.update('j-1', { ...waiting([]), state: 'active' });
    assert.equal(updateCount, 2 * length);
    assert.equal(inheritedPriorityOf(index, 'j-0'), undefined);
    assert.equal(inheritedPriorityOf(index, 'j-1'), 'high');
  });

  it('takes about one update per edge of a wide diamond, even if the records of dependents arrive first', () => {
    const index = countedDependencies();
    const width = 500;
    const middle = Array.from({ length: width }, (_, n) => `j-middle-${n}`);
    // Pages deliver records in the order of their keys, not of their submission.
    index.update('j-end', waiting(middle, { priority: 'prod', deadlineS: 100, estimatedRunS: 10 }));
    for (const jobId of middle) index.update(jobId, waiting(['j-begin'], { estimatedRunS: 20 }));
    assert.equal(inheritedPriorityOf(index, 'j-begin'), 'prod');
    assert.equal(index.urgencyOf('j-begin').finishByMs, (100 - 10 - 20) * 1000);
    assert.ok(updateCount <= 2 * width + 1, `${updateCount}`);
    index.update('j-end', undefined);
    assert.equal(inheritedPriorityOf(index, 'j-begin'), 'low');
    assert.equal(index.urgencyOf('j-begin').finishByMs, Infinity);
    for (const jobId of middle) index.update(jobId, undefined);
    assert.equal(index.hasDependents('j-begin'), false);
    assert.equal(index.waitingCount, 0);
  });

  it('has the earlier deadline of two dependents, each less the estimated run time of the dependent', () => {
    const index = countedDependencies();
    index.update('j-short', waiting(['j-a'], { deadlineS: 100, estimatedRunS: 60 }));
    index.update('j-long', waiting(['j-a'], { deadlineS: 90, estimatedRunS: 10 }));
    assert.equal(index.urgencyOf('j-a').finishByMs, 40_000);
    index.update('j-short', undefined);
    assert.equal(index.urgencyOf('j-a').finishByMs, 80_000);
  });
});

describe('the sweep over waiting jobs', () => {
  it('checks each dependency in a long chain once, and commits only the release that is due', () => {
    const index = countedDependencies();
    const length = 2000;
    for (let n = 1; n <= length; n++) index.update(`j-${n}`, waiting([`j-${n - 1}`]));
    let checkedDependencies = 0;
    const committedMutations: string[] = [];
    const progress = new WaitingJobAdvancer({
      leadership: { hasRecentStoreContact: true, partitionOf: () => 0, leadershipOf: () => ({}) },
      clusterState: { dependencies: index, jobs: new Map() },
      transactions: {
        commit: (name: string) => {
          committedMutations.push(name);
          return Promise.resolve({ kind: 'void' });
        },
      },
      states: {
        stateOfAll: (predecessors: readonly string[]) => {
          checkedDependencies += predecessors.length;
          return predecessors.includes('j-0') ? 'done' : 'open';
        },
      },
      clock: { wall: () => 0 },
      log: noLog,
    } as unknown as WaitingJobAdvancerDependencies);
    progress.sweep();
    assert.equal(checkedDependencies, length);
    assert.deepEqual(committedMutations, ['release']);
  });
});
