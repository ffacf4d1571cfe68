/** A stand-in of the key-value store. */
import type { Clock } from '../src/net/clock.js';
import type { Reply } from '../src/net/http-client.js';
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

/** ms between two looks of an open watch at whether the outage is over. */
const OUTAGE_STEP_MS = 50;
const CONDITIONS_PER_WRITE = 4;

interface StoredValue {
  value: unknown;
  modRevision: number;
  leaseId: number | undefined;
}

/** What the store takes; everything else gets 400 or 429. */
export interface StoreLimits {
  /** Bytes of a value. */
  valueBytes: number;
  /** Changes in one transaction; of conditions it takes four times as many. */
  transactionWrites: number;
  writesPerSecond: number;
}

type RequestOf<K extends StoreRequest['kind']> = Extract<StoreRequest, { kind: K }>;

const bytesOf = (each: StoreOperation): number =>
  each.kind === 'delete' || each.value === undefined ? 0 : Buffer.byteLength(JSON.stringify(each.value));

/** Keys with revisions, transactions, watches and leases, and what may go wrong with them. */
export class FakeStore {
  readonly rows = new Map<string, StoredValue>();
  private readonly leases = new Map<number, { ttlMs: number; until: number }>();
  private readonly changes: StoreChange[] = [];
  private waiters: (() => void)[] = [];
  private nextLeaseId = 1;
  revision = 0;
  /** While set, every request gets 503. */
  out = false;
  /** Every request takes that long: half of it before it is carried out, half after. Watches and leases too. */
  slowMs = 0;
  /** Undefined: everything is taken. May change at any moment. */
  limits: StoreLimits | undefined;
  /** Changes that may still be made now, and the ms as of which that is known. */
  private writesLeft = { count: Infinity, at: 0 };
  /** Requests that were refused for their size. */
  tooLarge = 0;
  /** Nodes whose every request gets 503 while the others are served; their open watches wait, as in an outage. */
  readonly refused = new Set<string>();

  constructor(private readonly clock: Clock) {}

  /** Full time again for all leases, as after an outage. */
  endOutage(): void {
    this.out = false;
    for (const lease of this.leases.values()) lease.until = this.clock.now() + lease.ttlMs;
  }

  private isOutFor(from: string | undefined): boolean {
    return this.out || (from !== undefined && this.refused.has(from));
  }

  /** Answers a request; `from`: the node that sent it, if that may be refused. */
  async handle(method: string, path: string, body: unknown, from?: string): Promise<Reply> {
    if (this.slowMs === 0) return this.carryOut(method, path, body, from);
    await this.clock.sleep(this.slowMs / 2);
    const reply = await this.carryOut(method, path, body, from);
    await this.clock.sleep(this.slowMs / 2);
    return reply;
  }

  private async carryOut(method: string, path: string, body: unknown, from: string | undefined): Promise<Reply> {
    if (this.isOutFor(from)) return { status: 503, body: { error: 'unavailable' } };
    this.expire();
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

  private get(key: string): Reply {
    const row = this.rows.get(key);
    if (row === undefined) return { status: 404, body: encodeRevision(this.revision) };
    return { status: 200, body: encodeRow({ key, ...row }) };
  }

  private grantLease(ttlMs: number): Reply {
    const leaseId = this.nextLeaseId++;
    this.leases.set(leaseId, { ttlMs, until: this.clock.now() + ttlMs });
    return { status: 200, body: encodeLease(leaseId) };
  }

  private updateLease({ kind, leaseId }: RequestOf<'renewLease' | 'revokeLease'>): Reply {
    const lease = this.leases.get(leaseId);
    if (lease === undefined) return { status: 404, body: {} };
    lease.until = kind === 'revokeLease' ? this.clock.now() : this.clock.now() + lease.ttlMs;
    this.expire();
    return { status: 200, body: {} };
  }

  /** Ends leases whose time is over, with the keys that are attached to them. */
  expire(): void {
    for (const [leaseId, lease] of this.leases) {
      if (this.clock.now() < lease.until) continue;
      this.leases.delete(leaseId);
      const keys = [...this.rows].filter(([, row]) => row.leaseId === leaseId).map(([key]) => key);
      if (keys.length > 0) this.apply(keys.map((key) => ({ kind: 'delete', key })));
    }
  }

  private transact(transaction: StoreTransaction): Reply {
    const { conditions, operations } = transaction;
    const refusal = this.refuse(transaction);
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

  /** What the limits say to a transaction; what they let pass counts towards them. */
  private refuse({ conditions, operations }: StoreTransaction): Reply | undefined {
    if (this.limits === undefined) return undefined;
    const { valueBytes, transactionWrites, writesPerSecond } = this.limits;
    const bytes = Math.max(0, ...operations.map(bytesOf));
    const isTooMuch =
      operations.length > transactionWrites || conditions.length > transactionWrites * CONDITIONS_PER_WRITE;
    if (isTooMuch || bytes > valueBytes) {
      this.tooLarge++;
      return { status: 400, body: { error: `too large: ${operations.length} changes, ${bytes} bytes` } };
    }
    const now = this.clock.now();
    const regained = ((now - this.writesLeft.at) / 1000) * writesPerSecond;
    this.writesLeft = { count: Math.min(writesPerSecond, this.writesLeft.count + regained), at: now };
    if (this.writesLeft.count < operations.length) return { status: 429, body: { error: 'too many changes' } };
    this.writesLeft.count -= operations.length;
    return undefined;
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
    for (const wake of this.waiters.splice(0)) wake();
  }

  private list({ prefix, after, limit }: RequestOf<'list'>): Reply {
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
    const rows = keys.slice(0, limit).map((key) => ({ key, ...this.rows.get(key)! }));
    return { status: 200, body: encodePage(rows, keys.length > limit, this.revision) };
  }

  private async watch({ prefix, fromRevision, waitMs }: RequestOf<'watch'>, node: string | undefined): Promise<Reply> {
    const end = this.clock.now() + waitMs;
    const newChanges = () =>
      this.changes.filter((each) => each.modRevision > fromRevision && each.key.startsWith(prefix));
    while (this.isOutFor(node) || (newChanges().length === 0 && this.clock.now() < end)) {
      const woken = new AbortController();
      this.waiters.push(() => woken.abort());
      // An open watch stays open through an outage, however short a time it asked for.
      await this.clock.sleep(this.isOutFor(node) ? OUTAGE_STEP_MS : end - this.clock.now(), woken.signal);
    }
    return { status: 200, body: encodeChanges(this.revision, newChanges()) };
  }
}
