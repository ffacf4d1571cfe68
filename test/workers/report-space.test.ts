import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { MAX_REPORTED_TASKS_BYTES } from '../../src/constants/worker-report.js';
import { reportedTaskBytes } from '../../src/domain/worker-report.js';
import { tasksWithoutReportSpace } from '../../src/workers/report-space.js';
import { SentLaunches } from '../../src/workers/sent-launches.js';

const TOKEN = 7;
const idOf = (index: number): string => `j-000001/${String(index).padStart(5, '0')}`;
const SPACE = Math.floor(MAX_REPORTED_TASKS_BYTES / reportedTaskBytes(idOf(0)));
const attemptsFrom = (first: number, count: number) =>
  Array.from({ length: count }, (_, index) => ({ taskId: idOf(first + index), attempt: 1 }));

const workerWith = (reportedCount: number, fencingToken = TOKEN) => ({
  fencingToken,
  tasks: new Map(attemptsFrom(0, reportedCount).map(({ taskId }) => [taskId, {}])),
  launches: new SentLaunches(),
});

describe('the space in a worker report', () => {
  it('is left for all launches of a usual number of tasks', () => {
    assert.equal(tasksWithoutReportSpace(workerWith(32), attemptsFrom(32, 64), TOKEN).size, 0);
  });

  it('is taken by the tasks that the worker names, exited ones included', () => {
    const withoutSpace = tasksWithoutReportSpace(workerWith(SPACE - 2), attemptsFrom(SPACE, 5), TOKEN);
    assert.deepEqual([...withoutSpace], [idOf(SPACE + 2), idOf(SPACE + 3), idOf(SPACE + 4)]);
  });

  it('is first taken by launches that may still arrive', () => {
    const worker = workerWith(SPACE - 1);
    const [first, second] = attemptsFrom(SPACE, 2);
    worker.launches.recordRequest(second!, TOKEN);
    assert.deepEqual([...tasksWithoutReportSpace(worker, [first!, second!], TOKEN)], [first!.taskId]);
  });

  it('counts all launches as sent until the worker has reported the token of this leader', () => {
    const launches = attemptsFrom(SPACE, 2);
    const withoutSpace = tasksWithoutReportSpace(workerWith(SPACE - 1, TOKEN - 1), launches, TOKEN);
    assert.deepEqual([...withoutSpace], [launches[1]!.taskId]);
  });
});
