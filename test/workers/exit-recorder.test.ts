import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { ExitRecorder, type ExitRecorderDependencies } from '../../src/workers/exit-recorder.js';
import type { PlacedTask } from '../../src/records/cluster-state.js';
import { jobKey, placementChunkKey } from '../../src/records/record-keys.js';
import type { Mutation } from '../../src/store/transaction-batcher.js';
import { TransactionDraft } from '../../src/store/transaction-draft.js';
import { noLog, specOf } from '../../testing/fixtures.js';
import { FakeClock } from '../../testing/fake-clock.js';
import { findProof, type DesiredTask } from '../../src/workers/reconciliation.js';
import { decodeWorkerStatus, type WorkerStatus } from '../../src/workers/worker-wire-codec.js';
import { Worker } from '../../src/workers/worker.js';
import { encodeJobRecord } from '../../src/records/record-codecs.js';

const FENCE = 7;
const HOST = 'i-000001';
const GANG = specOf({ id: 'j-000001', kind: 'gang', taskCount: 2 });
const placedTask: PlacedTask = {
  jobId: GANG.id,
  taskIndex: 0,
  placement: { kind: 'placed', attempt: 1, failures: 0, machineId: HOST, agentEpoch: 1, gracePeriodS: null, zone: 'a' },
};
const desired: DesiredTask = { placedTask, isCancelled: false, isInGang: true };

const reportOf = (sequence: number, shards: object[]): WorkerStatus =>
  decodeWorkerStatus({
    Host: HOST,
    Endpoint: 'e',
    Flavor: 'c8',
    Site: 'a',
    Tenure: 1,
    Tick: sequence,
    Fence: FENCE,
    Shards: shards,
  })!;

/** The ledger: the gang's first member is placed, its second one waits on another machine. */
function draftOfLedger(): TransactionDraft {
  const rows = new Map<string, unknown>([
    [jobKey(GANG.id), encodeJobRecord({ spec: GANG, state: 'active', submittedAtMs: 0, tasksPerChunk: 2 })],
    [
      placementChunkKey(GANG.id, 0),
      {
        s: [
          [1, 0, HOST, 1, -1, 'a'],
          [1, 0, 'i-000002', 1, -1, 'a'],
        ],
      },
    ],
  ]);
  return new TransactionDraft((key) => ({ value: rows.get(key), modRevision: 3 }));
}

/** Hands the exit of the gang's first member to the ledger; returns the decision that waits for its turn. */
function recordExit(worker: Worker): Mutation {
  let decide: Mutation = () => false;
  const recorder = new ExitRecorder({
    settings: { cluster: { teams: [], workers: { report_s: 1 } } },
    leadership: { requireLeadership: () => true, termOf: () => undefined },
    clusterState: { jobs: new Map(), batchingHintFor: () => undefined },
    transactions: {
      commit: (_name: string, _priority: number, decision: Mutation) => {
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
  const exited = { Shard: `${GANG.id}/0`, Try: 1, Phase: 'exited', Cause: 'no_room' };

  it('frees its place as long as its worker shows it', () => {
    const worker = new Worker(HOST);
    worker.applyStatus(reportOf(1, [exited]), 0, true);
    assert.equal(recordExit(worker)(draftOfLedger()), true);
  });

  // The store may have carried a first try out and lost the answer; the member may be placed there once more since.
  it('does not free its next stay on the same machine under the same attempt', () => {
    const worker = new Worker(HOST);
    worker.applyStatus(reportOf(1, [exited]), 0, true);
    const decide = recordExit(worker);
    worker.applyStatus(reportOf(2, [{ Shard: `${GANG.id}/0`, Try: 1, Phase: 'waiting' }]), 0, true);
    assert.equal(decide(draftOfLedger()), false);
  });
});
