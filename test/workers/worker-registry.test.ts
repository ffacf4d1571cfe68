import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { WorkerTimings } from '../../src/domain/settings.js';
import { leaseExpiresAt } from '../../src/domain/worker-deadlines.js';
import type { LeadershipTerm, RoleLeadership } from '../../src/leadership/role-leadership.js';
import { Worker } from '../../src/workers/worker.js';
import { WorkerRegistry } from '../../src/workers/worker-registry.js';

const LEASE_MS = 10_000;
const TIMINGS: WorkerTimings = {
  heartbeatIntervalMs: 1000,
  workerLeaseMs: LEASE_MS,
  gangStartTimeoutMs: 30_000,
  gangPeerTimeoutMs: 4000,
  cancelDeadlineMs: 36_000,
};
const MACHINE_ID = 'i-000001';

/** A registry for one partition; tests replace its leadership term in `led`. */
function registryFor(term: LeadershipTerm) {
  const led: { term: LeadershipTerm | undefined } = { term };
  const leadership = { partitionCount: 1, partitionOf: () => 0, termOf: () => led.term } as unknown as RoleLeadership;
  return { led, registry: new WorkerRegistry(leadership, TIMINGS) };
}

function workerWithContactAt(ms: number): Worker {
  const worker = new Worker(MACHINE_ID);
  worker.lastContactAt = ms;
  return worker;
}

describe('the worker registry', () => {
  it('drops the workers of an ended leadership term, and counts leases from the start of the next one', () => {
    const { led, registry } = registryFor({ startRevision: 5, acquiredAt: 1000 });
    registry.add(workerWithContactAt(500_000));
    led.term = { startRevision: 9, acquiredAt: 600_000 };
    assert.equal(registry.has(MACHINE_ID), false);
    assert.equal(registry.size, 0);
    assert.ok(registry.leaseExpiresAt(MACHINE_ID, { fencingToken: 9, term: led.term }) > 600_000 + LEASE_MS);
  });

  it('keeps the workers when the fencing token is advanced, which starts no new term', () => {
    const term = { startRevision: 5, acquiredAt: 1000 };
    const { registry } = registryFor(term);
    registry.add(workerWithContactAt(500_000));
    const advanced = { fencingToken: 12, term };
    assert.equal(registry.leaseExpiresAt(MACHINE_ID, advanced), leaseExpiresAt(500_000, LEASE_MS));
  });

  it('does not consider the lease of a worker expired because it was forgotten', () => {
    const term = { startRevision: 5, acquiredAt: 1000 };
    const { registry } = registryFor(term);
    registry.add(workerWithContactAt(500_000));
    registry.forget(MACHINE_ID);
    assert.equal(registry.has(MACHINE_ID), false);
    assert.equal(registry.leaseExpiresAt(MACHINE_ID, { fencingToken: 5, term }), leaseExpiresAt(500_000, LEASE_MS));
  });

  it('does not consider a launch ruled out because the worker that it was sent to was forgotten', () => {
    const { registry } = registryFor({ startRevision: 5, acquiredAt: 1000 });
    const launch = { taskId: 'j-000001/0', attempt: 1 };
    const forgotten = registry.create(MACHINE_ID);
    forgotten.launches.recordRequest(launch, 7);
    registry.add(forgotten);
    registry.forget(MACHINE_ID);
    const { launches } = registry.create(MACHINE_ID);
    assert.equal(launches.isRuledOut(launch, 7), false);
    assert.equal(launches.isRuledOut(launch, 8), true);
  });

  it('keeps no worker of a partition that this node does not lead', () => {
    const { led, registry } = registryFor({ startRevision: 5, acquiredAt: 1000 });
    led.term = undefined;
    registry.add(workerWithContactAt(500_000));
    assert.deepEqual([...registry.values()], []);
  });
});
