/* global setTimeout, clearTimeout, Buffer */
// HTTP for the stand-ins: a server on a free port of the loopback interface, and a client with keep-alive connections.
import { Agent, createServer, request as httpRequest } from 'node:http';

export const MAX_BODY_BYTES = 64 * 1024;

const readText = async (stream) => {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks).toString('utf8');
};

/** `handler` returns { status, body }, or undefined for no answer at all. */
export async function listen(handler, host = '127.0.0.1') {
  const server = createServer((request, response) => {
    void (async () => {
      const text = await readText(request);
      const reply = await handler(request.method, request.url, text === '' ? undefined : JSON.parse(text), text.length);
      if (reply === undefined) return;
      const body = JSON.stringify(reply.body ?? {});
      response.writeHead(reply.status, {
        'Content-Type': 'application/json',
        'Content-Length': Buffer.byteLength(body),
      });
      response.end(body);
    })().catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;
  server.requestTimeout = 0;
  await new Promise((resolve) => server.listen(0, host, resolve));
  return {
    address: `${host}:${server.address().port}`,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** A free port of the loopback interface, below the ports that the system gives to connections. */
export async function freeAddress(taken) {
  for (;;) {
    const port = 10_240 + Math.floor(Math.random() * 20_000);
    if (taken.has(port)) continue;
    taken.add(port);
    const isFree = await new Promise((resolve) => {
      const server = createServer();
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
    });
    if (isFree) return `127.0.0.1:${port}`;
  }
}

/** One client with a connection of its own. `request` resolves to { status, body }; status 0: no answer in time. */
export class Client {
  constructor() {
    this.agent = new Agent({ keepAlive: true, maxSockets: 1 });
  }

  request(address, method, path, body, timeoutMs) {
    const [host, port] = address.split(':');
    const payload = body === undefined ? undefined : JSON.stringify(body);
    const headers =
      payload === undefined ? {} : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(payload) };
    return new Promise((resolve) => {
      const call = httpRequest({ agent: this.agent, host, port, method, path, headers });
      const finish = (reply) => {
        clearTimeout(timer);
        resolve(reply);
      };
      const timer = setTimeout(() => {
        finish({ status: 0, body: undefined });
        call.destroy();
      }, timeoutMs);
      call.on('error', () => finish({ status: 0, body: undefined }));
      call.on('response', (response) => {
        readText(response).then(
          (text) => finish({ status: response.statusCode, body: text === '' ? undefined : JSON.parse(text) }),
          () => finish({ status: 0, body: undefined }),
        );
      });
      call.end(payload);
    });
  }

  close() {
    this.agent.destroy();
  }
}
