/** Serves a fake over HTTP on the loopback interface, with the handlers that the in-memory network also calls. */
import { createServer, type IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { HttpResponse } from '../src/net/http-client.js';
import { parseJson, stringifyJson } from '../src/net/json.js';

export type LoopbackHandler = (method: string, path: string, body: unknown) => Promise<HttpResponse> | HttpResponse;

/** Reads a request's JSON body; undefined if it is empty. */
export async function readJsonBody(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : parseJson(text);
}

export class LoopbackServer {
  private readonly server;

  constructor(handler: LoopbackHandler) {
    this.server = createServer((request, response) => {
      void readJsonBody(request)
        .then((body) => handler(request.method ?? 'GET', request.url ?? '/', body))
        .then(({ status, body }) => {
          response.writeHead(status, { 'Content-Type': 'application/json' });
          response.end(stringifyJson(body ?? {}));
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

/** Ports below those that the system gives to connections, in a range of this process's own. */
const FIRST_PORT = 12_000;
const PORTS_PER_PROCESS = 64;
const PROCESS_RANGES = 300;
let nextPort = FIRST_PORT + (process.pid % PROCESS_RANGES) * PORTS_PER_PROCESS;

/** An address on the loopback interface whose port is free, and that no other address of this process has. */
export async function freeAddress(): Promise<string> {
  for (;;) {
    const port = nextPort++;
    if (await isFree(port)) return `127.0.0.1:${port}`;
  }
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once('error', () => resolve(false));
    server.listen(port, '127.0.0.1', () => server.close(() => resolve(true)));
  });
}
