import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { PlacedTask } from '../../src/records/cluster-state.js';
import { encodeJobRecord } from '../../src/records/record-codecs.js';
import { jobKey, placementChunkKey } from '../../src/records/record-keys.js';
import type { Mutation } from '../../src/store/transaction-batcher.js';
import { TransactionDraft } from '../../src/store/transaction-draft.js';
import { ExitRecorder, type ExitRecorderDependencies } from '../../src/workers/exit-recorder.js';
import { type DesiredTask, findProvenRelease } from '../../src/workers/reconciliation.js';
import { Worker } from '../../src/workers/worker.js';
import { decodeWorkerStatus, type WorkerStatus } from '../../src/workers/worker-wire-codec.js';
import { FakeClock } from '../../testing/fake-clock.js';
import { noLog, specOf } from '../../testing/fixtures.js';

const FENCING_TOKEN = 7;
const MACHINE_ID = 'i-000001';
const GANG = specOf({ id: 'j-000001', kind: 'gang', taskCount: 2 });
const placedTask: PlacedTask = {
  jobId: GANG.id,
  taskIndex: 0,
  placement: {
    kind: 'placed',
    attempt: 1,
    failures: 0,
    machineId: MACHINE_ID,
    agentEpoch: 1,
    gracePeriodS: null,
    zone: 'a',
  },
};
const desired: DesiredTask = { placedTask, isCancelled: false, isInGang: true };

const statusOf = (sequence: number, wireTasks: object[]): WorkerStatus =>
  decodeWorkerStatus({
    Host: MACHINE_ID,
    Endpoint: 'e',
    Flavor: 'c8',
    Site: 'a',
    Tenure: 1,
    Tick: sequence,
    Fence: FENCING_TOKEN,
    Shards: wireTasks,
  })!;

/** A draft of records in which the gang's two members are placed on different machines. */
function draftOfPlacements(): TransactionDraft {
  const rows = new Map<string, unknown>([
    [jobKey(GANG.id), encodeJobRecord({ spec: GANG, state: 'active', submittedAtMs: 0, tasksPerChunk: 2 })],
    [
      placementChunkKey(GANG.id, 0),
      {
        s: [
          [1, 0, MACHINE_ID, 1, -1, 'a'],
          [1, 0, 'i-000002', 1, -1, 'a'],
        ],
      },
    ],
  ]);
  return new TransactionDraft((key) => ({ value: rows.get(key), modRevision: 3 }));
}

/** Records the exit of the gang's first member, and returns the mutation that waits to be committed. */
function recordExit(worker: Worker): Mutation {
  let queuedMutation: Mutation = () => false;
  const recorder = new ExitRecorder({
    settings: { cluster: { teams: [], workers: { report_s: 1 } } },
    leadership: { requireLeadership: () => true, termOf: () => undefined },
    clusterState: { jobs: new Map(), batchingHintFor: () => undefined },
    transactions: {
      commit: (_name: string, _priority: number, mutation: Mutation) => {
        queuedMutation = mutation;
        return new Promise(() => undefined);
      },
    },
    accounting: { addExit: () => undefined, teamChangedByExit: () => undefined },
    workers: { get: () => worker },
    events: { taskDied: () => undefined, taskCompleted: () => undefined },
    clock: new FakeClock(),
    log: noLog,
  } as unknown as ExitRecorderDependencies);
  recorder.record(
    MACHINE_ID,
    'part-0',
    findProvenRelease(worker, desired, FENCING_TOKEN)!,
    () => findProvenRelease(worker, desired, FENCING_TOKEN)?.proof,
  );
  return queuedMutation;
}

describe('the queued release of an exited gang member', () => {
  const exited = { Shard: `${GANG.id}/0`, Try: 1, Phase: 'exited', Cause: 'no_room' };

  it('releases the placement while the worker still reports the exit', () => {
    const worker = new Worker(MACHINE_ID);
    worker.applyStatus(statusOf(1, [exited]), 0, true);
    assert.equal(recordExit(worker)(draftOfPlacements()), true);
  });

  // The store may have applied the first try although its response was lost, and the member may have been placed on the
  // machine again since.
  it('does not release a later placement on the same machine with the same attempt number', () => {
    const worker = new Worker(MACHINE_ID);
    worker.applyStatus(statusOf(1, [exited]), 0, true);
    const queuedMutation = recordExit(worker);
    worker.applyStatus(statusOf(2, [{ Shard: `${GANG.id}/0`, Try: 1, Phase: 'waiting' }]), 0, true);
    assert.equal(queuedMutation(draftOfPlacements()), false);
  });
});
