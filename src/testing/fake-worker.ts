import type { Reply } from '../net/http-client.js';
import type { FakeClock } from './fake-clock.js';

interface Task {
  Try: number;
  Phase: string;
  Cause?: string;
  startedAt: number;
}

interface Orders {
  Fence: number;
  Tenure?: number;
  Orders: { Verb: string; Shard: string; Try: number; WindDownS?: number }[];
}

export interface WorkerOptions {
  host: string;
  flavor?: string;
  site?: string;
  reclaimable?: boolean;
  leaseS: number;
  /** How long tasks run, ms; undefined, or for j-svc: until they are killed. */
  runMs?: number;
  /** Every task that starts here fails. */
  sick?: boolean;
}

/** A stand-in of a worker, by the protocol's words; it also keeps account of what ran when. */
export class FakeWorker {
  readonly tasks = new Map<string, Task>();
  readonly endpoint: string;
  readonly history: { shard: string; attempt: number; from: number; to: number | undefined }[] = [];
  tenure = 1;
  tick = 0;
  fence = 0;
  warningS: number | null = null;
  lastAnswered: number;
  /** Called when a task starts; `orderedAt`: when the command was sent. */
  onStart: (shard: string, orderedAt: number) => void = () => undefined;
  /** Called when a task that has started ends, also with the machine. */
  onEnd: (shard: string, cause: string) => void = () => undefined;
  private dead = false;
  private wakesAt = Infinity;
  private at: string | undefined;
  private telling = false;
  /** Until then it waits for an answer that does not come, and a little more. */
  private waitsUntil = -Infinity;

  constructor(
    private readonly clock: FakeClock,
    readonly options: WorkerOptions,
  ) {
    this.endpoint = `${options.host}:9000`;
    this.lastAnswered = clock.now();
    this.wake();
  }

  /** Sees to it that leases and tasks end at their time, though nobody looks. */
  private wake(): void {
    let next = this.lastAnswered + this.options.leaseS * 1000;
    for (const [shard, task] of this.tasks) {
      if (task.Phase === 'running' && !this.isEndless(shard))
        next = Math.min(next, task.startedAt + this.options.runMs!);
    }
    if (this.dead || next >= this.wakesAt) return;
    this.wakesAt = next;
    void this.clock.sleep(next - this.clock.now()).then(() => {
      if (this.wakesAt === next) this.wakesAt = Infinity;
      this.pass();
    });
  }

  private isEndless(shard: string): boolean {
    return this.options.runMs === undefined || shard.startsWith('j-svc');
  }

  /** The machine is gone, with all that is on it. */
  die(): void {
    this.dead = true;
    for (const [shard, task] of this.tasks) if (task.Phase !== 'exited') this.end(shard, 'gone');
  }

  private end(shard: string, cause: string): void {
    const task = this.tasks.get(shard)!;
    task.Phase = 'exited';
    task.Cause = cause;
    const run = this.history.findLast((each) => each.shard === shard && each.attempt === task.Try);
    if (run !== undefined) run.to = this.clock.now();
    this.onEnd(shard, cause);
  }

  private pass(): void {
    if (this.dead) return;
    const now = this.clock.now();
    if (now - this.lastAnswered >= this.options.leaseS * 1000) {
      for (const [shard, task] of this.tasks) if (task.Phase !== 'exited') this.end(shard, 'killed');
      this.tasks.clear();
      this.tenure++;
      this.lastAnswered = now;
    }
    for (const [shard, task] of this.tasks) {
      const { runMs, sick } = this.options;
      if (task.Phase === 'running' && sick) this.end(shard, 'error');
      const over = !this.isEndless(shard) && now - task.startedAt >= runMs!;
      if (task.Phase === 'running' && over) this.end(shard, 'done');
    }
    this.wake();
  }

  /** Its report as it would send it now. */
  report(): Record<string, unknown> {
    this.pass();
    return {
      Host: this.options.host,
      Endpoint: this.endpoint,
      Flavor: this.options.flavor ?? 'c8',
      Site: this.options.site ?? 'a',
      Reclaimable: this.options.reclaimable ?? false,
      Tenure: this.tenure,
      Tick: ++this.tick,
      Fence: this.fence,
      WarningS: this.warningS,
      Shards: [...this.tasks].map(([Shard, { Try, Phase, Cause }]) => ({ Shard, Try, Phase, Cause })),
    };
  }

  private obey(body: Orders, sentAt: number): void {
    for (const order of body.Orders) {
      const task = this.tasks.get(order.Shard);
      if (order.Verb === 'launch') {
        if (task?.Try === order.Try) continue;
        if (task !== undefined && task.Phase !== 'exited') continue;
        this.tasks.set(order.Shard, { Try: order.Try, Phase: 'running', startedAt: this.clock.now() });
        this.history.push({ shard: order.Shard, attempt: order.Try, from: this.clock.now(), to: undefined });
        this.onStart(order.Shard, sentAt);
      } else if (task?.Try === order.Try) {
        if (order.Verb === 'kill' && task.Phase !== 'exited') this.end(order.Shard, 'stopped');
        if (order.Verb === 'forget' && task.Phase === 'exited') this.tasks.delete(order.Shard);
      }
    }
    this.wake();
  }

  /** What `/commands` and `/show` do. */
  handle(_method: string, path: string, body: unknown, sentAt = this.clock.now()): Reply {
    this.pass();
    if (path === '/show') return { status: 200, body: this.report() };
    const orders = body as Orders;
    if (orders.Fence < this.fence || orders.Tenure !== this.tenure) return { status: 409, body: this.report() };
    this.fence = orders.Fence;
    this.obey(orders, sentAt);
    return { status: 200, body: this.report() };
  }

  /** Sends one report to a node; `hello` is that node's answer. */
  async tell(nodes: Map<string, (body: unknown) => Reply | undefined | Promise<Reply | undefined>>): Promise<void> {
    if (this.telling || this.clock.now() < this.waitsUntil) return;
    this.telling = true;
    await this.tellNow(nodes);
    this.telling = false;
  }

  private async tellNow(
    nodes: Map<string, (body: unknown) => Reply | undefined | Promise<Reply | undefined>>,
  ): Promise<void> {
    const names = [...nodes.keys()];
    this.at ??= names[0]!;
    const sentAt = this.clock.now();
    const report = this.report();
    const tenure = this.tenure;
    const reply = await nodes.get(this.at)?.(JSON.parse(JSON.stringify(report)));
    if (reply?.status === 200) {
      const orders = JSON.parse(JSON.stringify(reply.body)) as Orders;
      if (orders.Fence < this.fence || tenure !== this.tenure) return;
      this.fence = orders.Fence;
      this.lastAnswered = sentAt;
      this.obey(orders, this.clock.now());
      return;
    }
    if (reply === undefined) this.waitsUntil = sentAt + 5000;
    const steward = reply?.status === 421 ? (reply.body as { Steward?: string }).Steward : undefined;
    const next = names[(names.indexOf(this.at) + 1) % names.length]!;
    this.at = steward !== undefined && steward !== this.at && nodes.has(steward) ? steward : next;
  }
}
