import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import type { FakeClock } from '../../testing/fake-clock.js';

const MACHINES = 40;
const SERVICES = 200;
/** Processor time of one look at a machine's type, so that placing one service takes some 20 ms. */
const LOOK_UP_MS = 0.25;
/** The load balancer's time limit of a health check. */
const PROBE_TIMEOUT_MS = 1000;
const TIMER_PERIOD_MS = 50;

let cluster: Cluster | undefined;
afterEach(() => {
  const violations = cluster?.stopAndCheck() ?? [];
  cluster = undefined;
  assert.deepEqual(violations, []);
});

/** Makes each look at a machine's type take processor time. */
function slowDownPlanning({ clock }: Cluster, catalog: Map<string, unknown>): void {
  const get = catalog.get.bind(catalog);
  catalog.get = (name) => {
    clock.spend(LOOK_UP_MS);
    return get(name);
  };
}

/** Returns a function that tells by how much the latest timers fired late at most: requests wait as long. */
function measureDelay(clock: FakeClock, signal: AbortSignal): () => number {
  let longestMs = 0;
  const run = async (): Promise<void> => {
    while (!signal.aborted) {
      const dueAt = clock.now() + TIMER_PERIOD_MS;
      await clock.sleep(TIMER_PERIOD_MS);
      longestMs = Math.max(longestMs, clock.now() - dueAt);
    }
  };
  void run();
  return () => longestMs;
}

describe('a plan with hundreds of queued services', () => {
  it('does not keep health checks and queries waiting for longer than the load balancer waits', async () => {
    cluster = new Cluster({ nodes: 1, teams: [{ name: 'red' }] });
    await cluster.advance(5000);
    for (let n = 0; n < SERVICES; n++) {
      const resources = { cpus: 0.25, memoryGb: 0.1 };
      const id = `j-svc${n}`;
      const { status } = await cluster.submit({ id, kind: 'service', priority: 'prod', taskCount: 2, ...resources });
      assert.equal(status, 201);
    }
    const stop = new AbortController();
    const longestDelayMs = measureDelay(cluster.clock, stop.signal);
    slowDownPlanning(cluster, cluster.anyNode().inventory.catalog);
    for (let n = 0; n < MACHINES; n++) cluster.addWorker({ machineId: `i-${String(n).padStart(6, '0')}` });
    await cluster.advance(60_000);
    stop.abort();
    const started = [...cluster.workers.values()].reduce((sum, worker) => sum + worker.tasks.size, 0);
    assert.equal(started, SERVICES * 2);
    assert.ok(longestDelayMs() < PROBE_TIMEOUT_MS, `a timer fired ${longestDelayMs()} ms late`);
  });
});
