/** An in-memory fake of the key-value store. */
import type { Clock } from '../src/net/clock.js';
import type { HttpResponse } from '../src/net/http-client.js';
import {
  decodeStoreRequest,
  encodeChanges,
  encodeConflict,
  encodeLease,
  encodePage,
  encodeRevision,
  encodeRow,
  type StoreChange,
  type StoreOperation,
  type StoreRequest,
  type StoreTransaction,
} from './fake-store-wire-codec.js';

/** Period at which an open watch checks whether the outage has ended. */
const OUTAGE_POLL_MS = 50;
const CONDITIONS_PER_WRITE = 4;
const MAX_KEY_BYTES = 200;
const SPACE_IN_KEY = /[\s\p{White_Space}]/u;
const TOO_MANY: HttpResponse = { status: 429, body: { error: 'too many' } };

interface StoredValue {
  value: unknown;
  modRevision: number;
  leaseId: number | undefined;
}

/** Limits of the store; a transaction above them gets 400 or 429. */
export interface StoreLimits {
  /** Size limit of a value, bytes. */
  valueBytes: number;
  /** Operations in one transaction; four times as many conditions are allowed. */
  transactionWrites: number;
  writesPerSecond: number;
  /** All requests; unlimited if absent. */
  requestsPerSecond?: number;
}

/** A rate limit that allows bursts of one second's worth. */
class RateLimit {
  private allowance = Infinity;
  private countedAt = 0;

  /** Returns false if the rate is exceeded. */
  take(count: number, ratePerSecond: number, now: number): boolean {
    const regained = ((now - this.countedAt) / 1000) * ratePerSecond;
    this.allowance = Math.min(ratePerSecond, this.allowance + regained);
    this.countedAt = now;
    if (this.allowance < count) return false;
    this.allowance -= count;
    return true;
  }
}

type RequestOf<K extends StoreRequest['kind']> = Extract<StoreRequest, { kind: K }>;

/** Whether the text is a key: 1 to 200 bytes without spaces. */
const isKey = (text: string): boolean =>
  text !== '' && !SPACE_IN_KEY.test(text) && Buffer.byteLength(text) <= MAX_KEY_BYTES;

const bytesOf = (each: StoreOperation): number =>
  each.kind === 'delete' || each.value === undefined ? 0 : Buffer.byteLength(JSON.stringify(each.value));

/** Keys with revisions, transactions, watches and leases, with faults that tests can switch on. */
export class FakeStore {
  readonly rows = new Map<string, StoredValue>();
  private readonly leases = new Map<number, { ttlMs: number; until: number }>();
  private readonly changes: StoreChange[] = [];
  private watchWaiters: (() => void)[] = [];
  private nextLeaseId = 1;
  revision = 0;
  /** While set, every request gets 503. */
  isUnavailable = false;
  /** Duration of every request, also of watches and leases: half of it before the request is executed, half after. */
  slowMs = 0;
  /** Undefined: no limits. May change at any time. */
  limits: StoreLimits | undefined;
  private readonly writeRate = new RateLimit();
  private readonly requestRate = new RateLimit();
  /** Number of transactions that were rejected for their size. */
  tooLargeCount = 0;
  /** Nodes that get 503 to every request while others are served; their open watches wait, as in an outage. */
  readonly refusedNodes = new Set<string>();

  constructor(private readonly clock: Clock) {}

  /** Ends the outage, and renews all leases for their full TTL. */
  endOutage(): void {
    this.isUnavailable = false;
    for (const lease of this.leases.values()) lease.until = this.clock.now() + lease.ttlMs;
  }

  private isUnavailableTo(from: string | undefined): boolean {
    return this.isUnavailable || (from !== undefined && this.refusedNodes.has(from));
  }

  /** Handles a request. `from`: the node that sent it; undefined if the request must not be refused for its sender. */
  async handle(method: string, path: string, body: unknown, from?: string): Promise<HttpResponse> {
    if (this.slowMs === 0) return this.execute(method, path, body, from);
    await this.clock.sleep(this.slowMs / 2);
    const reply = await this.execute(method, path, body, from);
    await this.clock.sleep(this.slowMs / 2);
    return reply;
  }

  private async execute(method: string, path: string, body: unknown, from: string | undefined): Promise<HttpResponse> {
    if (this.isUnavailableTo(from)) return { status: 503, body: { error: 'unavailable' } };
    if (!this.isWithinRequestRate()) return TOO_MANY;
    this.expireLeases();
    const request = decodeStoreRequest(method, path, body);
    switch (request.kind) {
      case 'watch':
        return this.watch(request, from);
      case 'transaction':
        return this.transact(request.transaction);
      case 'grantLease':
        return this.grantLease(request.ttlMs);
      case 'renewLease':
      case 'revokeLease':
        return this.updateLease(request);
      case 'list':
        return this.list(request);
      case 'get':
        return this.get(request.key);
    }
  }

  private isWithinRequestRate(): boolean {
    const rate = this.limits?.requestsPerSecond;
    return rate === undefined || this.requestRate.take(1, rate, this.clock.now());
  }

  private get(key: string): HttpResponse {
    const row = this.rows.get(key);
    if (row === undefined) return { status: 404, body: encodeRevision(this.revision) };
    return { status: 200, body: encodeRow({ key, ...row }) };
  }

  private grantLease(ttlMs: number): HttpResponse {
    const leaseId = this.nextLeaseId++;
    this.leases.set(leaseId, { ttlMs, until: this.clock.now() + ttlMs });
    return { status: 200, body: encodeLease(leaseId) };
  }

  private updateLease({ kind, leaseId }: RequestOf<'renewLease' | 'revokeLease'>): HttpResponse {
    const lease = this.leases.get(leaseId);
    if (lease === undefined) return { status: 404, body: {} };
    lease.until = kind === 'revokeLease' ? this.clock.now() : this.clock.now() + lease.ttlMs;
    this.expireLeases();
    return { status: 200, body: {} };
  }

  /** Removes expired leases and the keys that are attached to them. */
  expireLeases(): void {
    for (const [leaseId, lease] of this.leases) {
      if (this.clock.now() < lease.until) continue;
      this.leases.delete(leaseId);
      const keys = [...this.rows].filter(([, row]) => row.leaseId === leaseId).map(([key]) => key);
      if (keys.length > 0) this.apply(keys.map((key) => ({ kind: 'delete', key })));
    }
  }

  private transact(transaction: StoreTransaction): HttpResponse {
    const { conditions, operations } = transaction;
    if (![...conditions, ...operations].every(({ key }) => isKey(key)))
      return { status: 400, body: { error: 'malformed key' } };
    const refusal = this.refusalByLimits(transaction);
    if (refusal !== undefined) return refusal;
    const leaseIds = operations.map((each) => (each.kind === 'put' ? each.leaseId : undefined));
    if (leaseIds.some((leaseId) => leaseId !== undefined && !this.leases.has(leaseId))) {
      return { status: 400, body: { error: 'no such lease' } };
    }
    const failed = conditions
      .filter(({ key, modRevision }) => (this.rows.get(key)?.modRevision ?? 0) !== modRevision)
      .map(({ key }) => key);
    if (failed.length > 0) return { status: 409, body: encodeConflict(failed, this.revision) };
    if (operations.length > 0) this.apply(operations);
    return { status: 200, body: encodeRevision(this.revision) };
  }

  /** The refusal of a transaction above the limits; one within them is counted against the write rate. */
  private refusalByLimits({ conditions, operations }: StoreTransaction): HttpResponse | undefined {
    if (this.limits === undefined) return undefined;
    const { valueBytes, transactionWrites, writesPerSecond } = this.limits;
    const bytes = Math.max(0, ...operations.map(bytesOf));
    const isTooMuch =
      operations.length > transactionWrites || conditions.length > transactionWrites * CONDITIONS_PER_WRITE;
    if (isTooMuch || bytes > valueBytes) {
      this.tooLargeCount++;
      return { status: 400, body: { error: `too large: ${operations.length} changes, ${bytes} bytes` } };
    }
    const isWithinRate = this.writeRate.take(operations.length, writesPerSecond, this.clock.now());
    return isWithinRate ? undefined : TOO_MANY;
  }

  private apply(operations: readonly StoreOperation[]): void {
    this.revision++;
    const modRevision = this.revision;
    for (const operation of operations) {
      const { key } = operation;
      const value = operation.kind === 'put' ? operation.value : undefined;
      if (operation.kind === 'delete') this.rows.delete(key);
      else this.rows.set(key, { value, modRevision, leaseId: operation.leaseId });
      this.changes.push({ key, value, modRevision });
    }
    for (const wake of this.watchWaiters.splice(0)) wake();
  }

  private list({ prefix, after, limit }: RequestOf<'list'>): HttpResponse {
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const rows = keys.slice(0, limit).map((key) => ({ key, ...this.rows.get(key)! }));
    return { status: 200, body: encodePage(rows, keys.length > limit, this.revision) };
  }

  private async watch(
    { prefix, fromRevision, waitMs }: RequestOf<'watch'>,
    node: string | undefined,
  ): Promise<HttpResponse> {
    const end = this.clock.now() + waitMs;
    const newChanges = () =>
      this.changes.filter((each) => each.modRevision > fromRevision && each.key.startsWith(prefix));
    while (this.isUnavailableTo(node) || (newChanges().length === 0 && this.clock.now() < end)) {
      const wakeUp = new AbortController();
      this.watchWaiters.push(() => wakeUp.abort());
      // An open watch stays open through an outage, even beyond its own wait time.
      await this.clock.sleep(this.isUnavailableTo(node) ? OUTAGE_POLL_MS : end - this.clock.now(), wakeUp.signal);
    }
    return { status: 200, body: encodeChanges(this.revision, newChanges()) };
  }
}
