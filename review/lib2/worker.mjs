/* global setTimeout, clearTimeout, Buffer, performance */
// A stand-in of a machine with its worker: reports, commands, tokens, the lease and the tasks, as the protocol states them.
import { Client, listen, MAX_BODY_BYTES } from './http.mjs';

const ANSWER_TIMEOUT_MS = 4000;
const NEXT_NODE_MS = 1000;
const MIN_REPORT_PAUSE_MS = 500;

export class Worker {
  /** `environment`: { workers: settings, nodes: Map of addresses, jobs: Map of submissions, runS(taskId), event(kind, fields) }. */
  constructor({ host, flavor, site, reclaimable = false, firstTick = 0 }, environment) {
    Object.assign(this, { host, flavor, site, reclaimable, environment });
    this.tick = firstTick;
    this.tenure = 1;
    this.fence = 0;
    this.tasks = new Map();
    this.bundles = new Set();
    this.client = new Client();
    this.isStopped = false;
    this.hasChanged = false;
    this.wake = () => undefined;
    /** The only controller that this machine's reports reach; undefined: all of them. */
    this.onlyNode = undefined;
    /** No command reaches the machine. */
    this.isUnreachable = false;
    /** The controller that answered the last report with 200. */
    this.steward = undefined;
  }

  async start() {
    this.server = await listen((method, path, body, bytes) => this.handle(method, path, body, bytes));
    this.renewedAt = performance.now();
    this.nodes = [...this.environment.nodes.keys()];
    this.node = this.nodes[Math.floor(Math.random() * this.nodes.length)];
    this.scheduleExpiry();
    void this.reportRepeatedly();
  }

  /** The machine is gone, and everything on it. */
  stop() {
    this.isStopped = true;
    clearTimeout(this.expiryTimer);
    for (const [shard, task] of this.tasks) this.end(shard, task, 'gone');
    this.wake();
    this.client.close();
    this.server?.close();
  }

  // The lease.

  scheduleExpiry() {
    clearTimeout(this.expiryTimer);
    const dueAt = this.renewedAt + this.environment.workers.lease_s * 1000;
    this.expiryTimer = setTimeout(() => this.expireLease(), Math.max(0, dueAt - performance.now()));
  }

  expireLease() {
    if (this.isStopped) return;
    if (performance.now() < this.renewedAt + this.environment.workers.lease_s * 1000) return this.scheduleExpiry();
    const lost = [...this.tasks.values()].filter(({ phase }) => phase !== 'exited').length;
    this.environment.event('lease expired', { host: this.host, tenure: this.tenure, tasksLost: lost });
    for (const [taskId, task] of this.tasks) this.end(taskId, task, 'killed');
    this.tasks.clear();
    this.tenure++;
    this.renewedAt = performance.now();
    this.changed();
    this.scheduleExpiry();
  }

  // Reports.

  compose() {
    this.tick += this.environment.tickStep ?? 1;
    const shards = [...this.tasks].map(([shard, { attempt, phase, cause }]) => ({
      Shard: shard,
      Try: attempt,
      Phase: phase,
      ...(cause === undefined ? {} : { Cause: cause }),
    }));
    return {
      Host: this.host,
      Endpoint: this.server.address,
      Flavor: this.flavor,
      Site: this.site,
      Reclaimable: this.reclaimable,
      Tenure: this.tenure,
      Tick: this.tick,
      Fence: this.fence,
      WarningS: null,
      Shards: shards,
    };
  }

  changed() {
    this.hasChanged = true;
    this.wake();
  }

  async pause(ms) {
    await new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  async reportRepeatedly() {
    while (!this.isStopped) {
      const sentAt = performance.now();
      const waitMs = await this.report();
      if (this.isStopped) return;
      if (waitMs > 0) {
        await new Promise((resolve) => setTimeout(resolve, waitMs));
        continue;
      }
      const periodMs = this.environment.workers.report_s * 1000 * (0.75 + Math.random() / 2);
      while (!this.isStopped && !this.hasChanged && performance.now() < sentAt + periodMs) {
        await this.pause(sentAt + periodMs - performance.now());
      }
      const restMs = sentAt + MIN_REPORT_PAUSE_MS - performance.now();
      if (restMs > 0) await new Promise((resolve) => setTimeout(resolve, restMs));
    }
  }

  /** Sends one report; returns the ms to wait before the next one, 0 for the usual period. */
  async report() {
    this.hasChanged = false;
    const { tenure } = this;
    const body = this.compose();
    const bytes = Buffer.byteLength(JSON.stringify(body));
    if (bytes > MAX_BODY_BYTES) {
      // No request body may be larger, and the report must name all tasks: there is no report that this machine may send.
      this.environment.event('report too large', { host: this.host, bytes, tasks: this.tasks.size });
      return NEXT_NODE_MS;
    }
    const sentAt = performance.now();
    const reply = await this.send(body);
    if (this.isStopped) return 0;
    if (reply.status === 200) {
      this.steward = this.node;
      this.accept(reply.body, sentAt, tenure);
      return 0;
    }
    const steward = reply.status === 421 ? reply.body?.Steward : undefined;
    if (steward !== undefined && steward !== this.node && this.environment.nodes.has(steward)) {
      this.node = steward;
      return Math.random() * 500 + 1;
    }
    this.node = this.nodes[(this.nodes.indexOf(this.node) + 1) % this.nodes.length];
    return NEXT_NODE_MS;
  }

  async send(body) {
    if (this.onlyNode !== undefined && this.onlyNode !== this.node) {
      await new Promise((resolve) => setTimeout(resolve, ANSWER_TIMEOUT_MS));
      return { status: 0, body: undefined };
    }
    return this.client.request(this.environment.nodes.get(this.node), 'POST', '/hello', body, ANSWER_TIMEOUT_MS);
  }

  accept({ Fence: fence, Orders: orders = [] }, sentAt, tenure) {
    if (typeof fence !== 'number' || fence < this.fence || tenure !== this.tenure) return;
    this.see(fence);
    this.renewedAt = sentAt;
    this.execute(orders);
  }

  see(fence) {
    if (fence > this.fence) this.changed();
    this.fence = Math.max(this.fence, fence);
  }

  // Commands.

  handle(method, path, body, bytes) {
    if (this.isUnreachable) return undefined;
    if (path === '/show') return { status: 200, body: this.compose() };
    if (bytes > MAX_BODY_BYTES) {
      this.environment.event('commands too large', { host: this.host, bytes, orders: body?.Orders?.length });
      return { status: 400, body: { error: 'body over 64 KiB' } };
    }
    if (body?.Fence === undefined || body.Tenure === undefined) return { status: 400, body: { error: 'malformed' } };
    if (body.Fence < this.fence || body.Tenure !== this.tenure) return { status: 409, body: this.compose() };
    this.see(body.Fence);
    this.execute(body.Orders ?? []);
    return { status: 200, body: this.compose() };
  }

  execute(orders) {
    for (const { Verb: verb, Shard: shard, Try: attempt } of orders) {
      const task = this.tasks.get(shard);
      if (verb === 'launch') this.launch(shard, attempt, task);
      else if (task?.attempt !== attempt) continue;
      else if (verb === 'kill' && task.phase !== 'exited') this.end(shard, task, 'stopped');
      else if (verb === 'forget' && task.phase === 'exited') {
        this.tasks.delete(shard);
        this.changed();
      }
    }
  }

  launch(shard, attempt, known) {
    if (known?.attempt === attempt) return;
    const task = { attempt, phase: 'fetching', timer: undefined, cause: undefined };
    if (known !== undefined && known.phase !== 'exited') return;
    const job = this.environment.jobs.get(shard.slice(0, shard.lastIndexOf('/')));
    this.tasks.set(shard, task);
    this.changed();
    if (job === undefined) return this.refuse(task, 'unknown');
    if (!this.hasRoom()) return this.refuse(task, 'no_room');
    const fetchS = this.bundles.has(job.Bundle) ? 0 : job.SizeGb / this.environment.fetchGbPerS(this.flavor);
    task.timer = setTimeout(() => this.begin(shard, task, job), fetchS * 1000);
  }

  refuse(task, cause) {
    task.phase = 'exited';
    task.cause = cause;
  }

  /** Whether the tasks that have not exited, the new one included, fit. */
  hasRoom() {
    const free = this.environment.resourcesOf(this.flavor);
    for (const [shard, { phase }] of this.tasks) {
      const job = this.environment.jobs.get(shard.slice(0, shard.lastIndexOf('/')));
      if (phase === 'exited' || job === undefined) continue;
      free.Cpus -= job.Cpus;
      free.Cards -= job.Cards;
      free.MemGb -= job.MemGb;
    }
    return [free.Cpus, free.Cards, free.MemGb].every((amount) => amount > -1e-6);
  }

  begin(shard, task, job) {
    this.bundles.add(job.Bundle);
    task.phase = 'running';
    this.environment.event('task starts', { host: this.host, shard, attempt: task.attempt });
    this.changed();
    if (job.Shape === 'service') return;
    // The result of a completed task is kept.
    if (this.environment.results.has(shard)) return this.end(shard, task, 'done');
    task.timer = setTimeout(() => this.end(shard, task, 'done'), this.environment.runS(shard) * 1000);
  }

  end(shard, task, cause) {
    clearTimeout(task.timer);
    if (task.phase === 'exited') return;
    const hasRun = task.phase === 'running';
    task.phase = 'exited';
    task.cause = cause;
    if (cause === 'done') this.environment.results.add(shard);
    if (hasRun) this.environment.event('task ends', { host: this.host, shard, attempt: task.attempt, cause });
    this.changed();
  }
}
