import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import { C8, type ClusterOptions } from '../../testing/fixtures.js';
import { decodeJobStatus } from '../../testing/job-status-wire-codec.js';

let cluster: Cluster | undefined;
afterEach(() => {
  const violations = cluster?.stopAndCheck() ?? [];
  cluster = undefined;
  assert.deepEqual(violations, []);
});

const C64 = { ...C8, cpus: 64, memoryGb: 128 };
const SMALL_TASK = { cpus: 0.04, memoryGb: 0.06 };

async function startCluster(options: ClusterOptions): Promise<Cluster> {
  cluster = new Cluster({ teams: [{ name: 'red' }], machineTypes: [C64], nodes: 3, bootMs: 10_000, ...options });
  cluster.addWorker({ machineId: 'i-000001', runMs: options.runMs! });
  await cluster.advance(6000);
  return cluster;
}

const statusOf = async (jobId: string) => decodeJobStatus((await cluster!.poll(jobId)).body);

/** A worker whose tasks don't fit into one report lost its lease with all of them, and so did the machines after it. */
describe('many small tasks that one machine has the resources for', () => {
  it('are placed on as many machines as can report them, and complete', async () => {
    await startCluster({ runMs: 25_000 });
    await cluster!.submit({ id: 'j-small', taskCount: 1600, ...SMALL_TASK });
    await cluster!.advance(75_000);
    assert.equal((await statusOf('j-small')).state, 'done');
    assert.ok(cluster!.workers.has('i-000001'), 'the machine is never taken for dead');
  });

  it('get all machines that they need at once', async () => {
    await startCluster({ runMs: 60_000, bootMs: 15_000 });
    await cluster!.submit({ id: 'j-small', taskCount: 1600, ...SMALL_TASK });
    await cluster!.advance(30_000);
    assert.equal((await statusOf('j-small')).running, 1600);
  });

  it('get no more machines than their team may use', async () => {
    await startCluster({ runMs: 60_000, bootMs: 5000, teams: [{ name: 'red', cpus_max: 40 }] });
    await cluster!.submit({ id: 'j-small', taskCount: 5000, ...SMALL_TASK });
    await cluster!.advance(40_000);
    assert.equal((await statusOf('j-small')).running, 1000);
    // Two have space for these; all 5,000 tasks would need nine.
    assert.ok(cluster!.workers.size <= 3, `${cluster!.workers.size} machines`);
  });

  it('complete when they end faster than their exits are forgotten', async () => {
    await startCluster({ runMs: 1000, nodes: 1 });
    await cluster!.submit({ id: 'j-short', taskCount: 2000, ...SMALL_TASK, estimatedRunS: 1 });
    await cluster!.advance(75_000);
    assert.equal((await statusOf('j-short')).state, 'done');
    assert.ok(cluster!.workers.has('i-000001'), 'the machine is never taken for dead');
  });

  it('of several services and with long names run at the same time', async () => {
    await startCluster({ runMs: 25_000 });
    for (const name of ['a', 'b', 'c']) {
      const id = `j-${name.repeat(100)}`;
      await cluster!.submit({ id, kind: 'service', taskCount: 250, ...SMALL_TASK });
    }
    await cluster!.advance(45_000);
    for (const name of ['a', 'b', 'c']) {
      const { running } = await statusOf(`j-${name.repeat(100)}`);
      assert.equal(running, 250);
    }
  });
});
