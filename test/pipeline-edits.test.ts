import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { endJob } from '../src/ledger/edits.js';
import { cancelWaitingJob, releaseJob } from '../src/ledger/pipeline-edits.js';
import { endedKey, jobKey, type JobRecord, type JobSpec } from '../src/ledger/records.js';
import { whyNotStart } from '../src/ledger/rules.js';
import { Draft } from '../src/state/draft.js';
import { jobOf } from '../src/testing/fixtures.js';

const REF = 'j-000002';
const BEFORE = ['j-000000', 'j-000001'];
const spec = jobOf({ Ref: REF }) as JobSpec;
const waiting: JobRecord = { spec, phase: 'waiting', at: 5, chunk: 64, awaits: BEFORE };

const draftOf = (records: Record<string, unknown>) => {
  const draft = new Draft((key) => ({ value: records[key], stamp: key in records ? 3 : 0 }));
  return draft;
};
const ended = (phases: Record<string, string>) =>
  Object.fromEntries(Object.entries(phases).map(([ref, phase]) => [endedKey(ref), { phase, shards: 1 }]));

describe('a waiting job', () => {
  it('is released only when each job before it has its final record, and that says done', () => {
    const tries: Record<string, string>[] = [
      {},
      { [BEFORE[0]!]: 'done' },
      { [BEFORE[0]!]: 'done', [BEFORE[1]!]: 'withdrawn' },
    ];
    for (const phases of tries) {
      assert.equal(releaseJob(draftOf({ [jobKey(REF)]: waiting, ...ended(phases) }), REF, 9), false);
    }
    const records = { [jobKey(REF)]: waiting, ...ended({ [BEFORE[0]!]: 'done', [BEFORE[1]!]: 'done' }) };
    const draft = draftOf(records);
    assert.equal(releaseJob(draft, REF, 9), true);
    assert.deepEqual(draft.writes.get(jobKey(REF)), { spec, phase: 'active', at: 5, chunk: 64, releasedAt: 9 });
    // That it still waits is the one condition.
    assert.deepEqual([...draft.conditions], [[jobKey(REF), 3]]);
  });

  it('is neither released nor cancelled once it does not wait any more', () => {
    const done = ended({ [BEFORE[0]!]: 'done', [BEFORE[1]!]: 'done' });
    for (const phase of ['active', 'withdrawn'] as const) {
      const records = { [jobKey(REF)]: { ...waiting, phase }, ...done };
      assert.equal(releaseJob(draftOf(records), REF, 9), false);
      assert.equal(cancelWaitingJob(draftOf(records), REF), false);
    }
  });

  it('starts no task, whatever machine there is, and does not end as done', () => {
    const why = whyNotStart({
      job: waiting,
      slot: { kind: 'queued', attempt: 0, fails: 0 },
      others: [],
      team: { name: 'red', cpus: 0, cpus_max: 0, gpus: 0, gpus_max: 0 },
      use: { cpus: 0, cards: 0 },
      machine: { host: 'i-1', flavor: 'c8', site: 'a', reclaimable: false, tenure: 1 },
      attempt: 1,
    });
    assert.equal(why, 'waits for other jobs');
    const finished = { [jobKey(REF)]: waiting, [`live/ledger/${REF}/0000`]: { s: [1] } };
    assert.equal(endJob(draftOf(finished), REF, 12), false);
  });
});
