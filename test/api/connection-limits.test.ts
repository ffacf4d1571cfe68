import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { ApiServer } from '../../src/api/api-server.js';
import { RefusalLog } from '../../src/logging/refusal-log.js';
import { parseAddress } from '../../src/net/address.js';
import { noLog } from '../../testing/fixtures.js';
import { KeepAliveConnection } from '../../testing/keep-alive-connection.js';
import { freeAddress } from '../../testing/loopback-server.js';

const MAX_SOCKETS = 40;
const TIMEOUT_MS = 4000;

async function startServer(signal: AbortSignal): Promise<string> {
  const unexpected = () => assert.fail('unexpected request');
  const handlers = {
    ...{ submit: unexpected, cancel: unexpected },
    poll: async () => ({ status: 200, body: {} }),
    answerHeartbeat: () => ({ status: 200, body: {} }),
    answerHealthCheck: () => ({ status: 200, body: {} }),
  };
  const server = new ApiServer(handlers, noLog, new RefusalLog(() => 0, noLog), MAX_SOCKETS);
  const address = await freeAddress();
  const { host, port } = parseAddress(address);
  await server.listen(host, port, signal);
  return address;
}

describe('connections of workers', () => {
  it('do not keep users and health checks out when there are more workers than sockets', async () => {
    const stop = new AbortController();
    const address = await startServer(stop.signal);
    const connections: KeepAliveConnection[] = [];
    const statusOf = async (method: 'GET' | 'POST', path: string): Promise<number | undefined> => {
      const connection = new KeepAliveConnection();
      connections.push(connection);
      const body = method === 'POST' ? {} : undefined;
      return (await connection.send({ address, method, path, body, timeoutMs: TIMEOUT_MS }))?.status;
    };
    const heartbeats: (number | undefined)[] = [];
    for (let n = 0; n < 2 * MAX_SOCKETS; n++) heartbeats.push(await statusOf('POST', '/hello'));
    const query = await statusOf('GET', '/v1/jobs/j-1');
    const probe = await statusOf('GET', '/up');
    for (const connection of connections) connection.close();
    stop.abort();
    assert.deepEqual([query, probe], [200, 200]);
    assert.deepEqual(new Set(heartbeats), new Set([200]));
  });
});
