import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { MAX_KEPT_EXITS, TOKEN_ADVANCE_PAUSE_MS } from '../../src/constants/leadership.js';
import type { RoleLeadership } from '../../src/leadership/role-leadership.js';
import { FencingTokenAdvancer, type TokenDemand } from '../../src/workers/fencing-token-advancer.js';
import { FakeClock } from '../../testing/fake-clock.js';

const LEASE_MS = 15_000;
const ROLE = 'part-0';

/** An advancer whose store accepts every advance at once. */
class AdvancerScenario {
  readonly clock = new FakeClock();
  hasStore = true;
  readonly advances: number[] = [];
  readonly pushedMachineIds: string[] = [];
  private fencingToken = 1;
  private readonly advancer: FencingTokenAdvancer;

  constructor() {
    const isStoreReached = (): boolean => this.hasStore;
    const leadership = {
      get hasRecentStoreContact() {
        return isStoreReached();
      },
      advanceFencingToken: () => {
        this.fencingToken++;
        this.advances.push(this.clock.now());
        return Promise.resolve();
      },
    } as unknown as RoleLeadership;
    this.advancer = new FencingTokenAdvancer({
      leadership,
      clock: this.clock,
      exitBatchingMs: LEASE_MS,
      pushCommands: (machineId) => this.pushedMachineIds.push(machineId),
    });
  }

  /** Repeats the demand with each heartbeat, once a second. */
  async demandFor(ms: number, fields: Partial<TokenDemand>): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 1000) {
      const held = { fencingToken: this.fencingToken, term: { startRevision: 1, acquiredAt: 0 } };
      const demand = { role: ROLE, held, machineId: 'i-000001', isUrgent: false, keptExitCount: 0, ...fields };
      this.advancer.request(demand);
      await this.clock.advance(1000);
    }
  }
}

describe('the advancer of fencing tokens', () => {
  it('advances once a lease while exits wait', async () => {
    const scenario = new AdvancerScenario();
    await scenario.demandFor(3 * LEASE_MS + 3000, { keptExitCount: 3 });
    assert.equal(scenario.advances.length, 3);
    assert.deepEqual(scenario.pushedMachineIds, []);
  });

  it('advances at once, but no more often than its pause, while a launch waits, and then sends the launch', async () => {
    const scenario = new AdvancerScenario();
    const startedAt = scenario.clock.now();
    await scenario.demandFor(TOKEN_ADVANCE_PAUSE_MS, { isUrgent: true });
    assert.deepEqual(scenario.advances, [startedAt]);
    assert.deepEqual(scenario.pushedMachineIds, ['i-000001']);
    await scenario.demandFor(2000, { isUrgent: true });
    assert.equal(scenario.advances.length, 2);
  });

  it('advances at once for as many exits as a worker may keep', async () => {
    const scenario = new AdvancerScenario();
    await scenario.demandFor(1000, { keptExitCount: MAX_KEPT_EXITS - 1 });
    assert.equal(scenario.advances.length, 0);
    await scenario.demandFor(1000, { keptExitCount: MAX_KEPT_EXITS });
    assert.equal(scenario.advances.length, 1);
  });

  it('does not advance without the store, and does as soon as it is back', async () => {
    const scenario = new AdvancerScenario();
    scenario.hasStore = false;
    await scenario.demandFor(2 * LEASE_MS, { keptExitCount: 3, isUrgent: true });
    assert.equal(scenario.advances.length, 0);
    scenario.hasStore = true;
    await scenario.demandFor(1000, { keptExitCount: 3 });
    assert.equal(scenario.advances.length, 1);
  });
});
