import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { ActivePlacement } from '../../src/domain/task.js';
import { PendingLaunches } from '../../src/workers/pending-launches.js';
import { type CommandRights, type DesiredTask, reconcile, type WorkerView } from '../../src/workers/reconciliation.js';
import type { ReportedTask } from '../../src/workers/worker-wire-codec.js';

const FENCING_TOKEN = 7;
const TASK_ID = 'j-000001/0';
const RIGHTS: CommandRights = {
  fencingToken: FENCING_TOKEN,
  canLaunch: true,
  knowsAllPlacements: true,
  isHeartbeatAnswer: true,
};

function workerWith(task?: Partial<ReportedTask>): WorkerView & { launches: PendingLaunches } {
  const reported: ReportedTask = { attempt: 1, state: 'running', exitReason: null, isCheckpointed: false, ...task };
  return {
    agentEpoch: 2,
    fencingToken: FENCING_TOKEN,
    tasks: new Map(task === undefined ? [] : [[TASK_ID, reported]]),
    launches: new PendingLaunches(),
  };
}

function desiredWith(placement?: Partial<ActivePlacement>, isCancelled = false): Map<string, DesiredTask> {
  const recorded: ActivePlacement = {
    ...{ kind: 'placed', attempt: 1, failures: 0, machineId: 'i-000001', agentEpoch: 2, gracePeriodS: null, zone: 'a' },
    ...placement,
  };
  const placedTask = { jobId: 'j-000001', taskIndex: 0, placement: recorded };
  return new Map([[TASK_ID, { placedTask, isCancelled, isInGang: false }]]);
}

describe('the reconciliation of a worker with the recorded placements', () => {
  it('asks for nothing where both agree', () => {
    const plan = reconcile(workerWith({}), desiredWith(), RIGHTS);
    assert.deepEqual(plan, { commands: [], releases: [], needsNewToken: false });
  });

  it('launches a missing task only while launches are allowed', () => {
    const launch = { kind: 'launch', taskId: TASK_ID, attempt: 1 };
    assert.deepEqual(reconcile(workerWith(), desiredWith(), RIGHTS).commands, [launch]);
    assert.deepEqual(reconcile(workerWith(), desiredWith(), { ...RIGHTS, canLaunch: false }).commands, []);
  });

  it('kills another attempt before the recorded one is launched', () => {
    const { commands } = reconcile(workerWith({ attempt: 1 }), desiredWith({ attempt: 2 }), RIGHTS);
    assert.deepEqual(commands, [{ kind: 'kill', taskId: TASK_ID, attempt: 1, gracePeriodS: 0 }]);
  });

  it('forgets an exit without a placement in answers to heartbeats only, and not while a launch may arrive', () => {
    const worker = workerWith({ state: 'exited', exitReason: 'done' });
    const forget = { kind: 'forget', taskId: TASK_ID, attempt: 1 };
    assert.deepEqual(reconcile(worker, new Map(), RIGHTS).commands, [forget]);
    assert.deepEqual(reconcile(worker, new Map(), { ...RIGHTS, isHeartbeatAnswer: false }).commands, []);
    worker.launches.recordSent(`${TASK_ID}#1`, FENCING_TOKEN);
    assert.deepEqual(reconcile(worker, new Map(), RIGHTS), { commands: [], releases: [], needsNewToken: true });
  });

  it('leaves tasks without a placement alone until all placements are known', () => {
    const { commands } = reconcile(workerWith({}), new Map(), { ...RIGHTS, knowsAllPlacements: false });
    assert.deepEqual(commands, []);
  });

  it('releases the placement of a cancelled task once its launch can not arrive any more', () => {
    const worker = workerWith();
    worker.launches.recordSent(`${TASK_ID}#1`, FENCING_TOKEN);
    const before = reconcile(worker, desiredWith({}, true), RIGHTS);
    assert.deepEqual(before, { commands: [], releases: [], needsNewToken: true });
    worker.launches.settle(`${TASK_ID}#1`, FENCING_TOKEN);
    const { releases } = reconcile(worker, desiredWith({}, true), RIGHTS);
    assert.deepEqual(
      releases.map(({ proof, ending }) => ({ proof, ending })),
      [{ proof: { kind: 'exited', attempt: 1, agentEpoch: 2 }, ending: 'lost' }],
    );
  });

  it('releases a placement of a former agent epoch, and none of a later one', () => {
    const [release] = reconcile(workerWith(), desiredWith({ agentEpoch: 1 }), RIGHTS).releases;
    assert.equal(release?.ending, 'lost');
    assert.deepEqual(reconcile(workerWith(), desiredWith({ agentEpoch: 3 }), RIGHTS).releases, []);
  });
});
