import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { Cluster } from '../../testing/cluster.js';
import { jobOf } from '../../testing/fixtures.js';

const NODES = 3;
const FAULT_WINDOW_MS = 20_000;
const RECOVERY_MS = 40_000;
/** Fixed, so that CI always runs the same schedules; `STANDBY_SEED` selects others. */
const SEED = Number(process.env.STANDBY_SEED ?? '27');
/** Number of schedules; to run more: `STANDBY_SCHEDULES=200 node --test target/test/test/leadership/standby-schedules.test.js`. */
const SCHEDULES = Number(process.env.STANDBY_SCHEDULES ?? '12');

interface Fault {
  kind: 'kill' | 'freeze' | 'stop' | 'no store' | 'no peers' | 'late';
  atMs: number;
  forMs: number;
}
/** A fault of the current leader, or of the node with the given number. */
type Step = Fault & { node: 'leader' | number };

const step: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom('kill' as const, 'freeze' as const, 'stop' as const, 'no store' as const, 'no peers', 'late'),
  node: fc.oneof(fc.constant('leader' as const), fc.nat(NODES - 1)),
  atMs: fc.nat(FAULT_WINDOW_MS),
  forMs: fc.constantFrom(200, 1500, 3200, 6000, 9000),
});

function inject(cluster: Cluster, { kind, node, forMs }: Step): void {
  const index = node === 'leader' ? (cluster.leader() ?? 0) : node;
  const name = `n${index}`;
  const isStopped = !cluster.isUp(index);
  const startUnlessRunning = () => {
    if (!cluster.isUp(index)) cluster.start(index);
  };
  const restart = () => cluster.clock.after(forMs, startUnlessRunning);
  switch (kind) {
    case 'kill':
      if (isStopped) return;
      cluster.crash(index);
      return void restart();
    case 'stop':
      if (isStopped) return;
      void cluster.terminate(index).then(restart);
      return;
    case 'freeze':
      return cluster.freeze(index, forMs);
    case 'no store':
      return void cluster.clock.after(forMs, cluster.network.addFault({ from: name, to: 'store:1', kind: 'lose' }));
    case 'no peers':
      return void cluster.clock.after(forMs, cluster.network.holdMessages({ from: name, path: /^$/ }));
    case 'late': {
      const heal = cluster.network.addFault({ from: name, path: /^\/(txn|commands|rentals)/, kind: 'late' });
      cluster.clock.after(forMs, heal);
    }
  }
}

async function runSchedule(steps: readonly Step[]): Promise<string[]> {
  const cluster = new Cluster({
    nodes: NODES,
    teams: [{ name: 'red', cpus_max: 24 }],
    standby: { enabled: true, follow: true },
    bootMs: 3000,
    runMs: 4000,
  });
  for (let n = 0; n < 5; n++)
    cluster.addWorker({ machineId: `i-00000${n}`, zone: ['a', 'b', 'c'][n % 3]!, runMs: 4000 });
  await cluster.advance(7000);
  for (let at = 0; at < FAULT_WINDOW_MS; at += 2000) {
    cluster.clock.after(at, () => {
      const gang = at % 4000 === 0 ? ({ kind: 'gang', priority: 'high' } as const) : ({ kind: 'array' } as const);
      void cluster.users.submit(jobOf({ id: `j-${String(at).padStart(6, '0')}`, taskCount: 2, ...gang }));
    });
  }
  for (const each of steps) cluster.clock.after(each.atMs, () => inject(cluster, each));
  await cluster.advance(FAULT_WINDOW_MS + 10_000);
  cluster.checker.faultsEnded(cluster.clock.now());
  await cluster.advance(RECOVERY_MS);
  const violations = cluster.stopAndCheck();
  return cluster.leader() === undefined ? [...violations, 'no node leads'] : violations;
}

describe('crashes, freezes, shutdowns, network cuts and delays of controllers in random order', () => {
  it('violate no invariant, and leave the cluster with a leader', async () => {
    await fc.assert(
      fc.asyncProperty(fc.array(step, { minLength: 1, maxLength: 6 }), async (steps) => {
        assert.deepEqual(await runSchedule(steps), []);
      }),
      { seed: SEED, numRuns: SCHEDULES, endOnFailure: true },
    );
  });
});
