import type { Reply } from '../src/net/http-client.js';
import type { Clock } from '../src/net/clock.js';
import type { Resources } from '../src/domain/resources.js';
import type { FakeGangs } from './fake-gangs.js';
import type { Submission } from './submission-wire-codec.js';

/** ms for which a worker waits for an answer to its report, and ms until it then tries the next node. */
export const ANSWER_MS = 4000;
const NEXT_NODE_MS = 1000;

type Phase = 'fetching' | 'waiting' | 'running' | 'flushing' | 'exited';

interface Task {
  Try: number;
  Phase: Phase;
  Cause?: string;
  Saved?: boolean;
  /** When its next step is due if nobody commands otherwise. */
  dueAt: number;
  orderedAt: number;
}

interface Order {
  Verb: string;
  Shard: string;
  Try: number;
  WindDownS?: number;
}

interface Orders {
  Fence: number;
  Tenure?: number;
  Orders: Order[];
}

/** What a worker needs to know of a job; its user has uploaded it. */
export type JobDescription = Pick<
  Submission,
  'kind' | 'taskCount' | 'cpus' | 'gpus' | 'memoryGb' | 'image' | 'checkpointIntervalS' | 'checkpointS'
>;

/** What all workers share. */
export interface Surroundings {
  leaseS: number;
  describe(jobId: string): JobDescription | undefined;
  gangs: FakeGangs;
  /** Tasks that are done: their results are kept. */
  results: Set<string>;
}

export interface WorkerOptions {
  machineId: string;
  machineType?: string;
  zone?: string;
  isSpot?: boolean;
  /** How long tasks run, ms; undefined, for services and for jobs named j-svc...: until they are killed. */
  runMs?: number;
  /** How long it takes to fetch an image; 0 if left out. */
  imageMs?: number;
  /** Every task that starts here fails. */
  sick?: boolean;
  /** Tasks that fail here, like those of a job that was submitted with a mistake. */
  fails?: (taskId: string) => boolean;
}

const refOf = (taskId: string) => taskId.slice(0, taskId.lastIndexOf('/'));

/** A stand-in of a worker, by the protocol's words; it also keeps account of what ran when. */
export class FakeWorker {
  readonly tasks = new Map<string, Task>();
  endpoint: string;
  readonly history: { taskId: string; attempt: number; from: number; to: number | undefined }[] = [];
  agentEpoch = 1;
  sequence = 0;
  fencingToken = 0;
  warningS: number | null = null;
  lastAnswered: number;
  /** Called when a task has its image; `orderedAt`: when the command was sent. */
  onStart: (taskId: string, orderedAt: number) => void = () => undefined;
  /** Called when a launch has been carried out; `fence`: the token that it came with. */
  onLaunch: (taskId: string, attempt: number, fencingToken: number) => void = () => undefined;
  /** Called when a task that has started ends, also with the machine. */
  onEnd: (taskId: string, cause: string) => void = () => undefined;
  private readonly images = new Set<string>();
  private dead = false;
  private hungSince: number | undefined;
  /** Its lease ran out while it hung; it learns that when it goes on. */
  private leaseOver = false;
  private sleepers: (() => void)[] = [];
  private wakesAt = Infinity;
  private at: string | undefined;
  private telling = false;
  /** Until then it waits before it tries another node. */
  private waitsUntil = -Infinity;

  constructor(
    private readonly clock: Clock,
    readonly options: WorkerOptions,
    private readonly room: Resources,
    private readonly around: Surroundings,
  ) {
    this.endpoint = `${options.machineId}:9000`;
    this.lastAnswered = clock.now();
    this.wake();
  }

  get hangs(): boolean {
    return this.hungSince !== undefined;
  }

  /** It stops: no task goes on, no command is carried out, until it goes on. */
  hang(): void {
    this.hungSince ??= this.clock.now();
    for (const [taskId, task] of this.tasks) this.around.gangs.hung(this, taskId, task.Try);
  }

  /** It goes on where it stopped; what reached it in the meantime comes next, in order. */
  goOn(): void {
    if (this.hungSince === undefined) return;
    const hungMs = this.clock.now() - this.hungSince;
    this.hungSince = undefined;
    for (const task of this.tasks.values()) task.dueAt += hungMs;
    if (this.leaseOver) this.beginSession();
    this.leaseOver = false;
    this.pass();
    for (const go of this.sleepers.splice(0)) go();
  }

  private async awake(): Promise<void> {
    while (this.hangs) await new Promise<void>((resolve) => this.sleepers.push(resolve));
  }

  /** The machine is gone, with all that is on it. */
  die(): void {
    for (const [taskId, task] of this.tasks) if (task.Phase !== 'exited') this.end(taskId, 'gone');
    this.dead = true;
  }

  private get leaseEnd(): number {
    return this.lastAnswered + this.around.leaseS * 1000;
  }

  private beginSession(): void {
    this.tasks.clear();
    this.agentEpoch++;
    this.lastAnswered = this.clock.now();
  }

  /** Sees to it that leases and tasks end at their time, though nobody looks. */
  private wake(): void {
    let next = this.leaseOver ? Infinity : this.leaseEnd;
    if (!this.hangs) for (const task of this.tasks.values()) next = Math.min(next, task.dueAt);
    if (this.dead || next >= this.wakesAt || next === Infinity) return;
    this.wakesAt = next;
    void this.clock.sleep(next - this.clock.now()).then(() => {
      if (this.wakesAt === next) this.wakesAt = Infinity;
      this.pass();
    });
  }

  /** All that is due by now. */
  private pass(): void {
    if (this.dead) return;
    const now = this.clock.now();
    if (now >= this.leaseEnd && !this.leaseOver) {
      // What hangs can't go on any more after this moment, so it has ended too.
      for (const [taskId, task] of this.tasks) if (task.Phase !== 'exited') this.end(taskId, 'killed');
      if (this.hangs) this.leaseOver = true;
      else this.beginSession();
    }
    if (!this.hangs) {
      for (const [taskId, task] of this.tasks) {
        if (task.Phase === 'running' && (this.options.sick === true || this.options.fails?.(taskId) === true))
          this.end(taskId, 'error');
        else if (now >= task.dueAt) this.step(taskId, task);
      }
    }
    this.wake();
  }

  private step(taskId: string, task: Task): void {
    if (task.Phase === 'fetching') this.hasImage(taskId, task);
    else if (task.Phase === 'waiting') this.end(taskId, 'alone');
    else if (task.Phase === 'running') this.end(taskId, 'done');
    else if (task.Phase === 'flushing') this.end(taskId, 'stopped', true);
  }

  private hasImage(taskId: string, task: Task): void {
    const job = this.around.describe(refOf(taskId))!;
    this.images.add(job.image);
    this.history.push({ taskId, attempt: task.Try, from: this.clock.now(), to: undefined });
    this.onStart(taskId, task.orderedAt);
    task.Phase = 'running';
    if (this.around.results.has(taskId)) return this.end(taskId, 'done');
    if (job.kind !== 'gang') return this.run(taskId);
    task.Phase = 'waiting';
    task.dueAt = this.clock.now() + this.around.gangs.waitMs;
    this.around.gangs.join(this, taskId, task.Try, job);
  }

  /** It runs from now on. How long a gang runs is up to all its members. */
  run(taskId: string): void {
    const task = this.tasks.get(taskId)!;
    const { kind } = this.around.describe(refOf(taskId))!;
    task.Phase = 'running';
    task.dueAt = kind === 'gang' ? Infinity : this.clock.now() + this.runMs(taskId);
    this.wake();
  }

  runMs(taskId: string): number {
    const { kind } = this.around.describe(refOf(taskId))!;
    return kind === 'service' || taskId.startsWith('j-svc') ? Infinity : (this.options.runMs ?? Infinity);
  }

  end(taskId: string, cause: string, saved?: boolean): void {
    const task = this.tasks.get(taskId)!;
    const hadImage = task.Phase !== 'fetching';
    Object.assign(task, { Phase: 'exited', Cause: cause, Saved: saved, dueAt: Infinity });
    if (!hadImage) return;
    const run = this.history.findLast((each) => each.taskId === taskId && each.attempt === task.Try);
    if (run !== undefined) run.to = this.clock.now();
    if (cause === 'done') this.around.results.add(taskId);
    this.onEnd(taskId, cause);
    this.around.gangs.left(taskId, task.Try);
  }

  /** Its report as it would send it now. */
  report(): Record<string, unknown> {
    this.pass();
    return {
      Host: this.options.machineId,
      Endpoint: this.endpoint,
      Flavor: this.options.machineType ?? 'c8',
      Site: this.options.zone ?? 'a',
      Reclaimable: this.options.isSpot ?? false,
      Tenure: this.agentEpoch,
      Tick: ++this.sequence,
      Fence: this.fencingToken,
      WarningS: this.warningS,
      Shards: [...this.tasks].map(([Shard, { Try, Phase, Cause, Saved }]) => ({ Shard, Try, Phase, Cause, Saved })),
    };
  }

  private obey(body: Orders, sentAt: number): void {
    for (const order of body.Orders) {
      const task = this.tasks.get(order.Shard);
      if (order.Verb === 'launch') this.launch(order, task, sentAt);
      else if (task?.Try === order.Try) {
        if (order.Verb === 'kill' && task.Phase !== 'exited') this.stopTask(order, task);
        if (order.Verb === 'forget' && task.Phase === 'exited') this.tasks.delete(order.Shard);
      }
    }
    this.pass();
  }

  private launch({ Shard, Try }: Order, known: Task | undefined, orderedAt: number): void {
    if (known?.Try === Try) return;
    const job = this.around.describe(refOf(Shard));
    const dueAt = this.clock.now() + (job === undefined || this.images.has(job.image) ? 0 : this.imageMs);
    const task: Task = { Try, Phase: 'fetching', dueAt, orderedAt };
    const refusal = this.whyRefused(job, known);
    if (refusal === 'in_use') return;
    this.tasks.set(Shard, task);
    if (refusal === undefined) this.onLaunch(Shard, Try, this.fencingToken);
    if (refusal !== undefined) this.end(Shard, refusal);
    else if (dueAt <= this.clock.now()) this.hasImage(Shard, task);
  }

  private get imageMs(): number {
    return this.options.imageMs ?? 0;
  }

  private whyRefused(job: JobDescription | undefined, known: Task | undefined): string | undefined {
    if (job === undefined) return 'unknown';
    // Which of the two attempts a report then shows is not told; the one that goes on is the one that matters.
    if (known !== undefined && known.Phase !== 'exited') return 'in_use';
    const free = { ...this.room };
    for (const [taskId, task] of this.tasks) {
      if (task.Phase === 'exited') continue;
      const other = this.around.describe(refOf(taskId))!;
      for (const amount of ['cpus', 'gpus', 'memoryGb'] as const) free[amount] -= other[amount];
    }
    const fits = job.cpus <= free.cpus && job.gpus <= free.gpus && job.memoryGb <= free.memoryGb;
    return fits ? undefined : 'no_room';
  }

  private stopTask({ Shard, Try, WindDownS = 0 }: Order, task: Task): void {
    const { kind, checkpointIntervalS, checkpointS } = this.around.describe(refOf(Shard))!;
    const saves = task.Phase === 'running' && checkpointIntervalS > 0 && WindDownS >= checkpointS;
    if (task.Phase === 'flushing' && WindDownS > 0) return;
    if (!saves) return this.end(Shard, 'stopped');
    if (kind === 'gang') return this.around.gangs.stop(Shard, Try);
    task.Phase = 'flushing';
    task.dueAt = this.clock.now() + checkpointS * 1000;
  }

  /** What `/commands` and `/show` do. */
  async handle(_method: string, path: string, body: unknown, sentAt = this.clock.now()): Promise<Reply> {
    await this.awake();
    // What a cut held back and delivers now finds nobody.
    if (this.dead) return new Promise<Reply>(() => undefined);
    this.pass();
    if (path === '/show') return { status: 200, body: this.report() };
    const orders = body as Orders;
    if (orders.Fence < this.fencingToken || orders.Tenure !== this.agentEpoch)
      return { status: 409, body: this.report() };
    this.fencingToken = orders.Fence;
    this.obey(orders, sentAt);
    return { status: 200, body: this.report() };
  }

  /** Sends one report to a node; `send` brings that node's answer, or undefined if there is none. */
  async tell(nodes: string[], send: (node: string, report: unknown) => Promise<Reply | undefined>): Promise<void> {
    if (this.telling || this.hangs || this.clock.now() < this.waitsUntil) return;
    this.telling = true;
    await this.tellNow(nodes, send);
    this.telling = false;
  }

  private async tellNow(
    nodes: string[],
    send: (node: string, report: unknown) => Promise<Reply | undefined>,
  ): Promise<void> {
    this.at ??= nodes[0]!;
    const sentAt = this.clock.now();
    const report = this.report();
    const agentEpoch = this.agentEpoch;
    const answer = await send(this.at, report);
    await this.awake();
    this.pass();
    const reply = this.clock.now() - sentAt > ANSWER_MS ? undefined : answer;
    if (reply?.status === 200) {
      const orders = reply.body as Orders;
      if (this.dead || orders.Fence < this.fencingToken || agentEpoch !== this.agentEpoch) return;
      this.fencingToken = orders.Fence;
      this.lastAnswered = sentAt;
      this.obey(orders, this.clock.now());
      return;
    }
    const steward = reply?.status === 421 ? (reply.body as { Steward?: string }).Steward : undefined;
    if (steward !== undefined && steward !== this.at && nodes.includes(steward)) {
      this.at = steward;
      return;
    }
    this.at = nodes[(nodes.indexOf(this.at) + 1) % nodes.length]!;
    this.waitsUntil = this.clock.now() + NEXT_NODE_MS;
  }
}
