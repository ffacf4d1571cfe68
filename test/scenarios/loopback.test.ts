import assert from 'node:assert/strict';
import { execFileSync } from 'node:child_process';
import { existsSync } from 'node:fs';
import { before, describe, it } from 'node:test';

import { LoopbackCluster } from '../../testing/loopback-cluster.js';
import { type LoopbackLoss, loseLeader, submitUntil } from '../../testing/loopback-takeover.js';

/** Waits on events only; how long they take is measured by `npm run takeovers-loopback`. */
describe('real processes on the loopback', () => {
  before(() => {
    if (!existsSync('target/dewlatch.blob')) execFileSync('npm', ['run', '--silent', 'build']);
  });

  it('place nothing twice when the leader is killed, stands still and goes on, and is told to stop', async () => {
    const cluster = new LoopbackCluster({ nodes: 3, machines: 6, tuning: 'deploy/all-on.toml', runMs: 1000 });
    const load = new AbortController();
    let broken: string[];
    try {
      await cluster.start();
      void submitUntil(cluster, 300, load.signal);
      for (const loss of ['kill', 'freeze', 'terminate'] satisfies LoopbackLoss[]) await loseLeader(cluster, loss);
    } finally {
      load.abort();
      broken = cluster.stop();
    }
    assert.deepEqual(broken, []);
  });
});
