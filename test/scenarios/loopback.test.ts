import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { existsSync } from 'node:fs';
import { before, describe, it } from 'node:test';

import { LoopbackCluster } from '../../testing/loopback-cluster.js';
import { type LoopbackLoss, loseLeader, submitUntil } from '../../testing/loopback-takeover.js';

/** Waits for events only, without time limits of its own; `npm run takeovers-loopback` measures how long they take. */
describe('controllers in processes of their own on the loopback interface', () => {
  before(() => {
    if (!existsSync('target/dewlatch.blob')) execFileSync('npm', ['run', '--silent', 'build']);
  });

  it('place no task twice when the leader is killed, when it is suspended and resumed, and when it is terminated', async () => {
    const cluster = new LoopbackCluster({ nodes: 3, machines: 6, tuning: 'deploy/all-on.toml', runMs: 1000 });
    const load = new AbortController();
    let violations: string[];
    try {
      await cluster.start();
      void submitUntil(cluster, 300, load.signal);
      for (const loss of ['kill', 'freeze', 'terminate'] satisfies LoopbackLoss[]) await loseLeader(cluster, loss);
    } finally {
      load.abort();
      violations = cluster.stop();
    }
    assert.deepEqual(violations, []);
  });
});
