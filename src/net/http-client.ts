/** A client for JSON over HTTP/1.1: every call has a timeout, and errors tell whether the request may have had an effect. */
import { Agent, type ClientRequest, type IncomingMessage, request } from 'node:http';

import { parseAddress } from './address.js';
import { parseJson, stringifyJson } from './json.js';

/** A response of any status. */
export interface HttpResponse {
  status: number;
  /** Decoded from JSON; undefined: the response had no body. */
  body: unknown;
}

/** Thrown if there is no usable response. `wasSent`: the request may have reached the server, and may still be carried out. */
export class NoResponseError extends Error {
  readonly code = 'NO_RESPONSE';

  constructor(
    message: string,
    readonly wasSent: boolean,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** Timeouts and cancellation of one call. */
export interface CallOptions {
  /** Limit for the whole call. */
  timeoutMs: number;
  /** Limit for connecting; `timeoutMs` by default. */
  connectMs?: number;
  /** Aborts the call, which then fails with NoResponseError. */
  signal?: AbortSignal;
}

/** The open connections of an HTTP client, and the calls that wait for one. */
export interface ConnectionStatus {
  open: number;
  waitingCalls: number;
}

/** The interface for all outgoing HTTP calls; tests implement it with a fake network. */
export interface HttpClient {
  /** `address` is 'host:port'; `body` is sent as JSON, or not at all if undefined. Rejects only with NoResponseError. */
  call(address: string, method: string, path: string, body: unknown, options: CallOptions): Promise<HttpResponse>;
  /** Absent if the client has no connections of its own. */
  connectionStatus?(): ConnectionStatus;
}

/** Maximum of idle connections to one address. */
const MAX_FREE_SOCKETS = 4;

/** Maximum of connections to one address. */
const MAX_SOCKETS_PER_ADDRESS = 64;

/** The sockets of a `NodeHttpClient`. */
export interface NodeHttpClientOptions {
  /** Limit for all addresses together. */
  maxSockets: number;
  /** Addresses, such as the store's, whose calls never wait for sockets that calls to other addresses use. */
  essentialAddresses: readonly string[];
}

/** Share of the sockets that only essential addresses use. */
const ESSENTIAL_SOCKET_SHARE = 0.25;

const createAgent = (maxTotalSockets: number): Agent =>
  new Agent({
    keepAlive: true,
    maxSockets: MAX_SOCKETS_PER_ADDRESS,
    maxTotalSockets,
    maxFreeSockets: MAX_FREE_SOCKETS,
  });

/** An HttpClient on Node's `http` module, with keep-alive connections and a limit on sockets. */
export class NodeHttpClient implements HttpClient {
  private readonly essentialAddresses: ReadonlySet<string>;
  private readonly essentialAgent: Agent;
  private readonly agent: Agent;

  constructor({ maxSockets, essentialAddresses }: NodeHttpClientOptions) {
    const essentialSockets = Math.ceil(maxSockets * ESSENTIAL_SOCKET_SHARE);
    this.essentialAddresses = new Set(essentialAddresses);
    this.essentialAgent = createAgent(essentialSockets);
    this.agent = createAgent(maxSockets - essentialSockets);
  }

  /** Closes all connections. */
  close(): void {
    this.essentialAgent.destroy();
    this.agent.destroy();
  }

  connectionStatus(): ConnectionStatus {
    const agents = [this.essentialAgent, this.agent];
    return {
      open: agents.reduce((sum, agent) => sum + openSocketsOf(agent), 0),
      waitingCalls: agents.reduce((sum, { requests }) => sum + countAll(requests), 0),
    };
  }

  private agentFor(address: string): Agent {
    if (this.essentialAddresses.has(address)) return this.essentialAgent;
    closeIdleSocketIfFull(this.agent);
    return this.agent;
  }

  // eslint-disable-next-line max-params -- every client and test double implements this signature, and each call needs all five
  call(address: string, method: string, path: string, body: unknown, options: CallOptions): Promise<HttpResponse> {
    const payload = body === undefined ? undefined : stringifyJson(body);
    const headers = payload === undefined ? {} : jsonHeaders(payload);
    return new Promise<HttpResponse>((resolve, reject) => {
      const clientRequest = request({ agent: this.agentFor(address), ...parseAddress(address), method, path, headers });
      const description = `${method} ${address}${path}`;
      new PendingCall({ request: clientRequest, description, options, resolve, reject }).start(payload);
    });
  }
}

const countAll = (listsByAddress: NodeJS.ReadOnlyDict<readonly unknown[]>): number =>
  Object.values(listsByAddress).reduce((sum, list) => sum + (list?.length ?? 0), 0);

const openSocketsOf = ({ sockets, freeSockets }: Agent): number => countAll(sockets) + countAll(freeSockets);

/** An agent at its limit does not close idle sockets to other addresses by itself: the call would wait for one to be closed. */
function closeIdleSocketIfFull(agent: Agent): void {
  if (openSocketsOf(agent) < agent.maxTotalSockets) return;
  const [idleSockets] = Object.values(agent.freeSockets);
  idleSockets?.[0]?.destroy();
}

const jsonHeaders = (payload: string): Record<string, string | number> => ({
  'Content-Type': 'application/json',
  'Content-Length': Buffer.byteLength(payload),
});

interface PendingCallDependencies {
  request: ClientRequest;
  /** Identifies the call in error messages. */
  description: string;
  options: CallOptions;
  resolve: (reply: HttpResponse) => void;
  reject: (error: NoResponseError) => void;
}

/** One request from its start to its response or failure. */
class PendingCall {
  private wasSent = false;
  private readonly callTimer: NodeJS.Timeout;
  private readonly connectTimer: NodeJS.Timeout;
  private readonly onAbort = (): void => this.fail('aborted');

  constructor(private readonly dependencies: PendingCallDependencies) {
    const { timeoutMs, connectMs } = dependencies.options;
    this.callTimer = setTimeout(() => this.fail('timeout'), timeoutMs);
    // A connection attempt that is aborted never completes later, so `wasSent` stays false until connected.
    this.connectTimer = setTimeout(() => {
      if (!this.wasSent) this.fail('connect timeout');
    }, connectMs ?? timeoutMs);
  }

  start(payload: string | undefined): void {
    const { request: clientRequest, options } = this.dependencies;
    if (options.signal?.aborted) {
      this.fail('aborted');
      return;
    }
    options.signal?.addEventListener('abort', this.onAbort);
    clientRequest.on('socket', (socket) => {
      if (socket.connecting) socket.once('connect', () => this.markSent());
      else this.markSent();
    });
    clientRequest.on('error', (error) => this.fail(error.message, error));
    clientRequest.on('response', (response) => this.readResponse(response));
    clientRequest.end(payload);
  }

  private markSent(): void {
    this.wasSent = true;
  }

  private readResponse(response: IncomingMessage): void {
    const chunks: Buffer[] = [];
    response.on('data', (chunk: Buffer) => chunks.push(chunk));
    response.on('error', (error) => this.fail(error.message, error));
    response.on('aborted', () => this.fail('response incomplete'));
    response.on('end', () => this.complete(response.statusCode ?? 0, Buffer.concat(chunks).toString('utf8')));
  }

  private complete(status: number, text: string): void {
    const { description, resolve, reject } = this.dependencies;
    this.release();
    try {
      resolve({ status, body: text === '' ? undefined : parseJson(text) });
    } catch (error) {
      reject(new NoResponseError(`${description}: response is not JSON`, true, { cause: error }));
    }
  }

  private fail(reason: string, cause?: Error): void {
    const { request: clientRequest, description, reject } = this.dependencies;
    this.release();
    reject(new NoResponseError(`${description}: ${reason}`, this.wasSent, { cause }));
    clientRequest.destroy();
  }

  /** Clears the timers, which would keep the process alive, and the listener on the caller's signal. */
  private release(): void {
    clearTimeout(this.callTimer);
    clearTimeout(this.connectTimer);
    this.dependencies.options.signal?.removeEventListener('abort', this.onAbort);
  }
}
