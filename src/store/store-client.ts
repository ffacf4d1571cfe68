/** The client of the store, which enforces the store's limits on requests and writes per second, by priority. */
import { NODE_RATE_SHARE, RETRY_JITTER_SHARE, STORE_TIMEOUT_MS } from '../constants/store.js';
import type { Count } from '../domain/count.js';
import type { StoreSettings } from '../domain/settings.js';
import { EventCounts } from '../logging/event-counts.js';
import type { Clock } from '../net/clock.js';
import { type HttpClient, type HttpResponse, NoResponseError } from '../net/http-client.js';
import type { Random } from '../net/random.js';
import { Priority, TokenBucket } from '../net/token-bucket.js';
import { RenewedRevisions } from './renewed-revisions.js';
import {
  type Condition,
  decodeKey,
  decodeLeaseId,
  decodeMissingKey,
  decodePage,
  decodeTransactionResult,
  decodeWatch,
  encodeLeaseRequest,
  encodeTransaction,
  keyPath,
  leaseRenewalPath,
  LEASES_PATH,
  listPath,
  type Page,
  type TransactionResult,
  type WatchedChanges,
  watchPath,
  type Write,
} from './store-wire-codec.js';

/** ms for which writes pause after a 429, before jitter; requests of all kinds pause for this time divided by the divisor. */
const THROTTLE_PAUSE_MS = 120;
const REQUEST_THROTTLE_DIVISOR = 4;
/** Minimum burst of writes, even at the lowest rate. */
const MIN_WRITE_BURST = 4;
/** Factor on `STORE_TIMEOUT_MS` for pages of rows, which take longer than other responses. */
const LIST_TIMEOUT_FACTOR = 2;

const NAMES_BY_PRIORITY: ReadonlyMap<Priority, string> = new Map(
  Object.entries(Priority).map(([name, priority]) => [priority, name]),
);

/** The store refused a request or did not respond; the message names the operation. */
export class StoreError extends Error {
  readonly code = 'store_unavailable';

  constructor(
    message: string,
    /** The HTTP status, or 0 if there was no response. */
    readonly status: number,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

const unexpectedStatusError = (operation: string, { status }: HttpResponse): StoreError =>
  new StoreError(`${operation} failed: the store answered ${status}`, status);

/** A request, its priority, and the number of writes that count against the rate limit. */
interface Call {
  method: 'GET' | 'POST';
  path: string;
  /** Called once the request may be sent. */
  encodeBody?: () => unknown;
  priority: Priority;
  timeoutMs: number;
  /** Number of writes; 0 by default. */
  writes?: number;
}

/** The stored value of one key. */
export interface StoreRow {
  value: unknown;
  modRevision: Count;
  /** The store's revision; set only if the key does not exist. */
  revision?: Count;
}

/** Dependencies of `StoreClient`, and the address and rate limits of the store. */
export interface StoreClientOptions {
  http: HttpClient;
  /** HOST:PORT. */
  address: string;
  settings: StoreSettings;
  /** Number of nodes that share the store's limits. */
  nodeCount: number;
  /** Replaces the revisions in the conditions of transactions that have waited for the rate limits. */
  renewedRevisions?: RenewedRevisions;
  clock: Clock;
  random: Random;
}

/** Client of the store's HTTP protocol that keeps within its rate limits. */
export class StoreClient {
  private readonly requestBucket: TokenBucket;
  private readonly writeBucket: TokenBucket;
  private readonly http: HttpClient;
  private readonly address: string;
  private readonly clock: Clock;
  private readonly random: Random;
  private readonly renewedRevisions: RenewedRevisions;
  private readonly outcomes = new EventCounts();
  /** Monotonic ms of the last response other than 503, and of the last 503 or missing response. */
  lastAnsweredAt = -Infinity;
  lastUnavailableAt = -Infinity;

  constructor(options: StoreClientOptions) {
    const { http, address, settings, nodeCount, clock, random } = options;
    this.renewedRevisions = options.renewedRevisions ?? new RenewedRevisions();
    this.http = http;
    this.address = address;
    this.clock = clock;
    this.random = random;
    const { requestsPerSecond, current } = settings;
    const { writesPerSecond } = current;
    const requests = requestsPerSecond * NODE_RATE_SHARE;
    this.requestBucket = new TokenBucket(clock, requests, requests, Math.min(requests, requestsPerSecond / nodeCount));
    const writes = writesPerSecond * NODE_RATE_SHARE;
    const burst = Math.max(writes, MIN_WRITE_BURST);
    this.writeBucket = new TokenBucket(clock, writes, burst, Math.min(writes, writesPerSecond / nodeCount));
  }

  /** Sends the request once the rate limits allow it. Throws the errors of the HTTP client. */
  private async call({ method, path, encodeBody, priority, timeoutMs, writes = 0 }: Call): Promise<HttpResponse> {
    if (writes > 0) await this.writeBucket.take(writes, priority);
    await this.requestBucket.take(1, priority);
    const body = encodeBody?.();
    let reply: HttpResponse;
    try {
      reply = await this.http.call(this.address, method, path, body, { timeoutMs, connectMs: STORE_TIMEOUT_MS });
    } catch (error) {
      if (error instanceof NoResponseError) this.lastUnavailableAt = this.clock.now();
      this.outcomes.record(`${NAMES_BY_PRIORITY.get(priority)} unanswered`);
      throw error;
    }
    this.outcomes.record(`${NAMES_BY_PRIORITY.get(priority)} ${reply.status}`);
    if (reply.status === 503) this.lastUnavailableAt = this.clock.now();
    else this.lastAnsweredAt = this.clock.now();
    if (reply.status === 429) this.backOff(priority, { hasWrites: writes > 0 });
    return reply;
  }

  /** The longest waits for tokens since the last call, ms, by the name of the priority. */
  takeLongestWaits(): Record<string, number> {
    const requestWaits = this.requestBucket.takeLongestWaits();
    const writeWaits = this.writeBucket.takeLongestWaits();
    const waits: Record<string, number> = {};
    for (const [name, priority] of Object.entries(Priority)) {
      const waitMs = Math.max(requestWaits.get(priority) ?? 0, writeWaits.get(priority) ?? 0);
      if (waitMs > 0) waits[name] = Math.round(waitMs);
    }
    return waits;
  }

  /** The requests since the last call, by the name of the priority with the status of the response. */
  takeOutcomes(): Record<string, number> {
    return this.outcomes.take();
  }

  private backOff(priority: Priority, { hasWrites }: { hasWrites: boolean }): void {
    const pauseMs = this.random.jitter(THROTTLE_PAUSE_MS, RETRY_JITTER_SHARE);
    if (hasWrites) this.writeBucket.backOff(pauseMs, priority);
    this.requestBucket.backOff(pauseMs / REQUEST_THROTTLE_DIVISOR, priority);
  }

  private async callOrThrow(call: Call): Promise<HttpResponse> {
    try {
      return await this.call(call);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      throw new StoreError(`${call.method} ${call.path} failed: ${reason}`, 0, { cause: error });
    }
  }

  private read(path: string, priority: Priority, timeoutMs = STORE_TIMEOUT_MS): Promise<HttpResponse> {
    return this.callOrThrow({ method: 'GET', path, priority, timeoutMs });
  }

  /** Throws a `StoreError`. */
  async get(key: string, priority: Priority): Promise<StoreRow> {
    const reply = await this.read(keyPath(key), priority);
    if (reply.status === 404) return { value: undefined, modRevision: 0, revision: decodeMissingKey(reply.body) };
    if (reply.status !== 200) throw unexpectedStatusError(`get ${key}`, reply);
    return decodeKey(reply.body);
  }

  /** Reads the page of keys that follows the key `after`; undefined: the first page. Throws a `StoreError`. */
  async list(prefix: string, after: string | undefined, limit: number, priority: Priority): Promise<Page> {
    const reply = await this.read(listPath(prefix, after, limit), priority, STORE_TIMEOUT_MS * LIST_TIMEOUT_FACTOR);
    if (reply.status !== 200) throw unexpectedStatusError(`list ${prefix}`, reply);
    return decodePage(reply.body);
  }

  /**
   * Waits at most `waitMs` for changes after a revision. Returns undefined if the store has compacted the revision, so that
   * all keys must be read again. Throws a `StoreError`.
   */
  async watch(
    prefix: string,
    fromRevision: Count,
    waitMs: number,
    priority: Priority,
  ): Promise<WatchedChanges | undefined> {
    const reply = await this.read(watchPath(prefix, fromRevision, waitMs), priority, waitMs + STORE_TIMEOUT_MS);
    if (reply.status === 410) return undefined;
    if (reply.status !== 200) throw unexpectedStatusError(`watch ${prefix}`, reply);
    return decodeWatch(reply.body);
  }

  /** Sends a compare-and-swap transaction: all writes take effect atomically if all conditions hold. Never throws. */
  async transact(
    conditions: readonly Condition[],
    writes: readonly Write[],
    priority: Priority,
  ): Promise<TransactionResult> {
    const encodeBody = (): unknown => encodeTransaction(this.withLatestRevisions(conditions), writes);
    const call: Call = { method: 'POST', path: '/txn', encodeBody, priority, timeoutMs: STORE_TIMEOUT_MS };
    let reply: HttpResponse;
    try {
      reply = await this.call({ ...call, writes: writes.length });
    } catch (error) {
      return error instanceof NoResponseError && !error.wasSent ? { kind: 'refused', status: 0 } : { kind: 'unknown' };
    }
    return decodeTransactionResult(reply.status, reply.body);
  }

  private withLatestRevisions(conditions: readonly Condition[]): Condition[] {
    return conditions.map(({ key, modRevision }) => ({
      key,
      modRevision: this.renewedRevisions.latestOf(key, modRevision),
    }));
  }

  /** Creates a store lease and returns its id. Throws a `StoreError`. */
  async createLease(ttlMs: number): Promise<Count> {
    const reply = await this.leaseCall(LEASES_PATH, encodeLeaseRequest(ttlMs));
    if (reply.status !== 200) throw unexpectedStatusError(`create lease`, reply);
    return decodeLeaseId(reply.body);
  }

  /** Returns false if the lease has expired. Throws a `StoreError`. */
  async renewLease(leaseId: Count): Promise<boolean> {
    const reply = await this.leaseCall(leaseRenewalPath(leaseId), {});
    if (reply.status === 404) return false;
    if (reply.status !== 200) throw unexpectedStatusError(`renew lease ${leaseId}`, reply);
    return true;
  }

  private leaseCall(path: string, body: unknown): Promise<HttpResponse> {
    const encodeBody = (): unknown => body;
    return this.callOrThrow({
      method: 'POST',
      path,
      encodeBody,
      priority: Priority.lease,
      timeoutMs: STORE_TIMEOUT_MS,
    });
  }
}
