/** One HTTP client with at most one connection, as each user and each worker has. */
import { Agent, type ClientRequest, type IncomingMessage, request } from 'node:http';

import { parseAddress } from '../src/net/address.js';
import type { HttpResponse } from '../src/net/http-client.js';

/** A request with its time limits. */
export interface ConnectionRequest {
  address: string;
  method: 'GET' | 'POST';
  path: string;
  body?: unknown;
  timeoutMs: number;
}

/** Why a request got no response: no connection was established, it was closed before the response, or the time was over. */
export type ConnectionFailure = 'not_connected' | 'closed' | 'timeout';

/** Keeps its connection open between requests, and closes it after a request without a response. */
export class KeepAliveConnection {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });
  private readonly inFlight = new Set<ClientRequest>();
  private isClosed = false;
  /** Why the last request without a response got none. */
  lastFailure: ConnectionFailure | undefined;

  /** `localAddress`: the loopback address that the connection comes from. */
  constructor(private readonly localAddress?: string) {}

  /** Returns undefined if there is no response in time, or none that can be read. */
  send({ address, method, path, body, timeoutMs }: ConnectionRequest): Promise<HttpResponse | undefined> {
    if (this.isClosed) return Promise.resolve(undefined);
    const payload = body === undefined ? undefined : JSON.stringify(body);
    return new Promise((resolve) => {
      const { agent, localAddress } = this;
      const headers: Record<string, string | number> =
        payload === undefined
          ? {}
          : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(payload) };
      const clientRequest = request({ agent, ...parseAddress(address), method, path, headers, localAddress });
      let isTimedOut = false;
      const timer = setTimeout(() => {
        isTimedOut = true;
        clientRequest.destroy();
      }, timeoutMs);
      this.inFlight.add(clientRequest);
      const finish = (response: HttpResponse | undefined): void => {
        clearTimeout(timer);
        if (!this.inFlight.has(clientRequest)) return;
        if (response === undefined) this.lastFailure = isTimedOut ? 'timeout' : failureOf(clientRequest);
        this.inFlight.delete(clientRequest);
        resolve(response);
      };
      clientRequest.on('error', () => finish(undefined));
      clientRequest.on('close', () => finish(undefined));
      clientRequest.on('response', (response) => readResponse(response, finish));
      clientRequest.end(payload);
    });
  }

  /** Closes the connection; requests in flight get no response. */
  close(): void {
    this.isClosed = true;
    for (const clientRequest of this.inFlight) clientRequest.destroy();
    this.agent.destroy();
  }
}

const failureOf = ({ socket }: ClientRequest): ConnectionFailure =>
  socket === null || socket.bytesWritten === 0 ? 'not_connected' : 'closed';

function readResponse(response: IncomingMessage, finish: (result: HttpResponse | undefined) => void): void {
  const chunks: Buffer[] = [];
  response.on('data', (chunk: Buffer) => chunks.push(chunk));
  response.on('error', () => finish(undefined));
  response.on('end', () => {
    const text = Buffer.concat(chunks).toString('utf8');
    try {
      finish({ status: response.statusCode ?? 0, body: text === '' ? undefined : JSON.parse(text) });
    } catch {
      finish(undefined);
    }
  });
}
