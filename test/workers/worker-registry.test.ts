import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { WorkerTimings } from '../../src/domain/settings.js';
import type { LeadershipTerm, RoleLeadership } from '../../src/leadership/role-leadership.js';
import { WorkerRegistry } from '../../src/workers/worker-registry.js';
import { Worker } from '../../src/workers/worker.js';
import { leaseOverAt } from '../../src/domain/worker-deadlines.js';

const LEASE_MS = 10_000;
const TIMINGS: WorkerTimings = {
  heartbeatIntervalMs: 1000,
  workerLeaseMs: LEASE_MS,
  gangStartTimeoutMs: 30_000,
  gangPeerTimeoutMs: 4000,
  cancelDeadlineMs: 36_000,
};
const HOST = 'i-000001';

/** A registry over one partition, whose acquisition tests replace. */
function registryOver(term: LeadershipTerm) {
  const owned: { term: LeadershipTerm | undefined } = { term };
  const leadership = { partitionCount: 1, partitionOf: () => 0, termOf: () => owned.term } as unknown as RoleLeadership;
  return { owned, registry: new WorkerRegistry(leadership, TIMINGS) };
}

function workerHeardAt(ms: number): Worker {
  const worker = new Worker(HOST);
  worker.lastContactAt = ms;
  return worker;
}

describe('what is known of the workers of a partition', () => {
  it('ends with the acquisition of its claim, and leases then count from the next one', () => {
    const { owned, registry } = registryOver({ startRevision: 5, at: 1000 });
    registry.add(workerHeardAt(500_000));
    owned.term = { startRevision: 9, at: 600_000 };
    assert.equal(registry.has(HOST), false);
    assert.equal(registry.size, 0);
    assert.ok(registry.leaseOverAt(HOST, { fencingToken: 9, term: owned.term }) > 600_000 + LEASE_MS);
  });

  it('outlives a raised token, which begins no new acquisition', () => {
    const term = { startRevision: 5, at: 1000 };
    const { registry } = registryOver(term);
    registry.add(workerHeardAt(500_000));
    const raised = { fencingToken: 12, term };
    assert.equal(registry.leaseOverAt(HOST, raised), leaseOverAt(500_000, LEASE_MS));
  });

  it('proves no lease over by having been forgotten', () => {
    const term = { startRevision: 5, at: 1000 };
    const { registry } = registryOver(term);
    registry.add(workerHeardAt(500_000));
    registry.forget(HOST);
    assert.equal(registry.has(HOST), false);
    assert.equal(registry.leaseOverAt(HOST, { fencingToken: 5, term }), leaseOverAt(500_000, LEASE_MS));
  });

  it('takes nothing in for a partition that is not owned', () => {
    const { owned, registry } = registryOver({ startRevision: 5, at: 1000 });
    owned.term = undefined;
    registry.add(workerHeardAt(500_000));
    assert.deepEqual([...registry.values()], []);
  });
});
