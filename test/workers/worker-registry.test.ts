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

/** A registry over one partition, whose leadership term tests replace. */
function registryOver(term: LeadershipTerm) {
  const led: { term: LeadershipTerm | undefined } = { term };
  const leadership = { partitionCount: 1, partitionOf: () => 0, termOf: () => led.term } as unknown as RoleLeadership;
  return { led, registry: new WorkerRegistry(leadership, TIMINGS) };
}

function workerWithContactAt(ms: number): Worker {
  const worker = new Worker(MACHINE_ID);
  worker.lastContactAt = ms;
  return worker;
}

describe('what is known of the workers of a partition', () => {
  it('ends with the leadership term, and leases then count from the next one', () => {
    const { led, registry } = registryOver({ startRevision: 5, at: 1000 });
    registry.add(workerWithContactAt(500_000));
    led.term = { startRevision: 9, at: 600_000 };
    assert.equal(registry.has(MACHINE_ID), false);
    assert.equal(registry.size, 0);
    assert.ok(registry.leaseExpiresAt(MACHINE_ID, { fencingToken: 9, term: led.term }) > 600_000 + LEASE_MS);
  });

  it('outlives an advanced token, which begins no new term', () => {
    const term = { startRevision: 5, at: 1000 };
    const { registry } = registryOver(term);
    registry.add(workerWithContactAt(500_000));
    const advanced = { fencingToken: 12, term };
    assert.equal(registry.leaseExpiresAt(MACHINE_ID, advanced), leaseExpiresAt(500_000, LEASE_MS));
  });

  it('proves no lease over by having been forgotten', () => {
    const term = { startRevision: 5, at: 1000 };
    const { registry } = registryOver(term);
    registry.add(workerWithContactAt(500_000));
    registry.forget(MACHINE_ID);
    assert.equal(registry.has(MACHINE_ID), false);
    assert.equal(registry.leaseExpiresAt(MACHINE_ID, { fencingToken: 5, term }), leaseExpiresAt(500_000, LEASE_MS));
  });

  it('keeps no worker of a partition that is not led', () => {
    const { led, registry } = registryOver({ startRevision: 5, at: 1000 });
    led.term = undefined;
    registry.add(workerWithContactAt(500_000));
    assert.deepEqual([...registry.values()], []);
  });
});
