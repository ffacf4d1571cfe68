/** Queries share the store with all other work of a controller, and are served before work that can wait. */
import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';

import { WATCH_WAIT_MS } from '../../src/constants/store.js';
import { Priority, TokenBucket } from '../../src/net/token-bucket.js';
import { Cluster } from '../../testing/cluster.js';
import { FakeClock } from '../../testing/fake-clock.js';
import { countComparisons, countReads } from '../../testing/store-reads.js';

const SMALL_TRANSACTIONS = { rps: 250, write_rps: 400, value_kb: 4, txn_ops: 4 };
/** With four changes a transaction has at most sixteen conditions, which compare eight jobs. */
const JOBS = 40;

describe('queries', () => {
  let cluster: Cluster;
  afterEach(() => assert.deepEqual(cluster.stopAndCheck(), []));

  async function startWithJobs(): Promise<string[]> {
    cluster = new Cluster({ nodes: 2, cluster: { state: SMALL_TRANSACTIONS }, teams: [{ name: 'red' }] });
    cluster.addWorker({ machineId: 'i-a', zone: 'a', runMs: 1_000_000 });
    await cluster.advance(6000);
    const jobIds = Array.from({ length: JOBS }, (_, index) => `j-${100_000 + index}`);
    for (const id of jobIds) assert.equal((await cluster.submit({ id, cpus: 0.1 })).status, 201);
    await cluster.advance(5000);
    return jobIds;
  }

  /** Requests that the node sends to read from the store in the time in which queries are answered, without any query. */
  const countIdleReads = (): Promise<number> => countReads(cluster, 1, () => cluster.advance(1990));

  it('cost one request to the store for all jobs that are asked about at the same time', async () => {
    const jobIds = await startWithJobs();
    cluster.network.addFault({ from: 'n1', to: 'store:1', path: new RegExp(`WaitMs=${WATCH_WAIT_MS}`), kind: 'lose' });
    for (const link of ['n0>n1', 'n1>n0']) cluster.partitioned.add(link);
    await cluster.advance(WATCH_WAIT_MS);
    const idleReads = await countIdleReads();
    const statuses = new Set<number>();
    const reads = await countReads(cluster, 1, async () => {
      const answers = jobIds.map((jobId) => cluster.requestStatus(jobId, 1));
      await cluster.advance(1990);
      for (const answer of answers) statuses.add((await answer).status);
    });
    assert.deepEqual(statuses, new Set([200]));
    assert.ok(reads <= idleReads + 1, `${reads} reads, ${idleReads} without queries`);
  });

  it('cost no request if their users leave before it is sent', async () => {
    const [jobId] = await startWithJobs();
    const userLeft = new AbortController();
    const comparisons = await countComparisons(cluster, 1, async () => {
      const answer = cluster.node(1).jobs.poll(jobId!, userLeft.signal);
      userLeft.abort();
      await cluster.advance(1990);
      assert.equal((await answer).status, 503);
    });
    assert.equal(comparisons, 0);
  });
});

describe('reads for queries', () => {
  it('do not wait for exits and starts of batch tasks that wait for tokens', async () => {
    const clock = new FakeClock();
    const bucket = new TokenBucket(clock, 10, 10, 10);
    for (let n = 0; n < 200; n++) void bucket.take(1, n % 2 === 0 ? Priority.record : Priority.background);
    await clock.advance(1000);
    let waitedMs = Infinity;
    const startedAt = clock.now();
    void bucket.take(1, Priority.read).then(() => (waitedMs = clock.now() - startedAt));
    await clock.advance(2000);
    assert.ok(waitedMs <= 200, `${waitedMs} ms`);
  });

  it('do not pause for the time after a 429 for which batch work pauses', async () => {
    const clock = new FakeClock();
    const bucket = new TokenBucket(clock, 10, 10, 10);
    bucket.backOff(5000, Priority.background);
    let isGranted = false;
    void bucket.take(1, Priority.read).then(() => (isGranted = true));
    await clock.advance(1);
    assert.ok(isGranted);
  });
});
