import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { Invariants } from '../../src/logging/invariants.js';
import { checkLaunchesRuledOut } from '../../src/workers/launch-invariant.js';
import type { ReconciliationPlan } from '../../src/workers/reconciliation.js';
import { Worker } from '../../src/workers/worker.js';
import type { WorkerCommand } from '../../src/workers/worker-wire-codec.js';
import { noLog } from '../../testing/fixtures.js';

const FENCING_TOKEN = 7;
const FIRST_ATTEMPT = { taskId: 'j-000001/0', attempt: 1 };

/** A worker to which a launch of the first attempt was sent, and answered, under the token. */
function launchedWorker(): Worker {
  const worker = new Worker('i-000001');
  worker.launches.recordRequest(FIRST_ATTEMPT, FENCING_TOKEN);
  worker.launches.markAnswered(FIRST_ATTEMPT, FENCING_TOKEN);
  return worker;
}

function violationsOf(plan: Partial<ReconciliationPlan>, fencingToken: number): number {
  const invariants = new Invariants(noLog);
  const none = { commands: [], releases: [], needsNewToken: false, keptExitCount: 0, heldLaunchCount: 0 };
  const complete: ReconciliationPlan = { ...none, ...plan };
  checkLaunchesRuledOut(launchedWorker(), complete, { fencingToken, invariants });
  return Object.values(invariants.takeCounts()).reduce((sum, count) => sum + count, 0);
}

describe('the check of commands and releases at run time', () => {
  const unsafe: WorkerCommand[] = [
    { kind: 'forget', ...FIRST_ATTEMPT },
    { kind: 'launch', ...FIRST_ATTEMPT, attempt: 2 },
  ];
  for (const command of unsafe) {
    it(`reports a ${command.kind} under the token of a launch that may arrive again`, () => {
      assert.equal(violationsOf({ commands: [command] }, FENCING_TOKEN), 1);
      assert.equal(violationsOf({ commands: [command] }, FENCING_TOKEN + 1), 0);
    });
  }

  it('reports a release because of an absence that a copy of the launch may end', () => {
    const placement = { kind: 'placed', attempt: 1, failures: 0, machineId: 'i-000001', agentEpoch: 0 } as const;
    const placedTask = { jobId: 'j-000001', taskIndex: 0, placement: { ...placement, gracePeriodS: null, zone: 'a' } };
    const proof = { kind: 'exited', attempt: 1, agentEpoch: 0 } as const;
    const releases = [{ placedTask, proof, ending: 'lost' as const, task: undefined }];
    assert.equal(violationsOf({ releases }, FENCING_TOKEN), 1);
  });

  it('accepts a repeated launch and a kill', () => {
    const commands: WorkerCommand[] = [
      { kind: 'launch', ...FIRST_ATTEMPT },
      { kind: 'kill', ...FIRST_ATTEMPT, gracePeriodS: 0 },
    ];
    assert.equal(violationsOf({ commands }, FENCING_TOKEN), 0);
  });
});
