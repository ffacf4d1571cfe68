import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { MAX_MESSAGE_BYTES, MAX_TASKS_PER_JOB } from '../../src/constants/protocol.js';
import { MAX_NAME_CHARACTERS, MAX_REPORTED_TASKS_BYTES } from '../../src/constants/worker-report.js';
import { maxReportedTaskBytes, reportedTaskBytes } from '../../src/domain/worker-report.js';

const PHASES = ['fetching', 'waiting', 'running', 'flushing', 'exited'];
const CAUSES = ['done', 'stopped', 'peers', 'alone', 'error', 'no_room', 'in_use', 'unknown', null];
/** JSON has no notation for a bigint in JSON.stringify, so the digits are put in afterwards. */
const LARGEST_COUNT = '18446744073709551615';
const SHORT_JOB = 'j-000412';
const LONG_JOB = `j-${'x'.repeat(100)}`;

const entryOf = (taskId: string, phase: string, cause: string | null): string =>
  JSON.stringify({ Shard: taskId, Try: '#', Phase: phase, Cause: cause, Saved: false }).replace('"#"', LARGEST_COUNT);

function largestReport(jobId: string): string {
  const taskCount = Math.floor(MAX_REPORTED_TASKS_BYTES / maxReportedTaskBytes(jobId));
  const entry = entryOf(`${jobId}/${MAX_TASKS_PER_JOB - 1}`, 'fetching', 'unknown');
  const name = '\u0001'.repeat(MAX_NAME_CHARACTERS);
  const machine = { Host: name, Endpoint: name, Flavor: name, Site: name, Reclaimable: false };
  const counts = `"Tenure":${LARGEST_COUNT},"Tick":${LARGEST_COUNT},"Fence":${LARGEST_COUNT},"WarningS":${-Number.MAX_VALUE}`;
  return `${JSON.stringify(machine).slice(0, -1)},${counts},"Shards":[${Array(taskCount).fill(entry).join(',')}]}`;
}

describe('the size of a worker report', () => {
  it('counts a task at least as long as its entry in any state', () => {
    for (const phase of PHASES)
      for (const cause of CAUSES) {
        const taskId = `${SHORT_JOB}/7`;
        assert.ok(`${entryOf(taskId, phase, cause)},`.length <= reportedTaskBytes(taskId), `${phase} ${cause}`);
      }
  });

  it('stays within the limit of a request with as many tasks as fit, whatever the names and counts', () => {
    for (const jobId of [SHORT_JOB, LONG_JOB]) {
      const report = largestReport(jobId);
      assert.doesNotThrow(() => JSON.parse(report) as unknown);
      assert.ok(Buffer.byteLength(report) <= MAX_MESSAGE_BYTES, `${jobId}: ${Buffer.byteLength(report)}`);
    }
  });

  it('leaves room for several times the tasks of a busy machine', () => {
    assert.ok(Math.floor(MAX_REPORTED_TASKS_BYTES / maxReportedTaskBytes(SHORT_JOB)) >= 500);
  });
});
