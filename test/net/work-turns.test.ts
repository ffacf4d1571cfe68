import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ApiServer } from '../../src/api/api-server.js';
import { Invariants } from '../../src/logging/invariants.js';
import { RefusalLog } from '../../src/logging/refusal-log.js';
import { parseAddress } from '../../src/net/address.js';
import { systemClock } from '../../src/net/clock.js';
import { WorkTurns } from '../../src/net/work-turns.js';
import { noLog } from '../../testing/fixtures.js';
import { KeepAliveConnection } from '../../testing/keep-alive-connection.js';
import { freeAddress } from '../../testing/loopback-server.js';

/** The load balancer's time limit of a health check. */
const HEALTH_CHECK_MS = 1000;
const TIMEOUT_MS = 10_000;
const MAX_SOCKETS = 2000;
const QUERIES = 80;
/** Processor time of one query. */
const QUERY_MS = 5;

function keepBusy(ms: number): void {
  const endsAt = systemClock.now() + ms;
  while (systemClock.now() < endsAt);
}

describe('health checks', () => {
  it('are answered in time while long work takes turns with many new connections', async () => {
    const stop = new AbortController();
    const unexpected = () => assert.fail('unexpected request');
    const poll = async () => {
      keepBusy(QUERY_MS);
      return { status: 200, body: {} };
    };
    const answer = () => ({ status: 200, body: {} });
    const handlers = {
      ...{ submit: unexpected, cancel: unexpected },
      ...{ poll, answerHeartbeat: answer, answerHealthCheck: answer },
    };
    const server = new ApiServer(handlers, noLog, new RefusalLog(() => 0, noLog), MAX_SOCKETS);
    const address = await freeAddress();
    const { host, port } = parseAddress(address);
    await server.listen(host, port, stop.signal);
    const statusOf = async (path: string, timeoutMs: number): Promise<number | undefined> => {
      const connection = new KeepAliveConnection();
      const reply = await connection.send({ address, method: 'GET', path, timeoutMs });
      connection.close();
      return reply?.status;
    };
    const turns = new WorkTurns({ work: 'plan', clock: systemClock, invariants: new Invariants(noLog) });
    const work = async (): Promise<void> => {
      turns.begin();
      while (!stop.signal.aborted) {
        keepBusy(1);
        if (turns.isOver) await turns.next();
      }
    };
    const working = work();
    const queries = Array.from({ length: QUERIES }, () => statusOf('/v1/jobs/j-1', TIMEOUT_MS));
    const probe = await statusOf('/up', HEALTH_CHECK_MS);
    await Promise.all(queries);
    stop.abort();
    await working;
    assert.equal(probe, 200);
  });
});
