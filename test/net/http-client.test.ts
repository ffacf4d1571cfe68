import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { NodeHttpClient } from '../../src/net/http-client.js';

const MAX_SOCKETS = 12;
const WORKERS = 3 * MAX_SOCKETS;
const OPTIONS = { timeoutMs: 2000, connectMs: 2000 };

let server: Server;
let client: NodeHttpClient;
let port: number;
beforeEach(async () => {
  server = createServer((request, response) => {
    // A worker that hangs: its caller waits until its own time limit.
    if (request.url !== '/hang') response.end('{}');
  });
  server.keepAliveTimeout = 60_000;
  await new Promise<void>((resolve) => server.listen(0, '0.0.0.0', resolve));
  ({ port } = server.address() as AddressInfo);
  client = new NodeHttpClient({ maxSockets: MAX_SOCKETS, essentialAddresses: [`127.0.0.1:${port}`] });
});
afterEach(() => {
  client.close();
  server.close();
  server.closeAllConnections();
});

const workerAddress = (index: number): string => `127.66.0.${index + 1}:${port}`;
const callWorkers = (path: string) =>
  Promise.all(
    Array.from({ length: WORKERS }, (_, index) =>
      client.call(workerAddress(index), 'POST', path, {}, OPTIONS).then(
        () => true,
        () => false,
      ),
    ),
  );

describe('the HTTP client', () => {
  it('reaches the store while idle connections to more workers than sockets are kept', async () => {
    await callWorkers('/commands');
    const { status } = await client.call(`127.0.0.1:${port}`, 'GET', '/store', undefined, OPTIONS);
    assert.equal(status, 200);
  });

  it('reaches the store while more workers than sockets hang', async () => {
    const calls = callWorkers('/hang');
    const { status } = await client.call(`127.0.0.1:${port}`, 'GET', '/store', undefined, OPTIONS);
    assert.equal(status, 200);
    await calls;
  });

  it('reaches more workers than sockets, one after the other', async () => {
    const answered: boolean[] = [];
    for (let index = 0; index < WORKERS; index++) {
      const call = client.call(workerAddress(index), 'POST', '/commands', {}, OPTIONS);
      answered.push(
        await call.then(
          () => true,
          () => false,
        ),
      );
    }
    assert.deepEqual(new Set(answered), new Set([true]));
  });
});
