import { setMaxListeners } from 'node:events';
import type { HttpAnswer } from '../src/net/http-answer.js';
import { NoResponseError, type Reply } from '../src/net/http-client.js';
import { Random } from '../src/net/random.js';
import { DEFAULT_STANDBY_SETTINGS } from '@dewlatch/standby';
import { DEFAULT_TUNING } from '../src/constants/scheduling.js';
import type { MachineType } from '../src/domain/machine-type.js';
import type { Resources } from '../src/domain/resources.js';
import type { Controller } from '../src/controller/controller.js';
import {
  PRESENT_VERSION,
  presentController,
  type OpaqueMessage,
  type ProgramVersion,
  type TestedController,
} from './program-version.js';
import { FakeClock } from './fake-clock.js';
import { FakeCloud } from './fake-cloud.js';
import { FakeGangs } from './fake-gangs.js';
import { FakeNetwork, type NetworkFault } from './fake-network.js';
import { FakeStore } from './fake-store.js';
import { FakeUsers } from './fake-users.js';
import { C8, jobOf, settingsFileOf, type ClusterOptions } from './fixtures.js';
import { ANSWER_MS } from './heartbeat-sender.js';
import { Freezer, type Trap } from './freezer.js';
import { FakeWorker } from './fake-worker.js';
import type { JobDescription, WorkerOptions } from './worker-environment.js';
import type { UserAnswer } from './answer-checker.js';
import { InvariantChecker } from './invariant-checker.js';
import { decodeSubmission, decodeSubmittedId, type Submission } from './submission-wire-codec.js';

/** ms that users wait for an answer. */
const POLL_PATIENCE_MS = 2000;
const REQUEST_PATIENCE_MS = 5000;
/** ms between two looks at whether something has come about. */
const UNTIL_STEP_MS = 5;

interface Node {
  version: ProgramVersion;
  controller: TestedController;
  stop: AbortController;
  freezer: Freezer;
}

/** Room of machines of a type that the cloud does not list. */
const UNLIMITED: Resources = { cpus: Infinity, gpus: Infinity, memoryGb: Infinity };

/** Whole controllers in one process, on a network, a clock, a store, a cloud and workers that tests command. */
export class Cluster {
  readonly clock = new FakeClock();
  readonly network = new FakeNetwork(this.clock);
  readonly store = new FakeStore(this.clock);
  readonly cloud: FakeCloud;
  /** Sees all that workers run and users are told. */
  readonly checker: InvariantChecker;
  readonly workers = new Map<string, FakeWorker>();
  /** Workers that are dead or cut off from all nodes. */
  readonly cut = new Set<string>();
  /** Workers whose heartbeats arrive, but which neither answers nor commands reach. */
  readonly inboundLoss = new Set<string>();
  /** Workers that reach no node, while direct commands reach them. */
  readonly outboundLoss = new Set<string>();
  /** Pairs "i-000001>n1" of a worker and a node that it can't reach. */
  readonly unreachable = new Set<string>();
  /** Pairs "n0>n1" of nodes whose gossip does not arrive. */
  readonly partitioned = new Set<string>();
  /** Of that share of the workers' heartbeats a copy arrives again later, at the same node. */
  lateHeartbeats: { share: number; lateMs: [number, number] } | undefined;
  /** Users who repeat what fails and go on asking; they act when a scenario tells them to. */
  readonly users: FakeUsers;
  /** Called when a task has ended, at that very moment. */
  onTaskEnd: (taskId: string, cause: string) => void = () => undefined;
  private readonly jobs = new Map<string, JobDescription>();
  private readonly results = new Set<string>();
  private readonly gangs: FakeGangs;
  private readonly random = new Random(11);
  private readonly nodes = new Map<string, Node>();
  /** The version that each node runs from its next start on, where it is not the present one. */
  private readonly versions = new Map<number, ProgramVersion>();
  private readonly leaseS: number;
  private readonly ticking = new AbortController();

  constructor(private readonly options: ClusterOptions = {}) {
    const machineTypes = options.machineTypes ?? [C8];
    const { teams, workers } = settingsFileOf(0, 1, options).cluster;
    this.leaseS = workers.lease_s;
    this.gangs = new FakeGangs(this.clock, workers.gang_wait_s * 1000, workers.gang_peer_s * 1000);
    this.checker = new InvariantChecker({
      teams,
      machineTypes: machineTypes as MachineType[],
      cancelS: workers.cancel_s,
    });
    this.cloud = new FakeCloud(machineTypes);
    this.cloud.onReturn = (machineId) => this.kill(machineId);
    this.cloud.onRent = (machineId) => this.boot(machineId);
    this.network.serve('store:1', (method, path, body, { from, late }) =>
      // What comes late had reached the store before it began to refuse its sender.
      this.store.handle(method, path, body, late === true ? undefined : from),
    );
    this.network.serve('cloud:1', (method, path, body) => this.cloud.handle(method, path, body));
    this.users = new FakeUsers(
      {
        nodes: options.nodes ?? 1,
        isHealthy: (index) => this.nodes.get(`n${index}`)?.controller.isHealthy() === true,
        post: (body, node) => this.post(body, node),
        requestStatus: (jobId, node) => this.requestStatus(jobId, node),
        requestCancellation: (jobId, node) => this.requestCancellation(jobId, node),
      },
      this.clock,
      this.random,
    );
    this.network.lastingFault = (from, to) => this.lossBetween(from, to.split(':')[0]!);
    for (let index = 0; index < (options.nodes ?? 1); index++) {
      if (options.version !== undefined) this.versions.set(index, options.version);
      this.start(index);
    }
    void this.tick();
  }

  /** What is lost between two hosts by the sets above. */
  private lossBetween(from: string, to: string): NetworkFault['kind'] | undefined {
    const isLost =
      [from, to].some((machineId) => this.cut.has(machineId)) ||
      this.inboundLoss.has(to) ||
      this.outboundLoss.has(from) ||
      [this.unreachable, this.partitioned].some((pairs) => pairs.has(`${from}>${to}`));
    if (isLost) return 'lose';
    return this.inboundLoss.has(from) ? 'answerLost' : undefined;
  }

  start(index: number): void {
    const stop = new AbortController();
    setMaxListeners(0, stop.signal);
    const settings = settingsFileOf(index, this.options.nodes ?? 1, this.options);
    const standby = { ...DEFAULT_STANDBY_SETTINGS, ...this.options.standby, ...this.options.standbyOf?.(index) };
    const tuning = { ...DEFAULT_TUNING, ...this.options.tuning, standby };
    const freezer = new Freezer(this.clock);
    const client = freezer.client(this.network.client(settings.node), stop.signal);
    const version = this.versions.get(index) ?? PRESENT_VERSION;
    const controller = version.createController(settings, tuning, client, freezer.thawed, 7 + index);
    const node = { version, controller, stop, freezer };
    this.nodes.set(settings.node, node);
    this.network.serve(`${settings.node}:8080`, async (_method, path, body) => {
      const answer = await freezer.serve(path, () => controller.answerHeartbeat(body));
      if (stop.signal.aborted) throw new NoResponseError('reset', true);
      return answer;
    });
    controller.connect((to, message) => !stop.signal.aborted && this.carry(settings.node, to, message));
    void controller.runDuties(stop.signal);
  }

  /** From its next start on, the node runs the present version. */
  upgrade(index: number): void {
    this.versions.delete(index);
  }

  /** Ends a node without a word. What it has sent stays on its way. */
  crash(index: number): void {
    this.nodes.get(`n${index}`)?.stop.abort();
    this.nodes.delete(`n${index}`);
    this.network.unserve(`n${index}:8080`);
  }

  /** Tells a node to stop, as an operator's signal does; it ends when it has done so. */
  async terminate(index: number): Promise<void> {
    const node = this.nodes.get(`n${index}`);
    await node?.controller.handOver();
    if (this.nodes.get(`n${index}`) === node) this.crash(index);
  }

  /** Some node that is up. */
  anyNode(): Controller {
    return presentController([...this.nodes.values()][0]!.controller);
  }

  /**
   * Ends a node after a while and starts it again at once. What it sends to the store and to workers in that while gets no
   * answer and arrives late, when the new process is up.
   */
  async restart(index: number, sendingMs = 0, lateMs: [number, number] = [500, 5000]): Promise<void> {
    const heal = this.network.fault({ from: `n${index}`, path: /^\/(txn|commands)/, kind: 'late', lateMs });
    await this.clock.sleep(sendingMs);
    heal();
    this.crash(index);
    this.start(index);
  }

  /** A node stands still for a while, whatever it is doing, and then goes on as if nothing had been. */
  freeze(index: number, forMs: number): void {
    this.nodes.get(`n${index}`)?.freezer.freeze(forMs);
  }

  /**
   * The same at the next moment at which the node is about to send such a request or answer, or has just sent one. Returns
   * what gives it up.
   */
  freezeAt(index: number, trap: Trap): () => void {
    const traps = this.nodes.get(`n${index}`)?.freezer.traps;
    traps?.add(trap);
    return () => traps?.delete(trap);
  }

  /** The node that holds the claim to lead, if it is up. */
  leader(): number | undefined {
    for (const [name, { controller }] of this.nodes) {
      if (controller.isLeader()) return Number(name.slice(1));
    }
    return undefined;
  }

  /** Is the node up? */
  has(index: number): boolean {
    return this.nodes.has(`n${index}`);
  }

  node(index: number): Controller {
    return presentController(this.nodes.get(`n${index}`)!.controller);
  }

  addWorker(options: WorkerOptions): FakeWorker {
    const { machineId, machineType = 'c8', zone = 'a', isSpot = false } = options;
    const worker = new FakeWorker(
      this.clock,
      options,
      (this.cloud.machineType(machineType) as Resources | undefined) ?? UNLIMITED,
      {
        leaseS: this.leaseS,
        describe: (jobId) => this.jobs.get(jobId),
        gangs: this.gangs,
        results: this.results,
      },
    );
    this.workers.set(machineId, worker);
    this.checker.machineUp(machineId, { machineType, zone, isSpot });
    worker.onStart = (taskId, orderedAt) => this.checker.taskStarted(this.clock.now(), machineId, taskId, orderedAt);
    worker.onLaunch = (taskId, attempt, fencingToken) =>
      this.checker.placements.launched(this.clock.now(), { machineId, taskId, attempt, fencingToken });
    worker.onEnd = (taskId, cause) => {
      this.checker.taskEnded(this.clock.now(), machineId, taskId, cause);
      this.onTaskEnd(taskId, cause);
    };
    this.network.serve(worker.endpoint, (_method, path, body, sender) => worker.handle(path, body, sender.at));
    this.cloud.machines.set(machineId, {
      machineType,
      zone,
      isSpot,
      state: 'running',
      ageS: 100,
    });
    return worker;
  }

  private boot(machineId: string): void {
    const { bootMs, runMs } = this.options;
    if (bootMs === undefined) return;
    this.clock.after(bootMs, () => {
      const machine = this.cloud.machines.get(machineId);
      if (machine === undefined) return;
      const { machineType, zone, isSpot } = machine;
      this.addWorker({ machineId, machineType, zone, isSpot, ...(runMs === undefined ? {} : { runMs }) });
    });
  }

  /** The machine is gone, with all that is on it. */
  kill(machineId: string): void {
    this.workers.get(machineId)?.die();
    this.checker.machineGone(this.clock.now(), machineId);
    this.workers.delete(machineId);
    this.cut.add(machineId);
  }

  private async tick(): Promise<void> {
    while (!this.ticking.signal.aborted) {
      await this.clock.sleep(500, this.ticking.signal);
      for (const [machineId, worker] of this.workers) {
        const isReached =
          ![this.cut, this.inboundLoss, this.outboundLoss].some((machineIds) => machineIds.has(machineId)) &&
          !worker.isSuspended;
        this.checker.machineUsable(machineId, isReached && worker.spotNoticeS === null);
      }
      this.checker.checkNow(this.clock.now());
      const names = Array.from({ length: this.options.nodes ?? 1 }, (_, index) => `n${index}`);
      for (const [machineId, worker] of this.workers) {
        void worker.sendHeartbeat(names, (node, heartbeat) => this.carryHeartbeat(machineId, node, heartbeat));
      }
      for (const [from, { controller, freezer }] of this.nodes) {
        if (freezer.isFrozen) continue;
        for (const to of this.nodes.keys()) if (from !== to) this.carry(from, to, controller.composeGossip(to));
      }
    }
  }

  private async carryHeartbeat(machineId: string, node: string, heartbeat: object): Promise<Reply | undefined> {
    const send = (from: string) =>
      this.network
        .client(from)
        .call(`${node}:8080`, 'POST', '/hello', heartbeat, { timeoutMs: ANSWER_MS })
        .catch(() => undefined);
    if (this.lateHeartbeats !== undefined && this.random.float() < this.lateHeartbeats.share) {
      const [least, most] = this.lateHeartbeats.lateMs;
      // It is on its way already, whatever becomes of its worker.
      void this.clock.sleep(least + this.random.float() * (most - least)).then(() => send('late-copies'));
    }
    return send(machineId);
  }

  private carry(from: string, to: string, message: OpaqueMessage): boolean {
    const bytes = (this.nodes.get(from)?.version ?? PRESENT_VERSION).encodeMessage(message);
    this.network.post(from, to, () => {
      const node = this.nodes.get(to);
      void node?.freezer.pass().then(() => node.controller.receive(node.version.decodeMessage(bytes)));
    });
    return true;
  }

  advance(ms: number): Promise<void> {
    return this.clock.advance(ms);
  }

  /** Waits for an answer while time passes, and longer if it takes longer. */
  async during<T>(promise: Promise<T>, ms = 3000): Promise<T> {
    let settled = false;
    void promise.finally(() => (settled = true));
    await this.advance(ms);
    while (!settled) await this.advance(500);
    return promise;
  }

  /** A user sends a job; the answer comes as time passes. */
  post(body: unknown, node = 0): Promise<HttpAnswer> {
    this.checker.submitted(body);
    const jobId = String(decodeSubmittedId(body));
    // Its user uploads it for the workers.
    if (!this.jobs.has(jobId)) this.jobs.set(jobId, decodeSubmission(body));
    return this.asUser('submit', jobId, node, (controller) => controller.submit(body));
  }

  requestStatus(jobId: string, node = 0): Promise<HttpAnswer> {
    return this.asUser('poll', jobId, node, (controller) => controller.poll(jobId));
  }

  requestCancellation(jobId: string, node = 0): Promise<HttpAnswer> {
    this.checker.cancelAsked(this.clock.now(), jobId);
    return this.asUser('cancel', jobId, node, (controller) => controller.cancel(jobId));
  }

  private async asUser(
    kind: UserAnswer['kind'],
    jobId: string,
    index: number,
    call: (controller: TestedController) => Promise<HttpAnswer>,
  ): Promise<HttpAnswer> {
    const askedAt = this.clock.now();
    const node = this.nodes.get(`n${index}`);
    const patienceMs = kind === 'poll' ? POLL_PATIENCE_MS : REQUEST_PATIENCE_MS;
    const { freezer, stop, controller } = node ?? {};
    const answer = await new Promise<HttpAnswer>((resolve) => {
      const none: HttpAnswer = { status: 0, body: undefined };
      // A node that ends in the meantime has told nobody anything.
      if (controller === undefined) return resolve(none);
      stop!.signal.addEventListener('abort', () => resolve(none));
      this.clock.after(patienceMs, () => resolve(none));
      void freezer!.serve(kind, () => call(controller)).then(resolve);
    });
    this.checker.answered({ kind, jobId, askedAt, at: this.clock.now(), status: answer.status, body: answer.body });
    return answer;
  }

  submit(fields: Partial<Submission>, node = 0): Promise<HttpAnswer> {
    return this.during(this.post(jobOf(fields), node));
  }

  poll(jobId: string, node = 0): Promise<HttpAnswer> {
    return this.during(this.requestStatus(jobId, node));
  }

  cancelJob(jobId: string, node = 0): Promise<HttpAnswer> {
    return this.during(this.requestCancellation(jobId, node));
  }

  /** Every start of a task, on whatever machine, from first to last. */
  runs(name: string): { machineId: string; attempt: number; from: number; to: number | undefined }[] {
    return [...this.everyWorker]
      .flatMap((worker) =>
        worker.history
          .filter((each) => each.taskId === name)
          .map((run) => ({ machineId: worker.options.machineId, ...run })),
      )
      .sort((a, b) => a.from - b.from);
  }

  private readonly seen = new Set<FakeWorker>();
  private get everyWorker(): Set<FakeWorker> {
    for (const worker of this.workers.values()) this.seen.add(worker);
    return this.seen;
  }

  /** Lets time pass, a little at a time, until something has come about. */
  async until(condition: () => boolean, withinMs: number): Promise<void> {
    for (let waited = 0; !condition(); waited += UNTIL_STEP_MS) {
      if (waited >= withinMs) throw new Error('it does not come about');
      await this.advance(UNTIL_STEP_MS);
    }
  }

  /** Remembers machines that are about to go, for `runs`. */
  rememberWorkers(): void {
    void this.everyWorker;
  }

  /** The times in which a task was on two machines at once. */
  overlaps(name: string): number {
    const runs = this.runs(name);
    return runs.filter((run, at) => runs.some((other, i) => i < at && (other.to ?? Infinity) > run.from)).length;
  }

  /** Ends the scenario; tells which rules were broken in it, if any. */
  verdict(): string[] {
    this.stop();
    return this.checker.verdict(this.clock.now());
  }

  stop(): void {
    this.ticking.abort();
    for (const { stop } of this.nodes.values()) stop.abort();
  }
}
