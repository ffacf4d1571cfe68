import type { Reply } from '../src/net/http-client.js';
import type { Clock } from '../src/net/clock.js';

/** ms between two looks of an open watch at whether the outage is over. */
const OUTAGE_STEP_MS = 50;

interface Kept {
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

const CONDITIONS_PER_WRITE = 4;

interface TxnBody {
  If?: { K: string; Stamp: number }[];
  Apply?: { Set?: string; Drop?: string; V?: unknown; Latch?: number }[];
}

/** A stand-in of the state service, by the protocol's words. */
export class FakeStore {
  readonly rows = new Map<string, Kept>();
  private readonly holds = new Map<number, { ttl: number; until: number }>();
  private news: { key: string; value: unknown; modRevision: number }[] = [];
  private waiters: (() => void)[] = [];
  private nextHold = 1;
  revision = 0;
  /** While set, every request gets 503. */
  out = false;
  /** Every request takes that long: half of it before it is carried out, half after. Watches and holds too. */
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

  /** Full time again for all holds, as after an outage. */
  endOutage(): void {
    this.out = false;
    for (const hold of this.holds.values()) hold.until = this.clock.now() + hold.ttl;
  }

  private isOutFor(from: string | undefined): boolean {
    return this.out || (from !== undefined && this.refused.has(from));
  }

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
    const url = new URL(path, 'http://store');
    const parts = url.pathname.split('/').slice(1);
    if (parts[0] === 'watch') return this.watch(url.searchParams, from);
    if (parts[0] === 'txn') return this.txn(body as TxnBody);
    if (parts[0] === 'holds') return this.hold(method, parts, body as { TtlMs: number });
    if (url.pathname === '/store') return this.list(url.searchParams);
    const key = url.pathname.slice('/store/'.length);
    const row = this.rows.get(key);
    if (row === undefined) return { status: 404, body: { Epoch: this.revision } };
    return { status: 200, body: { K: key, V: row.value, Stamp: row.modRevision } };
  }

  private hold(method: string, parts: string[], body: { TtlMs: number }): Reply {
    if (parts.length === 1) {
      const id = this.nextHold++;
      this.holds.set(id, { ttl: body.TtlMs, until: this.clock.now() + body.TtlMs });
      return { status: 200, body: { Latch: id } };
    }
    const id = Number(parts[1]);
    const hold = this.holds.get(id);
    if (hold === undefined) return { status: 404, body: {} };
    hold.until = method === 'DELETE' ? this.clock.now() : this.clock.now() + hold.ttl;
    this.expire();
    return { status: 200, body: {} };
  }

  /** Ends holds whose time is over, with the keys on them. */
  expire(): void {
    for (const [id, hold] of this.holds) {
      if (this.clock.now() < hold.until) continue;
      this.holds.delete(id);
      const keys = [...this.rows].filter(([, row]) => row.leaseId === id).map(([key]) => key);
      if (keys.length > 0) this.change(keys.map((key) => ({ Drop: key })));
    }
  }

  private txn(body: TxnBody): Reply {
    const writes = body.Apply ?? [];
    const refusal = this.refusal(body);
    if (refusal !== undefined) return refusal;
    if (writes.some((each) => each.Latch !== undefined && !this.holds.has(each.Latch))) {
      return { status: 400, body: { error: 'no such lease' } };
    }
    const failed = (body.If ?? [])
      .filter((each) => (this.rows.get(each.K)?.modRevision ?? 0) !== each.Stamp)
      .map((each) => each.K);
    if (failed.length > 0) return { status: 409, body: { failed, Epoch: this.revision } };
    if (writes.length > 0) this.change(writes);
    return { status: 200, body: { Epoch: this.revision } };
  }

  /** What the limits say to a transaction. */
  private refusal({ If = [], Apply = [] }: TxnBody): Reply | undefined {
    if (this.limits === undefined) return undefined;
    const { valueBytes, transactionWrites, writesPerSecond } = this.limits;
    const bytes = Math.max(0, ...Apply.map(({ V }) => (V === undefined ? 0 : Buffer.byteLength(JSON.stringify(V)))));
    const isTooMuch = Apply.length > transactionWrites || If.length > transactionWrites * CONDITIONS_PER_WRITE;
    if (isTooMuch || bytes > valueBytes) {
      this.tooLarge++;
      return { status: 400, body: { error: `too large: ${Apply.length} changes, ${bytes} bytes` } };
    }
    const now = this.clock.now();
    const regained = ((now - this.writesLeft.at) / 1000) * writesPerSecond;
    this.writesLeft = { count: Math.min(writesPerSecond, this.writesLeft.count + regained), at: now };
    if (this.writesLeft.count < Apply.length) return { status: 429, body: { error: 'too many changes' } };
    this.writesLeft.count -= Apply.length;
    return undefined;
  }

  private change(writes: NonNullable<TxnBody['Apply']>): void {
    this.revision++;
    for (const each of writes) {
      const key = each.Set ?? each.Drop!;
      if (each.Set === undefined) this.rows.delete(key);
      else this.rows.set(key, { value: each.V, modRevision: this.revision, leaseId: each.Latch });
      this.news.push({ key, value: each.Set === undefined ? undefined : each.V, modRevision: this.revision });
    }
    for (const wake of this.waiters.splice(0)) wake();
  }

  private list(query: URLSearchParams): Reply {
    const prefix = query.get('Starts') ?? '';
    const from = query.get('From') ?? '';
    const limit = Number(query.get('Limit') ?? 1000);
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > from).sort();
    const page = keys.slice(0, limit).map((key) => {
      const row = this.rows.get(key)!;
      return { K: key, V: row.value, Stamp: row.modRevision };
    });
    return { status: 200, body: { Rows: page, HasNext: keys.length > limit, Epoch: this.revision } };
  }

  private async watch(query: URLSearchParams, node: string | undefined): Promise<Reply> {
    const prefix = query.get('Starts') ?? '';
    const from = Number(query.get('From'));
    const end = this.clock.now() + Number(query.get('WaitMs') ?? 0);
    const fresh = () => this.news.filter((each) => each.modRevision > from && each.key.startsWith(prefix));
    while (this.isOutFor(node) || (fresh().length === 0 && this.clock.now() < end)) {
      const woken = new AbortController();
      this.waiters.push(() => woken.abort());
      // An open watch stays open through an outage, however short a time it asked for.
      await this.clock.sleep(this.isOutFor(node) ? OUTAGE_STEP_MS : end - this.clock.now(), woken.signal);
    }
    const News = fresh().map((each) =>
      each.value === undefined
        ? { Drop: each.key, Stamp: each.modRevision }
        : { Set: each.key, V: each.value, Stamp: each.modRevision },
    );
    return { status: 200, body: { Epoch: this.revision, News } };
  }
}
