/** Calls to the store. Its limits of requests and of changes a second are kept here, by priority. */
import { RATE_SHARE, STORE_TIMEOUT_MS } from '../constants/store.js';
import type { StoreSettings } from '../domain/settings.js';
import type { Clock } from '../net/clock.js';
import { NoResponseError, type HttpClient, type Reply } from '../net/http-client.js';
import type { Random } from '../net/random.js';
import { Priority, TokenBucket } from '../net/token-bucket.js';
import {
  decodeKey,
  decodeLeaseId,
  decodeMissingKey,
  decodePage,
  decodeTransactionResult,
  decodeWatch,
  encodeLeaseRequest,
  encodeTransaction,
  keyPath,
  LEASES_PATH,
  leaseRenewalPath,
  listPath,
  watchPath,
  type Condition,
  type Page,
  type TransactionResult,
  type WatchedChanges,
  type Write,
} from './store-wire-codec.js';

/** ms of pause after a 429, before its jitter; and how much shorter it is for requests that change nothing. */
const BUSY_PAUSE_MS = 120;
const BUSY_JITTER_SHARE = 0.5;
const REQUEST_PAUSE_DIVISOR = 4;
/** Changes in one burst at least, however low the rate is. */
const LEAST_WRITE_BURST = 4;
/** A page of rows may take longer than other answers. */
const LIST_TIMEOUTS = 2;

/** The store said no, or nothing. */
export class StoreError extends Error {
  readonly code = 'store_unavailable';

  constructor(
    message: string,
    /** 503, 429, ... or 0 for no answer. */
    readonly status: number,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

interface Call {
  method: 'GET' | 'POST';
  path: string;
  body?: unknown;
  priority: Priority;
  timeoutMs: number;
  /** Changes that it asks for. */
  writes?: number;
}

/** A row as the store has it; `revision`: of the store, told where the key does not exist. */
export interface StoreRow {
  value: unknown;
  modRevision: number;
  revision?: number;
}

export class StoreClient {
  private readonly requestBucket: TokenBucket;
  private readonly writeBucket: TokenBucket;
  /** Steady ms when the store last answered anything but 503, and when it last refused or was silent. */
  lastAnsweredAt = -Infinity;
  lastRefusedAt = -Infinity;

  constructor(
    private readonly http: HttpClient,
    private readonly address: string,
    { requestsPerSecond, present }: StoreSettings,
    nodes: number,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    const { writesPerSecond } = present;
    const requests = requestsPerSecond * RATE_SHARE;
    this.requestBucket = new TokenBucket(clock, requests, requests, Math.min(requests, requestsPerSecond / nodes));
    const writes = writesPerSecond * RATE_SHARE;
    const burst = Math.max(writes, LEAST_WRITE_BURST);
    this.writeBucket = new TokenBucket(clock, writes, burst, Math.min(writes, writesPerSecond / nodes));
  }

  private async call({ method, path, body, priority, timeoutMs, writes = 0 }: Call): Promise<Reply> {
    if (writes > 0) await this.writeBucket.take(writes, priority);
    await this.requestBucket.take(1, priority);
    let reply: Reply;
    try {
      reply = await this.http.call(this.address, method, path, body, { timeoutMs, connectMs: STORE_TIMEOUT_MS });
    } catch (error) {
      if (error instanceof NoResponseError) this.lastRefusedAt = this.clock.now();
      throw error;
    }
    if (reply.status === 503) this.lastRefusedAt = this.clock.now();
    else this.lastAnsweredAt = this.clock.now();
    if (reply.status === 429) this.backOff(priority, writes > 0);
    return reply;
  }

  private backOff(priority: Priority, isChange: boolean): void {
    const pauseMs = this.random.jitter(BUSY_PAUSE_MS, BUSY_JITTER_SHARE);
    if (isChange) this.writeBucket.backOff(pauseMs, priority);
    this.requestBucket.backOff(pauseMs / REQUEST_PAUSE_DIVISOR, priority);
  }

  private async callOrThrow(call: Call): Promise<Reply> {
    try {
      return await this.call(call);
    } catch (error) {
      throw new StoreError((error as Error).message, 0, { cause: error });
    }
  }

  private read(path: string, priority: Priority, timeoutMs = STORE_TIMEOUT_MS): Promise<Reply> {
    return this.callOrThrow({ method: 'GET', path, priority, timeoutMs });
  }

  async get(key: string, priority: Priority): Promise<StoreRow> {
    const reply = await this.read(keyPath(key), priority);
    if (reply.status === 404) return { value: undefined, modRevision: 0, revision: decodeMissingKey(reply.body) };
    if (reply.status !== 200) throw new StoreError(`get ${key}: ${reply.status}`, reply.status);
    return decodeKey(reply.body);
  }

  /** `after`: the key behind which the page begins; undefined: the first page. */
  async list(prefix: string, after: string | undefined, limit: number, priority: Priority): Promise<Page> {
    const reply = await this.read(listPath(prefix, after, limit), priority, STORE_TIMEOUT_MS * LIST_TIMEOUTS);
    if (reply.status !== 200) throw new StoreError(`list ${prefix}: ${reply.status}`, reply.status);
    return decodePage(reply.body);
  }

  /** undefined: the revision is too old, and the keys must be read again. */
  async watch(
    prefix: string,
    fromRevision: number,
    waitMs: number,
    priority: Priority,
  ): Promise<WatchedChanges | undefined> {
    const reply = await this.read(watchPath(prefix, fromRevision, waitMs), priority, waitMs + STORE_TIMEOUT_MS);
    if (reply.status === 410) return undefined;
    if (reply.status !== 200) throw new StoreError(`watch ${prefix}: ${reply.status}`, reply.status);
    return decodeWatch(reply.body);
  }

  /** A compare-and-swap transaction: all writes take effect at once, if all conditions hold. */
  async transact(
    conditions: readonly Condition[],
    writes: readonly Write[],
    priority: Priority,
  ): Promise<TransactionResult> {
    const body = encodeTransaction(conditions, writes);
    const call: Call = { method: 'POST', path: '/txn', body, priority, timeoutMs: STORE_TIMEOUT_MS };
    let reply: Reply;
    try {
      reply = await this.call({ ...call, writes: writes.length });
    } catch (error) {
      return error instanceof NoResponseError && !error.wasSent ? { kind: 'refused', status: 0 } : { kind: 'unknown' };
    }
    return decodeTransactionResult(reply.status, reply.body);
  }

  /** Returns the id of the lease. */
  async createLease(ttlMs: number): Promise<number> {
    const reply = await this.leaseCall(LEASES_PATH, encodeLeaseRequest(ttlMs));
    if (reply.status !== 200) throw new StoreError(`create lease: ${reply.status}`, reply.status);
    return decodeLeaseId(reply.body);
  }

  /** False: the lease has expired. */
  async renewLease(leaseId: number): Promise<boolean> {
    const reply = await this.leaseCall(leaseRenewalPath(leaseId), {});
    if (reply.status === 404) return false;
    if (reply.status !== 200) throw new StoreError(`renew lease: ${reply.status}`, reply.status);
    return true;
  }

  private leaseCall(path: string, body: unknown): Promise<Reply> {
    return this.callOrThrow({ method: 'POST', path, body, priority: Priority.lease, timeoutMs: STORE_TIMEOUT_MS });
  }
}
