import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { DEFAULT_STANDBY_SETTINGS } from '@dewlatch/standby';

import { decodeTuning } from '../../src/config/settings-file-codec.js';
import { DEFAULT_TUNING } from '../../src/constants/scheduling.js';
import type { MachineInventory } from '../../src/inventory/machine-inventory.js';
import type { RoleLeadership } from '../../src/leadership/role-leadership.js';
import { Invariants } from '../../src/logging/invariants.js';
import { Random } from '../../src/net/random.js';
import type { ClusterState } from '../../src/records/cluster-state.js';
import { Happiness } from '../../src/scheduling/decisions/happiness.js';
import type { PlacementPlanner } from '../../src/scheduling/placement-planner.js';
import { Rescheduler } from '../../src/scheduling/rescheduler.js';
import type { TransactionBatcher } from '../../src/store/transaction-batcher.js';
import { FakeClock } from '../../testing/fake-clock.js';
import { noLog } from '../../testing/fixtures.js';

describe('rescheduler', () => {
  it('skips re-matching while more service tasks are unplaced than one round moves', async () => {
    const clock = new FakeClock();
    const stop = new AbortController();
    let placedCount = 1;
    let inventoryReadCount = 0;
    const record = { spec: { kind: 'service', taskCount: 5 }, state: 'active' };
    const jobs = { values: () => [{ record, placedCount }] };
    const readMachines = () => {
      inventoryReadCount++;
      return new Map();
    };
    const inventory = { machines: readMachines, isSchedulable: () => true };
    const rescheduler = new Rescheduler({
      tuning: decodeTuning({ ...DEFAULT_TUNING, standby: DEFAULT_STANDBY_SETTINGS }),
      leadership: {
        hasRecentStoreContact: true,
        ledPartitions: () => [0],
        partitionOf: () => 0,
      } as unknown as RoleLeadership,
      clusterState: { jobs, tasksOn: () => [] } as unknown as ClusterState,
      inventory: inventory as unknown as MachineInventory,
      planner: {} as unknown as PlacementPlanner,
      transactions: {} as unknown as TransactionBatcher,
      happiness: new Happiness(30_000),
      clock,
      random: new Random(1),
      invariants: new Invariants(noLog),
      log: noLog,
    });
    void rescheduler.run(stop.signal);
    await clock.advance(60_000);
    assert.equal(inventoryReadCount, 0);
    placedCount = 4;
    await clock.advance(60_000);
    assert.ok(inventoryReadCount >= 4, `${inventoryReadCount} inventory reads with at most two unplaced`);
    stop.abort();
  });
});
