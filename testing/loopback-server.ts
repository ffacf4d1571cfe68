/** Serves a fake over HTTP on the loopback interface, with the handlers that the in-memory network also calls. */
import { createServer, type IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { HttpResponse } from '../src/net/http-client.js';

export type LoopbackHandler = (method: string, path: string, body: unknown) => Promise<HttpResponse> | HttpResponse;

async function readBody(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : (JSON.parse(text) as unknown);
}

export class LoopbackServer {
  private readonly server;

  constructor(handler: LoopbackHandler) {
    this.server = createServer((request, response) => {
      void readBody(request)
        .then((body) => handler(request.method ?? 'GET', request.url ?? '/', body))
        .then(({ status, body }) => {
          response.writeHead(status, { 'Content-Type': 'application/json' });
          response.end(JSON.stringify(body ?? {}));
        })
        .catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  /** Listens on a free port and returns the address. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** An address on the loopback interface whose port is free at the moment. */
export async function freeAddress(): Promise<string> {
  const server = new LoopbackServer(() => ({ status: 404, body: {} }));
  const address = await server.listen();
  server.close();
  return address;
}
