import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { Cluster } from '../../testing/cluster.js';
import { C8 } from '../../testing/fixtures.js';
import { decodeJobStatus } from '../../testing/job-status-wire-codec.js';

let cluster: Cluster | undefined;
afterEach(() => {
  const violations = cluster?.stopAndCheck() ?? [];
  cluster = undefined;
  assert.deepEqual(violations, []);
});

const NAMES = ['echipa platforma 00', 'a/b%20c', 'a\nb', 'x'.repeat(300), 'țară '.repeat(60)];

async function assertDone(jobId: string): Promise<void> {
  assert.equal(decodeJobStatus((await cluster!.poll(jobId)).body).state, 'done', jobId);
}

/** The store refuses keys with spaces, so the jobs of a team with such a name were accepted and never ran. */
describe('jobs run, whatever the name', () => {
  for (const [index, name] of NAMES.entries()) {
    it(`of their team: ${JSON.stringify(name).slice(0, 30)}`, async () => {
      // The names of the others must not read the same in the store.
      cluster = new Cluster({ nodes: 3, teams: NAMES.map((each) => ({ name: each, cpus: 2, cpus_max: 4 })) });
      cluster.addWorker({ machineId: 'i-000001', runMs: 2000 });
      await cluster.advance(6000);
      assert.equal((await cluster.submit({ id: `j-${index}`, team: name, taskCount: 3 })).status, 201);
      await cluster.advance(12_000);
      await assertDone(`j-${index}`);
    });

    it(`of their machine type and zone: ${JSON.stringify(name).slice(0, 30)}`, async () => {
      const machineTypes = [{ ...C8, name, zones: [name] }];
      cluster = new Cluster({ nodes: 3, teams: [{ name: 'red' }], machineTypes });
      cluster.addWorker({ machineId: 'i-000001', machineType: name, zone: name, runMs: 2000 });
      await cluster.advance(8000);
      const answer = await cluster.submit({ id: 'j-one', zone: name, machineTypes: [name], taskCount: 3 });
      assert.equal(answer.status, 201, JSON.stringify(answer.body));
      await cluster.advance(12_000);
      await assertDone('j-one');
    });
  }
});
