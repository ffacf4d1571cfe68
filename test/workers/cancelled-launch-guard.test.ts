import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { WorkerTimings } from '../../src/domain/settings.js';
import type { RoleLeadership } from '../../src/leadership/role-leadership.js';
import { CancelledLaunchGuard } from '../../src/workers/cancelled-launch-guard.js';
import type { DesiredTask } from '../../src/workers/reconciliation.js';
import { Worker } from '../../src/workers/worker.js';
import type { ReportedTask, WorkerStatus } from '../../src/workers/worker-wire-codec.js';
import { FakeClock } from '../../testing/fake-clock.js';

const FENCING_TOKEN = 7;
const ATTEMPT = { taskId: 'j-000001/0', attempt: 1 };
const RUNNING: ReportedTask = { attempt: 1, state: 'running', exitReason: null, isCheckpointed: false };
const CANCEL_DEADLINE_MS = 36_000;
const TIMINGS: WorkerTimings = {
  heartbeatIntervalMs: 1000,
  workerLeaseMs: 10_000,
  gangStartTimeoutMs: 30_000,
  gangPeerTimeoutMs: 4000,
  cancelDeadlineMs: CANCEL_DEADLINE_MS,
};

const statusOf = (sequence: number, tasks = new Map<string, ReportedTask>()): WorkerStatus => ({
  ...{ machineId: 'i-000001', endpoint: 'i-000001:9000', machineType: 'c8', zone: 'a', isSpot: false },
  ...{ agentEpoch: 1, sequence, fencingToken: FENCING_TOKEN, spotNoticeS: null, tasks },
});

/** A worker whose cancelled task is recorded there; its launch was requested and answered. */
class GuardScenario {
  readonly worker = new Worker('i-000001');
  private readonly clock = new FakeClock();
  private readonly guard: CancelledLaunchGuard;
  private readonly desired: ReadonlyMap<string, DesiredTask>;

  constructor() {
    const leadership = { hasRecentStoreContact: false } as unknown as RoleLeadership;
    this.guard = new CancelledLaunchGuard({ leadership, timings: TIMINGS, clock: this.clock });
    const placement = { kind: 'placed', attempt: 1, failures: 0, machineId: 'i-000001', agentEpoch: 1 } as const;
    const placedTask = { jobId: 'j-000001', taskIndex: 0, placement: { ...placement, gracePeriodS: null, zone: 'a' } };
    this.desired = new Map([[ATTEMPT.taskId, { placedTask, isCancelled: true, isInGang: false }]]);
    this.worker.applyStatus(statusOf(1), this.clock.now(), true);
    this.worker.launches.recordRequest(ATTEMPT, FENCING_TOKEN);
    this.worker.launches.markAnswered(ATTEMPT, FENCING_TOKEN);
  }

  /** Whether the lease must expire, by the deadline of cancellations. */
  async mustLetLeaseExpire(workerStatus: WorkerStatus): Promise<boolean> {
    const held = { fencingToken: FENCING_TOKEN, term: { startRevision: FENCING_TOKEN, acquiredAt: 0 } };
    const heartbeat = { worker: this.worker, workerStatus, held, desired: this.desired };
    assert.equal(this.guard.mustLetLeaseExpire(heartbeat), false, 'not at once');
    await this.clock.advance(CANCEL_DEADLINE_MS);
    return this.guard.mustLetLeaseExpire(heartbeat);
  }
}

describe('the guard of cancelled launches without the store', () => {
  it('lets the lease expire if the worker does not know the attempt, although its launch was answered', async () => {
    assert.equal(await new GuardScenario().mustLetLeaseExpire(statusOf(2)), true);
  });

  it('keeps the lease while the worker knows the attempt', async () => {
    const known = new Map([[ATTEMPT.taskId, RUNNING]]);
    assert.equal(await new GuardScenario().mustLetLeaseExpire(statusOf(2, known)), false);
  });

  it('keeps the lease if a newer command response has shown the attempt', async () => {
    const scenario = new GuardScenario();
    scenario.worker.applyStatus(statusOf(3, new Map([[ATTEMPT.taskId, RUNNING]])), 0, false);
    assert.equal(await scenario.mustLetLeaseExpire(statusOf(2)), false);
  });
});
