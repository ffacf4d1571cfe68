import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { ActivePlacement } from '../../src/domain/task.js';
import {
  type CommandPermissions,
  type DesiredTask,
  reconcile,
  type WorkerView,
} from '../../src/workers/reconciliation.js';
import { SentLaunches } from '../../src/workers/sent-launches.js';
import type { ReportedTask } from '../../src/workers/worker-wire-codec.js';

const FENCING_TOKEN = 7;
const TASK_ID = 'j-000001/0';
const FIRST_ATTEMPT = { taskId: TASK_ID, attempt: 1 };
const NO_ACTION = { commands: [], releases: [], needsNewToken: false, keptExitCount: 0, heldLaunchCount: 0 };
const PERMISSIONS: CommandPermissions = {
  fencingToken: FENCING_TOKEN,
  canLaunch: true,
  knowsAllPlacements: true,
  isHeartbeatResponse: true,
};

function workerWith(task?: Partial<ReportedTask>): WorkerView & { launches: SentLaunches } {
  const reported: ReportedTask = { attempt: 1, state: 'running', exitReason: null, isCheckpointed: false, ...task };
  return {
    agentEpoch: 2,
    fencingToken: FENCING_TOKEN,
    tasks: new Map(task === undefined ? [] : [[TASK_ID, reported]]),
    launches: new SentLaunches(),
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
  it('plans no action if status and placements match', () => {
    const plan = reconcile(workerWith({}), desiredWith(), PERMISSIONS);
    assert.deepEqual(plan, NO_ACTION);
  });

  it('launches a missing task only while launches are allowed', () => {
    const launch = { kind: 'launch', taskId: TASK_ID, attempt: 1 };
    assert.deepEqual(reconcile(workerWith(), desiredWith(), PERMISSIONS).commands, [launch]);
    assert.deepEqual(reconcile(workerWith(), desiredWith(), { ...PERMISSIONS, canLaunch: false }).commands, []);
  });

  it('kills another attempt before the recorded one is launched', () => {
    const { commands } = reconcile(workerWith({ attempt: 1 }), desiredWith({ attempt: 2 }), PERMISSIONS);
    assert.deepEqual(commands, [{ kind: 'kill', taskId: TASK_ID, attempt: 1, gracePeriodS: 0 }]);
  });

  it('forgets an exit without a placement only in heartbeat responses, and only under a newer token than its launch', () => {
    const worker = workerWith({ state: 'exited', exitReason: 'done' });
    const forget = { kind: 'forget', taskId: TASK_ID, attempt: 1 };
    assert.deepEqual(reconcile(worker, new Map(), PERMISSIONS).commands, [forget]);
    assert.deepEqual(reconcile(worker, new Map(), { ...PERMISSIONS, isHeartbeatResponse: false }).commands, []);
    worker.launches.recordRequest(FIRST_ATTEMPT, FENCING_TOKEN);
    assert.deepEqual(reconcile(worker, new Map(), PERMISSIONS), { ...NO_ACTION, keptExitCount: 1 });
    worker.launches.markAnswered(FIRST_ATTEMPT, FENCING_TOKEN);
    assert.deepEqual(reconcile(worker, new Map(), PERMISSIONS), { ...NO_ACTION, keptExitCount: 1 });
    const advanced = { ...PERMISSIONS, fencingToken: FENCING_TOKEN + 1 };
    assert.deepEqual(reconcile(worker, new Map(), advanced).commands, [forget]);
  });

  it('kills no task without a placement until all placements are known', () => {
    const { commands } = reconcile(workerWith({}), new Map(), { ...PERMISSIONS, knowsAllPlacements: false });
    assert.deepEqual(commands, []);
  });

  it('releases the placement of a cancelled task once its launch can no longer arrive', () => {
    const worker = workerWith();
    worker.launches.recordRequest(FIRST_ATTEMPT, FENCING_TOKEN);
    const waiting = { ...NO_ACTION, needsNewToken: true };
    assert.deepEqual(reconcile(worker, desiredWith({}, true), PERMISSIONS), waiting);
    // An answer shows that the launch has arrived, not that no copy of it arrives again.
    worker.launches.markAnswered(FIRST_ATTEMPT, FENCING_TOKEN);
    assert.deepEqual(reconcile(worker, desiredWith({}, true), PERMISSIONS), waiting);
    const advanced = { ...PERMISSIONS, fencingToken: FENCING_TOKEN + 1 };
    assert.deepEqual(reconcile(worker, desiredWith({}, true), advanced), NO_ACTION);
    const reported = { ...worker, fencingToken: FENCING_TOKEN + 1 };
    const { releases } = reconcile(reported, desiredWith({}, true), advanced);
    assert.deepEqual(
      releases.map(({ proof, ending }) => ({ proof, ending })),
      [{ proof: { kind: 'exited', attempt: 1, agentEpoch: 2 }, ending: 'lost' }],
    );
  });

  it('releases the placement of a cancelled task whose launch was refused or never reached the worker', () => {
    const worker = workerWith();
    worker.launches.recordRequest(FIRST_ATTEMPT, FENCING_TOKEN);
    worker.launches.markNotExecuted(FIRST_ATTEMPT, FENCING_TOKEN);
    assert.equal(reconcile(worker, desiredWith({}, true), PERMISSIONS).releases.length, 1);
  });

  it('launches a newer attempt in place of an exited one only under a newer token than that of its launch', () => {
    const worker = workerWith({ state: 'exited', exitReason: 'error' });
    worker.launches.recordRequest(FIRST_ATTEMPT, FENCING_TOKEN);
    worker.launches.markAnswered(FIRST_ATTEMPT, FENCING_TOKEN);
    const desired = desiredWith({ attempt: 2 });
    assert.deepEqual(reconcile(worker, desired, PERMISSIONS), { ...NO_ACTION, needsNewToken: true, keptExitCount: 1 });
    const { commands } = reconcile(worker, desired, { ...PERMISSIONS, fencingToken: FENCING_TOKEN + 1 });
    assert.deepEqual(
      commands.map(({ kind, attempt }) => [kind, attempt]),
      [
        ['forget', 1],
        ['launch', 2],
      ],
    );
  });

  it('asks for a new token when a gang member has failed that may be placed here again with its attempt', () => {
    const worker = workerWith({ state: 'exited', exitReason: 'peer_lost' });
    const desired = new Map([[TASK_ID, { ...desiredWith().get(TASK_ID)!, isInGang: true }]]);
    assert.equal(reconcile(worker, desired, PERMISSIONS).needsNewToken, false);
    worker.launches.recordRequest(FIRST_ATTEMPT, FENCING_TOKEN);
    worker.launches.markAnswered(FIRST_ATTEMPT, FENCING_TOKEN);
    assert.equal(reconcile(worker, desired, PERMISSIONS).needsNewToken, true);
    assert.equal(reconcile(worker, desiredWith(), PERMISSIONS).needsNewToken, false);
  });

  it('releases a placement of an earlier agent epoch, but not one of a later agent epoch', () => {
    const [release] = reconcile(workerWith(), desiredWith({ agentEpoch: 1 }), PERMISSIONS).releases;
    assert.equal(release?.ending, 'lost');
    assert.deepEqual(reconcile(workerWith(), desiredWith({ agentEpoch: 3 }), PERMISSIONS).releases, []);
  });
});
