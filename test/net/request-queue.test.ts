import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { ApiServer } from '../../src/api/api-server.js';
import { Invariants } from '../../src/logging/invariants.js';
import { RefusalLog } from '../../src/logging/refusal-log.js';
import { parseAddress } from '../../src/net/address.js';
import { systemClock } from '../../src/net/clock.js';
import { RequestQueue } from '../../src/net/request-queue.js';
import { WorkTurns } from '../../src/net/work-turns.js';
import { noLog } from '../../testing/fixtures.js';
import { KeepAliveConnection } from '../../testing/keep-alive-connection.js';
import { freeAddress } from '../../testing/loopback-server.js';

/** The load balancer's time limit of a health check. */
const HEALTH_CHECK_MS = 1000;
const TIMEOUT_MS = 10_000;
/** Queries that take longer together than their users wait. */
const OVERLOAD_QUERIES = 200;
const OVERLOAD_QUERY_MS = 20;
const OVERLOAD_TIMEOUT_MS = 1000;

function keepBusy(ms: number): void {
  const endsAt = systemClock.now() + ms;
  while (systemClock.now() < endsAt);
}

describe('health checks', () => {
  let stop: AbortController;
  let address: string;
  let requests: RequestQueue;
  let connections: KeepAliveConnection[];
  /** Processor time of one query. */
  let queryMs: number;

  beforeEach(async () => {
    stop = new AbortController();
    connections = [];
    requests = new RequestQueue(systemClock);
    const unexpected = () => assert.fail('unexpected request');
    const poll = async () => {
      keepBusy(queryMs);
      return { status: 200, body: {} };
    };
    const answer = () => ({ status: 200, body: {} });
    const server = new ApiServer(
      { submit: unexpected, cancel: unexpected, poll, answerHeartbeat: answer, answerHealthCheck: answer },
      {
        log: noLog,
        refusals: new RefusalLog(() => 0, noLog),
        requests,
        invariants: new Invariants(noLog),
        maxSockets: 2000,
      },
    );
    address = await freeAddress();
    const { host, port } = parseAddress(address);
    await server.listen(host, port, stop.signal);
  });

  afterEach(() => {
    for (const connection of connections) connection.close();
    stop.abort();
  });

  const statusOf = async (path: string, timeoutMs: number): Promise<number | undefined> => {
    const connection = new KeepAliveConnection();
    connections.push(connection);
    return (await connection.send({ address, method: 'GET', path, timeoutMs }))?.status;
  };

  /** Asks a health check after that many queries on connections of their own; returns both kinds of answers. */
  async function askAfterQueries(count: number): Promise<{ probe: number | undefined; queries: Set<unknown> }> {
    const queries = Array.from({ length: count }, () => statusOf('/v1/jobs/j-1', TIMEOUT_MS));
    const probe = await statusOf('/up', HEALTH_CHECK_MS);
    return { probe, queries: new Set(await Promise.all(queries)) };
  }

  it('are answered in time while long work takes turns with many new connections', async () => {
    queryMs = 5;
    assert.equal(await statusOf('/up', TIMEOUT_MS), 200);
    const turns = new WorkTurns({ work: 'plan', clock: systemClock, invariants: new Invariants(noLog), requests });
    let isOver = false;
    const work = async (): Promise<void> => {
      turns.begin();
      while (!isOver) {
        keepBusy(1);
        if (turns.isOver) await turns.next();
      }
    };
    const working = work();
    const { probe, queries } = await askAfterQueries(80);
    isOver = true;
    await working;
    assert.equal(probe, 200);
    assert.deepEqual(queries, new Set([200]));
  });

  it('do not wait for the queries of users who connected before', async () => {
    queryMs = 20;
    const { probe, queries } = await askAfterQueries(150);
    assert.equal(probe, 200);
    assert.deepEqual(queries, new Set([200]));
  });
});

describe('an overload', () => {
  it('is over when its cause is: users who left cost nothing more, and the next query is answered at once', async () => {
    const stop = new AbortController();
    const requests = new RequestQueue(systemClock);
    let handledCount = 0;
    const poll = async () => {
      handledCount++;
      keepBusy(OVERLOAD_QUERY_MS);
      return { status: 200, body: {} };
    };
    const unexpected = () => assert.fail('unexpected request');
    const handlers = {
      submit: unexpected,
      cancel: unexpected,
      answerHeartbeat: unexpected,
      answerHealthCheck: unexpected,
    };
    const server = new ApiServer(
      { ...handlers, poll },
      {
        ...{ log: noLog, refusals: new RefusalLog(() => 0, noLog), requests, invariants: new Invariants(noLog) },
        maxSockets: 2000,
      },
    );
    const address = await freeAddress();
    const { host, port } = parseAddress(address);
    await server.listen(host, port, stop.signal);
    const path = '/v1/jobs/j-1';
    const ask = async (timeoutMs: number) => {
      const connection = new KeepAliveConnection();
      const reply = await connection.send({ address, method: 'GET', path, timeoutMs });
      connection.close();
      return reply?.status;
    };
    const overload = await Promise.all(Array.from({ length: OVERLOAD_QUERIES }, () => ask(OVERLOAD_TIMEOUT_MS)));
    const status = await ask(HEALTH_CHECK_MS);
    stop.abort();
    assert.ok(overload.includes(undefined), 'some users left');
    assert.equal(status, 200);
    assert.ok(handledCount < OVERLOAD_QUERIES, `${handledCount} queries handled`);
  });
});

describe('requests that wait', () => {
  const nextIteration = () => new Promise((resolve) => setImmediate(resolve));

  it('are handled for users and workers in turn, whatever the burst of either', async () => {
    const requests = new RequestQueue(systemClock);
    const handled: string[] = [];
    for (let n = 0; n < 3; n++) requests.add('worker', () => handled.push('worker'));
    for (let n = 0; n < 2; n++) requests.add('user', () => handled.push('user'));
    await nextIteration();
    assert.deepEqual(handled, ['user', 'worker', 'user', 'worker', 'worker']);
  });

  it('are handled although connections are accepted in each iteration', async () => {
    const requests = new RequestQueue(systemClock);
    let isHandled = false;
    requests.add('worker', () => (isHandled = true));
    const endsAt = systemClock.now() + HEALTH_CHECK_MS;
    while (!isHandled && systemClock.now() < endsAt) {
      requests.connectionAccepted();
      await nextIteration();
    }
    assert.ok(isHandled);
  });

  it('leave time for long work although they never end', async () => {
    const requests = new RequestQueue(systemClock);
    let isOver = false;
    const addNext = (): void => {
      if (!isOver) requests.add('user', addNext);
    };
    requests.connectionAccepted();
    addNext();
    await requests.untilServed();
    isOver = true;
  });
});
