/* global setTimeout, clearTimeout, setInterval, clearInterval, URL, Buffer, performance */
// A stand-in of the state service: keys with revisions, transactions, leases, watches and the limits of the settings.
import { listen } from './http.mjs';

const MAX_KEY_BYTES = 200;
const MAX_TXN_BYTES = 64 * 1024;
const KEPT_CHANGES = 10_000;
const MAX_PAGE_ROWS = 1000;
const MAX_PAGE_BYTES = 512 * 1024;

const isKey = (key) =>
  typeof key === 'string' && key !== '' && !/\s/.test(key) && Buffer.byteLength(key) <= MAX_KEY_BYTES;

/** A rate with a burst of one second's worth. */
class Rate {
  constructor(perSecond) {
    this.perSecond = perSecond;
    this.tokens = perSecond;
    this.at = performance.now();
  }

  take(count) {
    const now = performance.now();
    this.tokens = Math.min(this.perSecond, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
    if (this.tokens < count) return false;
    this.tokens -= count;
    return true;
  }
}

export class Store {
  constructor({ rps, write_rps, value_kb, txn_ops }) {
    this.limits = { valueBytes: value_kb * 1024, ops: txn_ops };
    this.requestRate = new Rate(rps);
    this.writeRate = new Rate(write_rps);
    this.rows = new Map();
    this.leases = new Map();
    this.changes = [];
    this.waiters = new Set();
    this.epoch = 0;
    this.nextLease = 1;
    /** One for each node, so that a node can be cut off. */
    this.servers = [];
    this.rejected = new Map();
    /** Whether no packet passes between the store and the node. */
    this.isCutOff = () => false;
    this.expiry = setInterval(() => this.expireLeases(), 20);
  }

  /** Opens an address of its own for one node. */
  async open(node) {
    const server = await listen((method, path, body) => this.answer(node, method, path, body));
    this.servers.push(server);
    return server.address;
  }

  close() {
    clearInterval(this.expiry);
    for (const wake of this.waiters) wake();
    for (const server of this.servers) server.close();
  }

  async answer(node, method, path, body) {
    if (this.isCutOff(node)) return undefined;
    const reply = await this.execute(method, path, body);
    if (reply.status === 400 && !reply.body.error?.includes('lease')) {
      const what = `${method} ${path.split('?')[0]}: ${reply.body.error}`;
      this.rejected.set(what, (this.rejected.get(what) ?? 0) + 1);
    }
    return this.isCutOff(node) ? undefined : reply;
  }

  execute(method, path, body) {
    if (!this.requestRate.take(1)) return { status: 429, body: { error: 'too many requests' } };
    this.expireLeases();
    const url = new URL(path, 'http://store');
    const { pathname, searchParams } = url;
    if (method === 'GET' && pathname === '/store') return this.list(searchParams);
    if (method === 'GET' && pathname.startsWith('/store/')) return this.get(pathname.slice('/store/'.length));
    if (method === 'POST' && pathname === '/txn') return this.transact(body);
    if (method === 'GET' && pathname === '/watch') return this.watch(searchParams);
    if (method === 'POST' && pathname === '/holds') return this.grant(body);
    const hold = /^\/holds\/(\d+)(\/renew)?$/.exec(pathname);
    if (hold !== null) return this.updateLease(Number(hold[1]), method, hold[2] !== undefined);
    return { status: 400, body: { error: 'malformed' } };
  }

  get(key) {
    const row = this.rows.get(key);
    return row === undefined ? { status: 404, body: { Epoch: this.epoch } } : { status: 200, body: rowOf(key, row) };
  }

  list(parameters) {
    const prefix = parameters.get('Starts') ?? '';
    const from = parameters.get('From') ?? '';
    const limit = Math.min(MAX_PAGE_ROWS, Number(parameters.get('Limit') ?? MAX_PAGE_ROWS));
    const keys = [...this.rows.keys()].filter((key) => key.startsWith(prefix) && key > from).sort();
    const rows = [];
    let bytes = 0;
    for (const key of keys) {
      const row = rowOf(key, this.rows.get(key));
      bytes += Buffer.byteLength(JSON.stringify(row));
      if (rows.length === limit || bytes > MAX_PAGE_BYTES) break;
      rows.push(row);
    }
    return { status: 200, body: { Rows: rows, HasNext: rows.length < keys.length, Epoch: this.epoch } };
  }

  transact(body) {
    const conditions = body?.If ?? [];
    const changes = body?.Apply ?? [];
    const problem = this.problemOf(conditions, changes, body);
    if (problem !== undefined) return { status: 400, body: { error: problem } };
    if (changes.length > 0 && !this.writeRate.take(changes.length)) {
      return { status: 429, body: { error: 'too many changes' } };
    }
    if (changes.some(({ Latch }) => Latch !== undefined && !this.leases.has(Latch))) {
      return { status: 400, body: { error: 'no such lease' } };
    }
    const failed = conditions.filter(({ K, Stamp }) => (this.rows.get(K)?.stamp ?? 0) !== Stamp).map(({ K }) => K);
    if (failed.length > 0) return { status: 409, body: { failed, Epoch: this.epoch } };
    if (changes.length > 0) this.apply(changes);
    return { status: 200, body: { Epoch: this.epoch } };
  }

  problemOf(conditions, changes, body) {
    const { valueBytes, ops } = this.limits;
    const keys = [...conditions.map(({ K }) => K), ...changes.map(({ Set, Drop }) => Set ?? Drop)];
    const badKey = keys.find((key) => !isKey(key));
    if (badKey !== undefined) return `malformed key ${JSON.stringify(badKey)}`;
    if (changes.length > ops || conditions.length > 4 * ops) return 'too many operations';
    if (Buffer.byteLength(JSON.stringify(body)) > MAX_TXN_BYTES) return 'transaction too large';
    const isTooLarge = ({ V }) => V !== undefined && Buffer.byteLength(JSON.stringify(V)) > valueBytes;
    return changes.some(isTooLarge) ? 'value too large' : undefined;
  }

  apply(changes) {
    const stamp = ++this.epoch;
    for (const { Set: put, Drop: drop, V: value, Latch: latch } of changes) {
      if (put === undefined) this.rows.delete(drop);
      else this.rows.set(put, { value, stamp, latch });
      this.changes.push(put === undefined ? { Drop: drop, Stamp: stamp } : { Set: put, V: value, Stamp: stamp });
    }
    if (this.changes.length > 2 * KEPT_CHANGES) this.changes.splice(0, this.changes.length - KEPT_CHANGES);
    for (const wake of [...this.waiters]) wake();
  }

  async watch(parameters) {
    const prefix = parameters.get('Starts') ?? '';
    const from = Number(parameters.get('From') ?? 0);
    const until = performance.now() + Math.min(60_000, Number(parameters.get('WaitMs') ?? 0));
    const first = this.changes[0]?.Stamp ?? this.epoch + 1;
    if (this.changes.length >= KEPT_CHANGES && from < first - 1) return { status: 410, body: { Epoch: this.epoch } };
    for (;;) {
      const news = this.changesAfter(from).filter(({ Set, Drop }) => (Set ?? Drop).startsWith(prefix));
      const remainingMs = until - performance.now();
      if (news.length > 0 || remainingMs <= 0) return { status: 200, body: { Epoch: this.epoch, News: news } };
      await this.nextChange(remainingMs);
    }
  }

  changesAfter(from) {
    let index = this.changes.length;
    while (index > 0 && this.changes[index - 1].Stamp > from) index--;
    return this.changes.slice(index);
  }

  nextChange(ms) {
    return new Promise((resolve) => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, ms);
      this.waiters.add(wake);
    });
  }

  grant({ TtlMs }) {
    const id = this.nextLease++;
    this.leases.set(id, { ttlMs: TtlMs, until: performance.now() + TtlMs });
    return { status: 200, body: { Latch: id } };
  }

  updateLease(id, method, isRenewal) {
    const lease = this.leases.get(id);
    if (lease === undefined) return { status: 404, body: {} };
    if (method === 'POST' && isRenewal) lease.until = performance.now() + lease.ttlMs;
    else lease.until = -Infinity;
    this.expireLeases();
    return { status: 200, body: {} };
  }

  expireLeases() {
    const now = performance.now();
    for (const [id, { until }] of this.leases) {
      if (until > now) continue;
      this.leases.delete(id);
      const keys = [...this.rows].filter(([, { latch }]) => latch === id).map(([key]) => key);
      if (keys.length > 0) this.apply(keys.map((key) => ({ Drop: key })));
    }
  }
}

const rowOf = (key, { value, stamp, latch }) => ({
  K: key,
  V: value,
  Stamp: stamp,
  ...(latch === undefined ? {} : { Latch: latch }),
});
