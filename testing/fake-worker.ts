/** A fake worker: it executes commands, keeps a lease, and sends heartbeats. */
import type { Clock } from '../src/net/clock.js';
import type { HttpResponse } from '../src/net/http-client.js';
import {
  type CommandBatch,
  decodeCommandBatch,
  encodeWorkerStatus,
  type ExitReason,
  type TaskCommand,
  type TaskStatus,
} from './fake-worker-wire-codec.js';
import { HeartbeatSender, type SendHeartbeat } from './heartbeat-sender.js';
import { type MachineResources, subtractTask } from './machine-resources.js';
import { jobIdOf } from './task-id.js';
import { launchRefusal, type WorkerEnvironment, type WorkerOptions } from './worker-environment.js';
import type { AcceptedLaunch, CommandDelivery, TaskRun } from './worker-events.js';

interface Task extends TaskStatus {
  /** When the next state change is due, unless a command comes first. */
  dueAt: number;
  /** When the command that launched it was sent. */
  commandedAt: number;
}

/** A machine with its agent, and a history of its task runs. */
export class FakeWorker {
  readonly tasks = new Map<string, Task>();
  endpoint: string;
  /** All runs of tasks, in the order of their starts. */
  readonly history: TaskRun[] = [];
  agentEpoch = 1;
  sequence: number | bigint;
  /** The highest fencing token that it has seen. */
  fencingToken = 0;
  /** Seconds until the cloud reclaims the spot machine; null if it has not given notice. */
  spotNoticeS: number | null = null;
  /** When the last heartbeat that was answered had been sent: the lease runs from then. */
  leaseRenewedAt: number;
  /** Called when a task has its image and starts; `commandedAt`: when its launch command was sent. */
  onStart: (taskId: string, commandedAt: number) => void = () => undefined;
  /** Called when a launch has been accepted. */
  onLaunch: (launch: AcceptedLaunch) => void = () => undefined;
  /** Called when a task that has started ends, also because the machine is gone. */
  onEnd: (taskId: string, reason: ExitReason) => void = () => undefined;
  private readonly images = new Set<string>();
  private readonly heartbeats: HeartbeatSender;
  private isDead = false;
  private suspendedAt: number | undefined;
  /** The lease expired while the machine was suspended; the next agent epoch begins when it resumes. */
  private hasExpired = false;
  private resumeWaiters: (() => void)[] = [];
  private wakesAt = Infinity;

  constructor(
    private readonly clock: Clock,
    readonly options: WorkerOptions,
    private readonly capacity: MachineResources,
    private readonly environment: WorkerEnvironment,
  ) {
    this.endpoint = `${options.machineId}:9000`;
    this.sequence = options.firstSequence ?? 0;
    this.leaseRenewedAt = clock.now();
    this.heartbeats = new HeartbeatSender(clock, this);
    this.scheduleWake();
  }

  get isSuspended(): boolean {
    return this.suspendedAt !== undefined;
  }

  /** Suspends the machine: no task makes progress and no command is executed until it resumes. */
  suspend(): void {
    this.suspendedAt ??= this.clock.now();
    for (const [taskId, task] of this.tasks) this.environment.gangs.suspend(this, taskId, task.attempt);
  }

  /** Continues where the machine stopped; requests that arrived in the meantime are then handled in order. */
  resume(): void {
    if (this.suspendedAt === undefined) return;
    const suspendedMs = this.clock.now() - this.suspendedAt;
    this.suspendedAt = undefined;
    for (const task of this.tasks.values()) task.dueAt += suspendedMs;
    if (this.hasExpired) this.beginAgentEpoch();
    this.hasExpired = false;
    this.processDue();
    for (const resume of this.resumeWaiters.splice(0)) resume();
  }

  async untilResumed(): Promise<void> {
    while (this.isSuspended) await new Promise<void>((resolve) => this.resumeWaiters.push(resolve));
  }

  /** The machine is gone, with all its tasks. */
  terminate(): void {
    this.endAll('gone');
    this.isDead = true;
  }

  private get leaseEnd(): number {
    return this.leaseRenewedAt + this.environment.leaseS * 1000;
  }

  private beginAgentEpoch(): void {
    this.tasks.clear();
    this.agentEpoch++;
    this.leaseRenewedAt = this.clock.now();
  }

  /** Schedules `processDue` for the time at which the lease expires or the next task is due. */
  private scheduleWake(): void {
    let next = this.hasExpired ? Infinity : this.leaseEnd;
    if (!this.isSuspended) for (const task of this.tasks.values()) next = Math.min(next, task.dueAt);
    if (this.isDead || next >= this.wakesAt || next === Infinity) return;
    this.wakesAt = next;
    void this.clock.sleep(next - this.clock.now()).then(() => {
      if (this.wakesAt === next) this.wakesAt = Infinity;
      this.processDue();
    });
  }

  /** Applies the lease expiry and the state changes of tasks that are due by now. */
  processDue(): void {
    if (this.isDead) return;
    const now = this.clock.now();
    if (now >= this.leaseEnd && !this.hasExpired) this.expireLease();
    if (!this.isSuspended) for (const [taskId, task] of this.tasks) this.processTask(taskId, task, now);
    this.scheduleWake();
  }

  private expireLease(): void {
    // Tasks of a suspended machine can never continue after this moment, so they end too.
    this.endAll('killed');
    if (this.isSuspended) this.hasExpired = true;
    else this.beginAgentEpoch();
  }

  private endAll(reason: ExitReason): void {
    for (const [taskId, task] of this.tasks) if (task.state !== 'exited') this.end(taskId, reason);
  }

  private processTask(taskId: string, task: Task, now: number): void {
    const { failsAllTasks, failsTask } = this.options;
    const fails = failsAllTasks === true || failsTask?.(taskId) === true;
    if (task.state === 'running' && fails) this.end(taskId, 'error');
    else if (now >= task.dueAt) this.step(taskId, task);
  }

  private step(taskId: string, task: Task): void {
    switch (task.state) {
      case 'fetching':
        return this.start(taskId, task);
      case 'waiting':
        return this.end(taskId, 'gang_incomplete');
      case 'running':
        return this.end(taskId, 'done');
      case 'checkpointing':
        return this.end(taskId, 'stopped', true);
      case 'exited':
    }
  }

  /** Starts the task, whose image has been fetched. */
  private start(taskId: string, task: Task): void {
    const job = this.environment.describe(jobIdOf(taskId))!;
    this.images.add(job.image);
    this.history.push({ taskId, attempt: task.attempt, from: this.clock.now(), to: undefined });
    this.onStart(taskId, task.commandedAt);
    task.state = 'running';
    if (this.environment.results.has(taskId)) return this.end(taskId, 'done');
    if (job.kind !== 'gang') return this.run(taskId);
    task.state = 'waiting';
    task.dueAt = this.clock.now() + this.environment.gangs.memberWaitMs;
    this.environment.gangs.join(this, taskId, task.attempt, job);
  }

  /** Runs the task from now on. The end of a gang's tasks is decided for all members together. */
  run(taskId: string): void {
    const task = this.tasks.get(taskId)!;
    const { kind } = this.environment.describe(jobIdOf(taskId))!;
    task.state = 'running';
    task.dueAt = kind === 'gang' ? Infinity : this.clock.now() + this.runMs(taskId);
    this.scheduleWake();
  }

  runMs(taskId: string): number {
    const { kind } = this.environment.describe(jobIdOf(taskId))!;
    return kind === 'service' || taskId.startsWith('j-svc') ? Infinity : (this.options.runMs ?? Infinity);
  }

  /** Ends the task. */
  end(taskId: string, exitReason: ExitReason, isCheckpointed?: boolean): void {
    const task = this.tasks.get(taskId)!;
    const hasStarted = task.state !== 'fetching';
    Object.assign(task, { state: 'exited', exitReason, isCheckpointed, dueAt: Infinity } satisfies Partial<Task>);
    if (!hasStarted) return;
    const run = this.history.findLast((each) => each.taskId === taskId && each.attempt === task.attempt);
    if (run !== undefined) run.to = this.clock.now();
    if (exitReason === 'done') this.environment.results.add(taskId);
    this.onEnd(taskId, exitReason);
    this.environment.gangs.leave(taskId, task.attempt);
  }

  /** Composes the next heartbeat. */
  composeHeartbeat(): object {
    this.processDue();
    return encodeWorkerStatus({
      machineId: this.options.machineId,
      endpoint: this.endpoint,
      machineType: this.options.machineType ?? 'c8',
      zone: this.options.zone ?? 'a',
      isSpot: this.options.isSpot ?? false,
      agentEpoch: this.agentEpoch,
      sequence: this.nextSequence(),
      fencingToken: this.fencingToken,
      spotNoticeS: this.spotNoticeS,
      tasks: this.tasks,
    });
  }

  private nextSequence(): number | bigint {
    this.sequence = typeof this.sequence === 'bigint' ? this.sequence + 1n : this.sequence + 1;
    return this.sequence;
  }

  private execute(commands: readonly TaskCommand[], delivery: CommandDelivery): void {
    for (const command of commands) {
      const task = this.tasks.get(command.taskId);
      if (command.kind === 'launch') this.launch(command, task, delivery);
      else if (task?.attempt === command.attempt) {
        if (command.kind === 'kill' && task.state !== 'exited')
          this.stopTask(command.taskId, task, command.gracePeriodS);
        if (command.kind === 'forget' && task.state === 'exited') this.tasks.delete(command.taskId);
      }
    }
    this.processDue();
  }

  private launch({ taskId, attempt }: TaskCommand, known: Task | undefined, delivery: CommandDelivery): void {
    if (known?.attempt === attempt) return;
    const job = this.environment.describe(jobIdOf(taskId));
    const dueAt = this.clock.now() + this.fetchMs(job?.image);
    // The protocol does not say which of two attempts a heartbeat then reports: this worker keeps the running one.
    if (job !== undefined && known !== undefined && known.state !== 'exited') return;
    const refusal = launchRefusal(job, this.freeResources());
    const task: Task = { attempt, state: 'fetching', dueAt, commandedAt: delivery.sentAt };
    this.tasks.set(taskId, task);
    if (refusal !== undefined) return this.end(taskId, refusal);
    this.onLaunch({ taskId, attempt, fencingToken: this.fencingToken, isCopy: delivery.isCopy === true });
    if (dueAt <= this.clock.now()) this.start(taskId, task);
  }

  private fetchMs(image: string | undefined): number {
    return image === undefined || this.images.has(image) ? 0 : (this.options.imageMs ?? 0);
  }

  private freeResources(): MachineResources {
    const free = { ...this.capacity };
    for (const [taskId, task] of this.tasks) {
      if (task.state !== 'exited') subtractTask(free, this.environment.describe(jobIdOf(taskId))!);
    }
    return free;
  }

  private stopTask(taskId: string, task: Task, gracePeriodS: number): void {
    const { kind, checkpointIntervalS, checkpointS } = this.environment.describe(jobIdOf(taskId))!;
    const canSave = task.state === 'running' && checkpointIntervalS > 0 && gracePeriodS >= checkpointS;
    if (task.state === 'checkpointing' && gracePeriodS > 0) return;
    if (!canSave) return this.end(taskId, 'stopped');
    if (kind === 'gang') return this.environment.gangs.stop(taskId, task.attempt);
    task.state = 'checkpointing';
    task.dueAt = this.clock.now() + checkpointS * 1000;
  }

  /** Handles the requests `/commands` and `/show`. */
  async handle(
    path: string,
    body: unknown,
    delivery: CommandDelivery = { sentAt: this.clock.now() },
  ): Promise<HttpResponse> {
    await this.untilResumed();
    // The machine is gone: a held message that is delivered only now gets no answer.
    if (this.isDead) return new Promise<HttpResponse>(() => undefined);
    this.processDue();
    if (path === '/show') return { status: 200, body: this.composeHeartbeat() };
    const batch = decodeCommandBatch(body);
    if (batch.fencingToken < this.fencingToken || batch.agentEpoch !== this.agentEpoch)
      return { status: 409, body: this.composeHeartbeat() };
    this.fencingToken = batch.fencingToken;
    this.execute(batch.commands, delivery);
    return { status: 200, body: this.composeHeartbeat() };
  }

  /** Sends one heartbeat to a node. */
  sendHeartbeat(nodes: readonly string[], send: SendHeartbeat): Promise<void> {
    return this.heartbeats.send(nodes, send);
  }

  /** Processes the answer to a heartbeat: it renews the lease and carries commands. */
  acceptAnswer(batch: CommandBatch, sentAt: number, agentEpoch: number): void {
    if (this.isDead || batch.fencingToken < this.fencingToken || agentEpoch !== this.agentEpoch) return;
    this.fencingToken = batch.fencingToken;
    this.leaseRenewedAt = sentAt;
    this.execute(batch.commands, { sentAt: this.clock.now() });
  }
}
