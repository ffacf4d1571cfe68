import { RATE_SHARE, STATE_TIMEOUT_MS } from '../constants.js';
import type { Settings } from '../config/settings.js';
import { NoAnswer, type HttpClient, type Reply } from '../net/http-client.js';
import { TokenBucket, Priority } from '../net/token-bucket.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';

export interface Row {
  key: string;
  value: unknown;
  stamp: number;
}
export interface Change {
  key: string;
  /** undefined: the key is dropped. */
  value: unknown;
  stamp: number;
}
export interface Condition {
  key: string;
  stamp: number;
}
export interface Write {
  key: string;
  /** undefined drops the key. */
  value: unknown;
  latch?: number;
}

export type TxnResult =
  | { kind: 'done'; epoch: number }
  | { kind: 'conflict'; failed: string[]; epoch: number }
  | { kind: 'no_hold' }
  | { kind: 'malformed'; why: string }
  /** Not carried out, and never will be. */
  | { kind: 'refused'; status: number }
  /** May have been carried out, or may be later, until a Stamp that it names has changed. */
  | { kind: 'unknown' };

/** The store said no, or nothing. */
export class StateError extends Error {
  constructor(
    message: string,
    /** 503, 429, ... or 0 for no answer. */
    readonly status: number,
  ) {
    super(message);
  }
}

interface WireRow {
  K: string;
  V: unknown;
  Stamp: number;
}

/** The only place that knows the state service's wire format. Both of its rates are kept here, by priority. */
export class StateClient {
  private readonly requests: TokenBucket;
  private readonly writes: TokenBucket;
  /** When the store last answered anything but 503, and when it last said 503 (steady ms). */
  lastOk = -Infinity;
  lastRefusal = -Infinity;

  constructor(
    private readonly http: HttpClient,
    private readonly address: string,
    limits: Settings['cluster']['state'],
    nodes: number,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {
    const { rps, write_rps } = limits;
    this.requests = new TokenBucket(clock, rps * RATE_SHARE, rps * RATE_SHARE, Math.min(rps * RATE_SHARE, rps / nodes));
    const writes = write_rps * RATE_SHARE;
    this.writes = new TokenBucket(clock, writes, Math.max(writes, 4), Math.min(writes, write_rps / nodes));
  }

  private async call(method: string, path: string, body: unknown, priority: Priority, timeoutMs: number, cost = 0) {
    if (cost > 0) await this.writes.take(cost, priority);
    await this.requests.take(1, priority);
    let reply: Reply;
    try {
      reply = await this.http.call(this.address, method, path, body, { timeoutMs, connectMs: STATE_TIMEOUT_MS });
    } catch (error) {
      if (error instanceof NoAnswer) this.lastRefusal = this.clock.now();
      throw error;
    }
    if (reply.status === 503) this.lastRefusal = this.clock.now();
    else this.lastOk = this.clock.now();
    if (reply.status === 429) {
      const pause = this.random.jitter(120, 0.5);
      if (cost > 0) this.writes.backOff(pause, priority);
      this.requests.backOff(pause / 4, priority);
    }
    return reply;
  }

  private async read(path: string, priority: Priority, timeoutMs = STATE_TIMEOUT_MS): Promise<Reply> {
    try {
      return await this.call('GET', path, undefined, priority, timeoutMs);
    } catch (error) {
      throw new StateError((error as Error).message, 0);
    }
  }

  async get(key: string, priority: Priority): Promise<{ value: unknown; stamp: number; epoch?: number }> {
    const reply = await this.read(`/store/${key}`, priority);
    if (reply.status === 404) return { value: undefined, stamp: 0, epoch: (reply.body as { Epoch: number }).Epoch };
    if (reply.status !== 200) throw new StateError(`get ${key}: ${reply.status}`, reply.status);
    const row = reply.body as WireRow;
    return { value: row.V, stamp: row.Stamp };
  }

  async list(prefix: string, from: string | undefined, limit: number, priority: Priority) {
    const after = from === undefined ? '' : `&From=${encodeURIComponent(from)}`;
    const path = `/store?Starts=${encodeURIComponent(prefix)}${after}&Limit=${limit}`;
    const reply = await this.read(path, priority, STATE_TIMEOUT_MS * 2);
    if (reply.status !== 200) throw new StateError(`list: ${reply.status}`, reply.status);
    const body = reply.body as { Rows: WireRow[]; HasNext: boolean; Epoch: number };
    const rows: Row[] = body.Rows.map((row) => ({ key: row.K, value: row.V, stamp: row.Stamp }));
    return { rows, more: body.HasNext, epoch: body.Epoch };
  }

  /** undefined: `from` is too old, the keys must be read again. */
  async watch(prefix: string, from: number, waitMs: number, priority: Priority) {
    const path = `/watch?Starts=${encodeURIComponent(prefix)}&From=${from}&WaitMs=${waitMs}`;
    const reply = await this.read(path, priority, waitMs + STATE_TIMEOUT_MS);
    if (reply.status === 410) return undefined;
    if (reply.status !== 200) throw new StateError(`watch: ${reply.status}`, reply.status);
    const body = reply.body as { Epoch: number; News: { Set?: string; Drop?: string; V?: unknown; Stamp: number }[] };
    const changes: Change[] = (body.News ?? []).map((item) =>
      item.Set !== undefined
        ? { key: item.Set, value: item.V, stamp: item.Stamp }
        : { key: item.Drop!, value: undefined, stamp: item.Stamp },
    );
    return { epoch: body.Epoch, changes };
  }

  async txn(conditions: Condition[], writes: Write[], priority: Priority): Promise<TxnResult> {
    const body = {
      If: conditions.map((c) => ({ K: c.key, Stamp: c.stamp })),
      Apply: writes.map((w) =>
        w.value === undefined
          ? { Drop: w.key }
          : w.latch === undefined
            ? { Set: w.key, V: w.value }
            : { Set: w.key, V: w.value, Latch: w.latch },
      ),
    };
    let reply: Reply;
    try {
      reply = await this.call('POST', '/txn', body, priority, STATE_TIMEOUT_MS, writes.length);
    } catch (error) {
      return error instanceof NoAnswer && !error.sent ? { kind: 'refused', status: 0 } : { kind: 'unknown' };
    }
    const answer = reply.body as { Epoch: number; failed: string[]; error?: string };
    switch (reply.status) {
      case 200:
        return { kind: 'done', epoch: answer.Epoch };
      case 409:
        return { kind: 'conflict', failed: answer.failed, epoch: answer.Epoch };
      case 400:
        return answer?.error === 'no such lease'
          ? { kind: 'no_hold' }
          : { kind: 'malformed', why: String(answer?.error) };
      case 429:
      case 503:
        return { kind: 'refused', status: reply.status };
      default:
        return { kind: 'unknown' };
    }
  }

  async createHold(ttlMs: number): Promise<number> {
    const reply = await this.holdCall('POST', '/holds', { TtlMs: ttlMs });
    if (reply.status !== 200) throw new StateError(`hold: ${reply.status}`, reply.status);
    return (reply.body as { Latch: number }).Latch;
  }

  /** False: the hold is over. */
  async renewHold(latch: number): Promise<boolean> {
    const reply = await this.holdCall('POST', `/holds/${latch}/renew`, {});
    if (reply.status === 404) return false;
    if (reply.status !== 200) throw new StateError(`renew: ${reply.status}`, reply.status);
    return true;
  }

  private async holdCall(method: string, path: string, body: unknown): Promise<Reply> {
    try {
      return await this.call(method, path, body, Priority.hold, STATE_TIMEOUT_MS);
    } catch (error) {
      throw new StateError((error as Error).message, 0);
    }
  }
}
