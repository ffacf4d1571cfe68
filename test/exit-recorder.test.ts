import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ExitRecorder, type ExitRecorderDependencies } from '../src/controller/exit-recorder.js';
import type { Place } from '../src/ledger/book.js';
import { chunkKey, jobKey, type JobSpec } from '../src/ledger/records.js';
import type { Decide } from '../src/state/committer.js';
import { Draft } from '../src/state/draft.js';
import { jobOf, noLog } from '../src/testing/fixtures.js';
import { FakeClock } from '../src/testing/fake-clock.js';
import { findProof, type Desired } from '../src/workers/reconcile.js';
import { decodeReport, type Report } from '../src/workers/report.js';
import { Worker } from '../src/workers/worker.js';

const FENCE = 7;
const HOST = 'i-000001';
const GANG = jobOf({ Ref: 'j-000001', Shape: 'ensemble', Shards: 2 }) as JobSpec;
const place: Place = {
  ref: GANG.Ref,
  shard: 0,
  slot: { kind: 'placed', attempt: 1, fails: 0, host: HOST, tenure: 1, stop: null, site: 'a' },
};
const desired: Desired = { place, withdrawn: false, inGang: true };

const reportOf = (tick: number, shards: object[]): Report =>
  decodeReport({
    Host: HOST,
    Endpoint: 'e',
    Flavor: 'c8',
    Site: 'a',
    Tenure: 1,
    Tick: tick,
    Fence: FENCE,
    Shards: shards,
  })!;

/** The ledger: the gang's first member is placed, its second one waits on another machine. */
function draftOfLedger(): Draft {
  const rows = new Map<string, unknown>([
    [jobKey(GANG.Ref), { spec: GANG, phase: 'active', at: 0, chunk: 2 }],
    [
      chunkKey(GANG.Ref, 0),
      {
        s: [
          [1, 0, HOST, 1, -1, 'a'],
          [1, 0, 'i-000002', 1, -1, 'a'],
        ],
      },
    ],
  ]);
  return new Draft((key) => ({ value: rows.get(key), stamp: 3 }));
}

/** Hands the exit of the gang's first member to the ledger; returns the decision that waits for its turn. */
function recordExit(worker: Worker): Decide {
  let decide: Decide = () => false;
  const recorder = new ExitRecorder({
    settings: { cluster: { teams: [], workers: { report_s: 1 } } },
    claims: { require: () => true, acquisition: () => undefined },
    book: { jobs: new Map(), companyOf: () => undefined },
    committer: {
      commit: (_name: string, _priority: number, decision: Decide) => {
        decide = decision;
        return new Promise(() => undefined);
      },
    },
    accounting: { addExit: () => undefined, teamChangedByExit: () => undefined },
    workers: { get: () => worker },
    events: { died: () => undefined, completed: () => undefined },
    clock: new FakeClock(),
    log: noLog,
  } as unknown as ExitRecorderDependencies);
  recorder.record(HOST, 'part-0', findProof(worker, desired, FENCE)!, () => findProof(worker, desired, FENCE)?.proof);
  return decide;
}

describe('the exit of a gang member that waits for its turn at the store', () => {
  const exited = { Shard: `${GANG.Ref}/0`, Try: 1, Phase: 'exited', Cause: 'no_room' };

  it('frees its place as long as its worker shows it', () => {
    const worker = new Worker(HOST);
    worker.take(reportOf(1, [exited]), 0, true);
    assert.equal(recordExit(worker)(draftOfLedger()), true);
  });

  // The store may have carried a first try out and lost the answer; the member may be placed there once more since.
  it('does not free its next stay on the same machine under the same attempt', () => {
    const worker = new Worker(HOST);
    worker.take(reportOf(1, [exited]), 0, true);
    const decide = recordExit(worker);
    worker.take(reportOf(2, [{ Shard: `${GANG.Ref}/0`, Try: 1, Phase: 'waiting' }]), 0, true);
    assert.equal(decide(draftOfLedger()), false);
  });
});
