import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { decodeSettings } from '../../src/config/settings-file-codec.js';
import type { MachineInfo } from '../../src/domain/machine-state.js';
import type { Resources } from '../../src/domain/resources.js';
import { Invariants } from '../../src/logging/invariants.js';
import type { PlacedTask } from '../../src/records/cluster-state.js';
import { Preemptor, type PreemptorDependencies } from '../../src/scheduling/preemptor.js';
import type { PendingTask } from '../../src/scheduling/task-placer.js';
import { FakeClock } from '../../testing/fake-clock.js';
import { noLog, settingsFileOf, specOf } from '../../testing/fixtures.js';

const MACHINES = 300;
/** Processor time of the search for one job, ms. */
const SEARCH_MS = 10;
/** The load balancer's time limit of a health check. */
const PROBE_TIMEOUT_MS = 1000;
const TIMER_PERIOD_MS = 50;
const ANYWHERE = { machineTypes: null, zone: null };

/** A cluster that is full of low-priority tasks, and as many urgent jobs that wait for room. */
function createFullCluster(clock: FakeClock): { preemptor: Preemptor; evicted: PlacedTask[] } {
  const names = Array.from({ length: MACHINES }, (_, index) => String(index));
  const low = names.map((name) => specOf({ id: `j-low${name}`, priority: 'low', cpus: 8, ...ANYWHERE }));
  const urgent = names.map((name) =>
    specOf({ id: `j-urgent${name}`, priority: 'prod', cpus: 8 - Number(name) / 1000, ...ANYWHERE }),
  );
  const machines = names.map((name) => ({
    ...{ machineId: `i-${name}`, machineType: 'c8', zone: 'a', isSpot: false, images: [] as string[] },
  })) as unknown as MachineInfo[];
  const viewOf = (spec: PendingTask['view']['record']['spec'], placedCount: number) =>
    ({
      jobId: spec.id,
      record: { spec, state: 'active' },
      placedCount,
      doneCount: 0,
      tasksPerZone: new Map(),
    }) as unknown;
  const jobs = new Map([
    ...low.map((spec) => [spec.id, viewOf(spec, 1)] as const),
    ...urgent.map((spec) => [spec.id, viewOf(spec, 0)] as const),
  ]);
  const tasksOn = (machineId: string): PlacedTask[] => [
    {
      ...{ jobId: `j-low${machineId.slice(2)}`, taskIndex: 0 },
      placement: { kind: 'placed', machineId, attempt: 1, gracePeriodS: null } as PlacedTask['placement'],
    },
  ];
  const evicted: PlacedTask[] = [];
  const dependencies = {
    settings: decodeSettings(settingsFileOf(0, 1)),
    clusterState: { jobs, tasksOn },
    inventory: { schedulableMachines: () => machines },
    planner: {
      unplaceableTasks: urgent.map((spec) => ({ view: jobs.get(spec.id), taskIndex: 0, placement: { failures: 0 } })),
      teamUsages: () => new Map(),
      freeResources: () =>
        new Map<string, Resources>(
          machines.map(({ machineId }) => [machineId, { cpus: 0, gpus: 0, memoryGb: 60, reportBytes: 60_000 }]),
        ),
    },
    evictionMarker: {
      isBeingEvicted: () => false,
      evict: (placedTask: PlacedTask) => {
        clock.spend(SEARCH_MS);
        evicted.push(placedTask);
      },
    },
    leadership: { isClusterLeader: true },
    invariants: new Invariants(noLog),
    clock,
  };
  return { preemptor: new Preemptor(dependencies as unknown as PreemptorDependencies), evicted };
}

describe('preemption for hundreds of urgent jobs', () => {
  it('does not keep health checks and queries waiting for longer than the load balancer waits', async () => {
    const clock = new FakeClock();
    const { preemptor, evicted } = createFullCluster(clock);
    let longestDelayMs = 0;
    const measure = async (): Promise<void> => {
      const dueAt = clock.now() + TIMER_PERIOD_MS;
      await clock.sleep(TIMER_PERIOD_MS);
      longestDelayMs = Math.max(longestDelayMs, clock.now() - dueAt);
      await measure();
    };
    void measure();
    void clock.sleep(10).then(() => preemptor.round());
    await clock.advance(10_000);
    assert.equal(evicted.length, MACHINES);
    assert.ok(longestDelayMs < PROBE_TIMEOUT_MS, `a timer fired ${longestDelayMs} ms late`);
  });
});
