import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import { KEEP_ALIVE_MS, MAX_BODY_BYTES, MAX_OPEN_REQUESTS, REQUEST_TIMEOUT_MS, RETRY_AFTER_S } from '../constants.js';
import type { Log } from '../controller/log.js';
import type { Answer } from './jobs.js';

export interface Handlers {
  submit(body: unknown): Promise<Answer>;
  poll(ref: string): Promise<Answer>;
  withdraw(ref: string): Promise<Answer>;
  hello(body: unknown): Answer | Promise<Answer>;
  up(): Answer;
}

interface Route {
  method: 'GET' | 'POST';
  /** Users' requests are bounded; workers' reports and health checks always get through. */
  bounded: boolean;
  handle: (request: IncomingMessage) => Promise<Answer> | Answer;
}

class BadBody extends Error {}
class TooLarge extends Error {}

/** With plain events: an iterator over the request costs more than what a report needs besides. */
function readBody(request: IncomingMessage): Promise<unknown> {
  if (Number(request.headers['content-length'] ?? 0) > MAX_BODY_BYTES) throw new TooLarge();
  return new Promise((resolve, reject) => {
    const parts: Buffer[] = [];
    let size = 0;
    request.on('data', (part: Buffer) => {
      size += part.length;
      if (size > MAX_BODY_BYTES) reject(new TooLarge());
      else parts.push(part);
    });
    request.on('end', () => {
      try {
        resolve(JSON.parse(Buffer.concat(parts).toString('utf8')));
      } catch {
        reject(new BadBody());
      }
    });
    request.on('error', reject);
    request.on('close', () => reject(new Error('the sender has gone')));
  });
}

function route(path: string, handlers: Handlers): Route[] {
  if (path === '/up') return [{ method: 'GET', bounded: false, handle: () => handlers.up() }];
  if (path === '/hello') {
    return [{ method: 'POST', bounded: false, handle: async (req) => handlers.hello(await readBody(req)) }];
  }
  if (path === '/v1/jobs') {
    return [{ method: 'POST', bounded: true, handle: async (req) => handlers.submit(await readBody(req)) }];
  }
  const match = /^\/v1\/jobs\/([^/]+)(\/withdraw)?$/.exec(path);
  if (match === null) return [];
  let ref: string;
  try {
    ref = decodeURIComponent(match[1]!);
  } catch {
    return [];
  }
  if (match[2] !== undefined) {
    return [{ method: 'POST', bounded: true, handle: (req) => (req.resume(), handlers.withdraw(ref)) }];
  }
  return [{ method: 'GET', bounded: true, handle: () => handlers.poll(ref) }];
}

/** The HTTP side of a node: users, workers and health checks on one address. */
export class ApiServer {
  private readonly server: Server;
  private open = 0;

  constructor(
    private readonly handlers: Handlers,
    private readonly log: Log,
    maxSockets: number,
  ) {
    this.server = createServer(
      { requestTimeout: REQUEST_TIMEOUT_MS, headersTimeout: REQUEST_TIMEOUT_MS },
      (req, res) => {
        void this.serve(req, res);
      },
    );
    this.server.keepAliveTimeout = KEEP_ALIVE_MS;
    this.server.maxConnections = maxSockets;
    this.server.on('clientError', (_error, socket) => {
      if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
      else socket.destroy();
    });
  }

  listen(host: string, port: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve());
      signal.addEventListener('abort', () => {
        this.server.close();
        this.server.closeAllConnections();
      });
    });
  }

  private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
    req.on('error', () => res.destroy());
    let close = false;
    let answer: Answer;
    let counted = false;
    try {
      const path = (req.url ?? '/').split('?', 1)[0]!;
      const routes = route(path, this.handlers);
      const chosen = routes.find((each) => each.method === req.method);
      if (chosen === undefined) {
        req.resume();
        answer =
          routes.length === 0
            ? { status: 404, body: { error: 'no such path' } }
            : { status: 405, body: { error: 'wrong method' } };
      } else if (chosen.bounded && this.open >= MAX_OPEN_REQUESTS) {
        req.resume();
        answer = { status: 429, body: { error: 'busy' }, retryAfter: RETRY_AFTER_S };
      } else {
        if (chosen.bounded) {
          counted = true;
          this.open++;
        }
        answer = await chosen.handle(req);
      }
    } catch (error) {
      if (error instanceof BadBody) answer = { status: 400, body: { error: 'not JSON' } };
      else if (error instanceof TooLarge) {
        close = true;
        answer = { status: 400, body: { error: 'body over 64 KiB' } };
      } else if (req.destroyed && !req.complete) {
        // The sender has gone.
        if (counted) this.open--;
        res.destroy();
        return;
      } else {
        this.log.error({ error: (error as Error).stack ?? String(error), path: req.url }, 'request failed');
        answer = { status: 503, body: { error: 'internal' }, retryAfter: RETRY_AFTER_S };
      }
    }
    if (counted) this.open--;
    const body = JSON.stringify(answer.body);
    const headers: Record<string, string | number> = {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(body),
    };
    if (answer.status === 405) headers['Allow'] = 'GET, POST';
    if (answer.status === 429 || answer.status === 503) headers['Retry-After'] = answer.retryAfter ?? RETRY_AFTER_S;
    if (close) headers['Connection'] = 'close';
    res.writeHead(answer.status, headers);
    res.end(body, () => {
      if (close) req.destroy();
    });
  }
}
