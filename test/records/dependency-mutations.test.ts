import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { cancelWaitingJob, releaseJob } from '../../src/records/dependency-mutations.js';
import { encodeJobSpec } from '../../src/records/job-spec-codec.js';
import { endJob } from '../../src/records/placement-mutations.js';
import { findStartRefusal } from '../../src/records/placement-rules.js';
import { encodeJobRecord } from '../../src/records/record-codecs.js';
import { finalJobKey, jobKey } from '../../src/records/record-keys.js';
import type { JobRecord } from '../../src/records/records.js';
import { TransactionDraft } from '../../src/store/transaction-draft.js';
import { specOf } from '../../testing/fixtures.js';

const JOB_ID = 'j-000002';
const DEPENDENCIES = ['j-000000', 'j-000001'];
const spec = specOf({ id: JOB_ID });
const waiting: JobRecord = { spec, state: 'waiting', submittedAtMs: 5, tasksPerChunk: 64, dependencies: DEPENDENCIES };

const draftOf = (records: Record<string, unknown>) => {
  const draft = new TransactionDraft((key) => ({ value: records[key], modRevision: key in records ? 3 : 0 }));
  return draft;
};
const finalRecordsOf = (phases: Record<string, string>) =>
  Object.fromEntries(Object.entries(phases).map(([jobId, phase]) => [finalJobKey(jobId), { phase, shards: 1 }]));

describe('a waiting job', () => {
  it('is released only when the final record of every dependency says done', () => {
    const incompletePhases: Record<string, string>[] = [
      {},
      { [DEPENDENCIES[0]!]: 'done' },
      { [DEPENDENCIES[0]!]: 'done', [DEPENDENCIES[1]!]: 'withdrawn' },
    ];
    for (const phases of incompletePhases) {
      assert.equal(
        releaseJob(draftOf({ [jobKey(JOB_ID)]: encodeJobRecord(waiting), ...finalRecordsOf(phases) }), JOB_ID, 9),
        false,
      );
    }
    const records = {
      [jobKey(JOB_ID)]: encodeJobRecord(waiting),
      ...finalRecordsOf({ [DEPENDENCIES[0]!]: 'done', [DEPENDENCIES[1]!]: 'done' }),
    };
    const draft = draftOf(records);
    assert.equal(releaseJob(draft, JOB_ID, 9), true);
    assert.deepEqual(draft.writes.get(jobKey(JOB_ID)), {
      spec: encodeJobSpec(spec),
      phase: 'active',
      at: 5,
      chunk: 64,
      releasedAt: 9,
    });
    // The only condition is that the job still waits.
    assert.deepEqual([...draft.conditions], [[jobKey(JOB_ID), 3]]);
  });

  it('is neither released nor cancelled for its dependencies once it no longer waits', () => {
    const done = finalRecordsOf({ [DEPENDENCIES[0]!]: 'done', [DEPENDENCIES[1]!]: 'done' });
    for (const state of ['active', 'cancelled'] as const) {
      const records = { [jobKey(JOB_ID)]: encodeJobRecord({ ...waiting, state }), ...done };
      assert.equal(releaseJob(draftOf(records), JOB_ID, 9), false);
      assert.equal(cancelWaitingJob(draftOf(records), JOB_ID), false);
    }
  });

  it('can start no task, and does not end even if its tasks are recorded as done', () => {
    const refusal = findStartRefusal({
      job: waiting,
      placement: { kind: 'queued', attempt: 0, failures: 0 },
      jobPlacements: [],
      team: { name: 'red', guaranteed: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } },
      teamUsage: { cpus: 0, gpus: 0 },
      machine: { machineId: 'i-1', machineType: 'c8', zone: 'a', isSpot: false, agentEpoch: 1 },
      attempt: 1,
    });
    assert.equal(refusal, 'waiting_for_dependencies');
    const finished = { [jobKey(JOB_ID)]: encodeJobRecord(waiting), [`live/ledger/${JOB_ID}/0000`]: { s: [1] } };
    assert.equal(endJob(draftOf(finished), JOB_ID, 12), false);
  });
});
