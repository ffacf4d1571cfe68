import { Agent, request } from 'node:http';

export interface Reply {
  status: number;
  body: unknown;
}

/** No usable answer. `sent` tells whether the request may have reached the other side, and may yet be carried out. */
export class NoResponseError extends Error {
  constructor(
    message: string,
    readonly wasSent: boolean,
  ) {
    super(message);
  }
}

export interface CallOptions {
  timeoutMs: number;
  connectMs?: number;
  signal?: AbortSignal;
}

/** The outside world as dewlatch sees it: JSON over HTTP/1.1. Tests put a fake network here. */
export interface HttpClient {
  call(address: string, method: string, path: string, body: unknown, options: CallOptions): Promise<Reply>;
}

/** Calls over Node's `http`, with kept connections, a bound on sockets and a limit on every wait. */
export class NodeHttpClient implements HttpClient {
  private readonly agent: Agent;

  constructor(maxSockets: number) {
    this.agent = new Agent({ keepAlive: true, maxSockets: 64, maxTotalSockets: maxSockets, maxFreeSockets: 4 });
  }

  close(): void {
    this.agent.destroy();
  }

  call(address: string, method: string, path: string, body: unknown, options: CallOptions): Promise<Reply> {
    const colon = address.lastIndexOf(':');
    const payload = body === undefined ? undefined : JSON.stringify(body);
    return new Promise<Reply>((resolve, reject) => {
      let sent = false;
      const req = request({
        agent: this.agent,
        host: address.slice(0, colon),
        port: Number(address.slice(colon + 1)),
        method,
        path,
        headers:
          payload === undefined
            ? {}
            : { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(payload) },
      });
      const fail = (why: string) => {
        clearTimeout(whole);
        clearTimeout(connecting);
        options.signal?.removeEventListener('abort', onAbort);
        reject(new NoResponseError(`${method} ${address}${path}: ${why}`, sent));
        req.destroy();
      };
      const onAbort = () => fail('aborted');
      const whole = setTimeout(() => fail('timeout'), options.timeoutMs);
      // A connection attempt that is given up does not complete later, so `sent` stays false until connected.
      const connecting = setTimeout(() => {
        if (!sent) fail('connect timeout');
      }, options.connectMs ?? options.timeoutMs);
      if (options.signal?.aborted) return fail('aborted');
      options.signal?.addEventListener('abort', onAbort);
      req.on('socket', (socket) => {
        if (socket.connecting) socket.once('connect', () => (sent = true));
        else sent = true;
      });
      req.on('error', (error) => fail(error.message));
      req.on('response', (res) => {
        const parts: Buffer[] = [];
        res.on('data', (part: Buffer) => parts.push(part));
        res.on('error', (error) => fail(error.message));
        res.on('aborted', () => fail('cut short'));
        res.on('end', () => {
          clearTimeout(whole);
          clearTimeout(connecting);
          options.signal?.removeEventListener('abort', onAbort);
          const raw = Buffer.concat(parts).toString('utf8');
          try {
            resolve({ status: res.statusCode ?? 0, body: raw === '' ? undefined : JSON.parse(raw) });
          } catch {
            reject(new NoResponseError(`${method} ${path}: answer is not JSON`, true));
          }
        });
      });
      req.end(payload);
    });
  }
}
