import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { MAX_REPORTED_TASKS_BYTES } from '../../src/constants/worker-report.js';
import type { PlacedTask } from '../../src/records/cluster-state.js';
import {
  SurplusPlacementEvictor,
  type SurplusPlacementEvictorDependencies,
} from '../../src/workers/surplus-placement-evictor.js';
import { Worker } from '../../src/workers/worker.js';
import { noLog, specOf } from '../../testing/fixtures.js';

const MACHINE_ID = 'i-000001';
const running = { attempt: 1, state: 'running' as const, exitReason: null, isCheckpointed: false };

/** A machine with `placedCount` placed tasks, of which the worker reports the first `reportedCount`. */
function createMachine(placedCount: number, reportedCount: number, kind: 'service' | 'gang' = 'service') {
  const spec = specOf({ id: 'j-000001', kind, taskCount: placedCount });
  const placed = Array.from({ length: placedCount }, (_, taskIndex) => ({
    ...{ jobId: spec.id, taskIndex },
    placement: { kind: 'placed', machineId: MACHINE_ID, attempt: 1, agentEpoch: 1, gracePeriodS: null },
  })) as unknown as PlacedTask[];
  const worker = new Worker(MACHINE_ID);
  worker.agentEpoch = 1;
  for (let index = 0; index < reportedCount; index++) worker.tasks.set(`${spec.id}/${index}`, running);
  let evictionCount = 0;
  const dependencies = {
    leadership: { hasRecentStoreContact: true },
    clusterState: {
      usedResourcesOn: () => ({ reportBytes: placedCount * spec.reportBytes }),
      tasksOn: () => placed,
      jobs: new Map([[spec.id, { record: { spec } }]]),
    },
    transactions: {
      commit: () => {
        evictionCount++;
        return new Promise(() => undefined);
      },
    },
    log: noLog,
  };
  const evictor = new SurplusPlacementEvictor(dependencies as unknown as SurplusPlacementEvictorDependencies);
  const evict = (): number => {
    evictionCount = 0;
    evictor.evict([worker], () => 'partition-0');
    return evictionCount;
  };
  return { evict, worker, space: Math.floor(MAX_REPORTED_TASKS_BYTES / spec.reportBytes) };
}

describe('a machine with more placed tasks than its report can name', () => {
  it('loses as many of the tasks that were never launched as are too many, once', () => {
    const { space } = createMachine(1, 0);
    const { evict } = createMachine(space + 10, space);
    assert.equal(evict(), 10);
    assert.equal(evict(), 0, 'evictions that are being recorded are not requested again');
  });

  it('keeps tasks that run or may have been launched', () => {
    const { space } = createMachine(1, 0);
    assert.equal(createMachine(space + 10, space + 10).evict(), 0);
    const { evict, worker } = createMachine(space + 2, space);
    worker.launches.recordRequest({ taskId: `j-000001/${space}`, attempt: 1 }, 1);
    assert.equal(evict(), 1);
  });

  it('leaves gangs to their own timeout, and usual machines alone', () => {
    const { space } = createMachine(1, 0);
    assert.equal(createMachine(space + 10, space, 'gang').evict(), 0);
    assert.equal(createMachine(64, 0).evict(), 0);
  });
});
