/** The HTTP server of a node, which serves users, workers and health checks on one address. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

import {
  KEEP_ALIVE_MS,
  LISTEN_BACKLOG,
  MAX_OPEN_REQUESTS,
  REQUEST_TIMEOUT_MS,
  RETRY_AFTER_S,
} from '../constants/api.js';
import { EventCounts } from '../logging/event-counts.js';
import type { Log } from '../logging/log.js';
import type { RefusalLog } from '../logging/refusal-log.js';
import { stringifyJson } from '../net/json.js';
import type { JsonResponse } from '../net/json-response.js';
import { type ConnectionKind, ConnectionTable } from './connection-table.js';
import { readBody } from './request-body.js';
import { type Handlers, type Route, Routes } from './routes.js';

const NO_SUCH_PATH: JsonResponse = { status: 404, body: { error: 'no such path' } };
const WRONG_METHOD: JsonResponse = { status: 405, body: { error: 'wrong method' } };
const BUSY: JsonResponse = { status: 429, body: { error: 'busy' }, retryAfter: RETRY_AFTER_S };
const NOT_JSON: JsonResponse = { status: 400, body: { error: 'not JSON' } };
const TOO_LARGE: JsonResponse = { status: 400, body: { error: 'body over 64 KiB' } };
const INTERNAL_ERROR: JsonResponse = { status: 503, body: { error: 'internal' }, retryAfter: RETRY_AFTER_S };

/** Connections and requests of the server at one moment. */
export interface ApiServerStatus {
  connections: Readonly<Record<ConnectionKind, number>>;
  openUserRequests: number;
  /** Connections that were closed at once since the last report, because the limit was reached. */
  droppedConnections: number;
  /** Idle connections that were closed to make room since the last report. */
  closedIdleConnections: number;
  /** Answers since the last report, by who asked and status. */
  answers: Readonly<Record<string, number>>;
}

/** Routes requests to their handlers. Limits the number of open users' requests, so that memory use is bounded. */
export class ApiServer {
  private readonly server: Server;
  private readonly routes: Routes;
  /** Users' requests that are being read or handled. */
  private openUserRequests = 0;
  private readonly connections: ConnectionTable;
  private droppedConnections = 0;
  private readonly answers = new EventCounts();

  constructor(
    handlers: Handlers,
    private readonly log: Log,
    private readonly refusals: RefusalLog,
    maxSockets: number,
  ) {
    this.routes = new Routes(handlers);
    this.connections = new ConnectionTable(maxSockets);
    this.server = createServer(
      { requestTimeout: REQUEST_TIMEOUT_MS, headersTimeout: REQUEST_TIMEOUT_MS },
      (request, response) => this.serve(request, response),
    );
    // Uses one inactivity timer for each connection, instead of one that is set and cleared at each request.
    this.server.keepAliveTimeout = 0;
    this.server.timeout = KEEP_ALIVE_MS;
    this.server.maxConnections = maxSockets;
    this.server.on('connection', (socket) => this.connections.opened(socket));
    this.server.on('drop', () => this.droppedConnections++);
    this.server.on('clientError', (_error, socket) => {
      if (socket.writable) socket.end('HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n');
      else socket.destroy();
    });
  }

  /** Resolves once the server listens. Aborting the signal closes the server and all its connections. */
  listen(host: string, port: number, signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen({ port, host, backlog: LISTEN_BACKLOG }, () => resolve());
      signal.addEventListener('abort', () => {
        this.server.close();
        this.server.closeAllConnections();
      });
    });
  }

  /** Serves a connection that did not arrive through the listening socket. */
  accept(connection: Duplex): void {
    this.server.emit('connection', connection);
  }

  /** The connections, and what was dropped since the last call. */
  takeStatus(): ApiServerStatus {
    const { openUserRequests, droppedConnections } = this;
    this.droppedConnections = 0;
    return {
      connections: this.connections.current(),
      openUserRequests,
      droppedConnections,
      closedIdleConnections: this.connections.takeClosedIdleCount(),
      answers: this.answers.take(),
    };
  }

  private serve(request: IncomingMessage, response: ServerResponse): void {
    const route = this.routes.find(request.url ?? '/');
    if (route === undefined) {
      request.resume();
      this.respond(response, 'unused', NO_SUCH_PATH);
      return;
    }
    this.connections.requestReceived(request.socket, route.connectionKind);
    const refusal = this.refusalFor(route, request.method);
    if (refusal !== undefined) {
      request.resume();
      this.respond(response, route.connectionKind, refusal);
      return;
    }
    const release = route.isConcurrencyLimited ? this.trackOpenRequest(request) : undefined;
    if (!route.readsBody) {
      request.resume();
      this.handle(route, undefined, response, release);
      return;
    }
    readBody(request, (body) => {
      if (body.kind === 'json') {
        this.handle(route, body.value, response, release);
        return;
      }
      release?.();
      if (body.kind === 'malformed') this.respond(response, route.connectionKind, NOT_JSON);
      else this.refuseTooLarge(request, response, route.connectionKind);
    });
  }

  private refuseTooLarge(request: IncomingMessage, response: ServerResponse, kind: ConnectionKind): void {
    this.refusals.record({ kind: 'request', reason: 'too_large', fields: { from: kind } });
    this.respond(response, kind, TOO_LARGE, () => request.destroy());
  }

  private refusalFor(route: Route, method: string | undefined): JsonResponse | undefined {
    if (route.method !== method) return WRONG_METHOD;
    if (!route.isConcurrencyLimited || this.openUserRequests < MAX_OPEN_REQUESTS) return undefined;
    this.refusals.record({ kind: 'request', reason: 'too_many_requests' });
    return BUSY;
  }

  /** Counts a request as open until the returned function is called, or its sender disconnects before it has been read. */
  private trackOpenRequest(request: IncomingMessage): () => void {
    let isOpen = true;
    this.openUserRequests++;
    const release = () => {
      if (isOpen) this.openUserRequests--;
      isOpen = false;
    };
    request.on('close', () => {
      if (!request.complete) release();
    });
    return release;
  }

  private handle(route: Route, body: unknown, response: ServerResponse, release: (() => void) | undefined): void {
    let answer: JsonResponse | Promise<JsonResponse>;
    try {
      answer = route.handle(body);
    } catch (error) {
      answer = this.logFailure(error);
    }
    if (!(answer instanceof Promise)) {
      release?.();
      this.respond(response, route.connectionKind, answer);
      return;
    }
    void answer
      .catch((error: unknown) => this.logFailure(error))
      .then((settled) => {
        release?.();
        this.respond(response, route.connectionKind, settled);
      });
  }

  /** `onSent`: called when the response has been handed to the socket; if given, the connection is closed afterwards. */
  private respond(response: ServerResponse, kind: ConnectionKind, answer: JsonResponse, onSent?: () => void): void {
    this.answers.record(`${kind} ${answer.status}`);
    if (!this.connections.mayKeepAlive(kind)) response.shouldKeepAlive = false;
    send(response, answer, onSent);
    this.connections.answered(response.req.socket);
  }

  private logFailure(error: unknown): JsonResponse {
    this.log.error({ error: (error as Error).stack ?? String(error) }, 'request failed');
    return INTERNAL_ERROR;
  }
}

/** `onSent`: called when the response has been handed to the socket; if given, the connection is closed afterwards. */
function send(response: ServerResponse, answer: JsonResponse, onSent?: () => void): void {
  const body = stringifyJson(answer.body);
  const { status } = answer;
  const headers = ['Content-Type', 'application/json', 'Content-Length', String(Buffer.byteLength(body))];
  if (status === 405) headers.push('Allow', 'GET, POST');
  if (status === 429 || status === 503) headers.push('Retry-After', String(answer.retryAfter ?? RETRY_AFTER_S));
  if (onSent !== undefined) headers.push('Connection', 'close');
  // No client reads the Date header, and Node.js updates its value with a timer.
  response.sendDate = false;
  response.writeHead(status, headers);
  if (onSent === undefined) response.end(body);
  else response.end(body, onSent);
}
