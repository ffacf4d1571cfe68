/** A whole cluster in one process, for scenarios. */
import type { Controller } from '../src/controller/controller.js';
import type { MachineType } from '../src/domain/machine-type.js';
import type { HttpAnswer } from '../src/net/http-answer.js';
import { Random } from '../src/net/random.js';
import type { UserAnswer } from './answer-checker.js';
import { ClusterNodes } from './cluster-nodes.js';
import { ClusterWorkers } from './cluster-workers.js';
import { FakeClock } from './fake-clock.js';
import { FakeCloud } from './fake-cloud.js';
import { FakeGangs } from './fake-gangs.js';
import { FakeNetwork } from './fake-network.js';
import { FakeStore } from './fake-store.js';
import { FakeUsers } from './fake-users.js';
import type { FakeWorker } from './fake-worker.js';
import { C8, type ClusterOptions, jobOf, settingsFileOf } from './fixtures.js';
import type { Trap } from './freezer.js';
import { InvariantChecker } from './invariant-checker.js';
import { LinkFaults } from './link-faults.js';
import { presentController, type TestedController } from './program-version.js';
import { decodeSubmission, decodeSubmittedId, type Submission } from './submission-wire-codec.js';
import type { WorkerOptions } from './worker-environment.js';

/** ms that users wait for an answer. */
const POLL_PATIENCE_MS = 2000;
const REQUEST_PATIENCE_MS = 5000;
/** ms between two heartbeats of a worker, and between two rounds of gossip. */
const TICK_MS = 500;
/** ms between two looks at whether something has come about. */
const UNTIL_STEP_MS = 5;

/** Whole controllers in one process, on a network, a clock, a store, a cloud and workers that tests command. */
export class Cluster {
  readonly clock = new FakeClock();
  readonly network = new FakeNetwork(this.clock);
  readonly store = new FakeStore(this.clock);
  readonly cloud: FakeCloud;
  /** Sees all that workers run and users are told. */
  readonly checker: InvariantChecker;
  private readonly links = new LinkFaults();
  readonly cut = this.links.cut;
  readonly inboundLoss = this.links.inboundLoss;
  readonly outboundLoss = this.links.outboundLoss;
  readonly unreachable = this.links.unreachable;
  readonly partitioned = this.links.partitioned;
  /** Users who repeat what fails and go on asking; they act when a scenario tells them to. */
  readonly users: FakeUsers;
  /** Called when a task has ended, at that very moment. */
  onTaskEnd: (taskId: string, cause: string) => void = () => undefined;
  private readonly random = new Random(11);
  private readonly nodes: ClusterNodes;
  private readonly machines: ClusterWorkers;
  private readonly ticking = new AbortController();

  constructor(options: ClusterOptions = {}) {
    const machineTypes = options.machineTypes ?? [C8];
    const { teams, workers } = settingsFileOf(0, 1, options).cluster;
    this.checker = new InvariantChecker({
      teams,
      machineTypes: machineTypes as MachineType[],
      cancelS: workers.cancel_s,
    });
    this.cloud = new FakeCloud(machineTypes);
    this.nodes = new ClusterNodes(this.clock, this.network, options);
    this.machines = new ClusterWorkers({
      ...{ clock: this.clock, network: this.network, cloud: this.cloud, checker: this.checker },
      ...{ links: this.links, random: this.random, bootMs: options.bootMs, runMs: options.runMs },
      environment: {
        leaseS: workers.lease_s,
        gangs: new FakeGangs(this.clock, workers.gang_wait_s * 1000, workers.gang_peer_s * 1000),
      },
      onTaskEnd: (taskId, reason) => this.onTaskEnd(taskId, reason),
    });
    this.serve();
    const service = {
      nodes: this.nodes.count,
      isHealthy: (index: number) => this.nodes.get(index)?.controller.isHealthy() === true,
      post: (body: unknown, node: number) => this.post(body, node),
      requestStatus: (jobId: string, node: number) => this.requestStatus(jobId, node),
      requestCancellation: (jobId: string, node: number) => this.requestCancellation(jobId, node),
    };
    this.users = new FakeUsers(service, this.clock, this.random);
    this.network.lastingFault = (from, to) => this.links.lossBetween(from, to.split(':')[0]!);
    this.nodes.startAll();
    void this.tick();
  }

  private serve(): void {
    this.network.serve('store:1', (method, path, body, { from, late }) =>
      // What comes late had reached the store before it began to refuse its sender.
      this.store.handle(method, path, body, late === true ? undefined : from),
    );
    this.network.serve('cloud:1', (method, path, body) => this.cloud.handle(method, path, body));
  }

  /** The workers that are there now, by their machines. */
  get workers(): Map<string, FakeWorker> {
    return this.machines.workers;
  }

  /** Of that share of the workers' heartbeats a copy arrives again later, at the same node. */
  set lateHeartbeats(setting: ClusterWorkers['lateHeartbeats']) {
    this.machines.lateHeartbeats = setting;
  }

  start(index: number): void {
    this.nodes.start(index);
  }

  /** From its next start on, the node runs the present version. */
  upgrade(index: number): void {
    this.nodes.upgrade(index);
  }

  /** Ends a node without notice. What it has sent stays on its way. */
  crash(index: number): void {
    this.nodes.crash(index);
  }

  /** Asks a node to stop, as an operator's signal does; it ends when it has handed over. */
  terminate(index: number): Promise<void> {
    return this.nodes.terminate(index);
  }

  /** Some node that is up. */
  anyNode(): Controller {
    return presentController(this.nodes.any().controller);
  }

  /**
   * Ends a node after a while and starts it again at once. What it sends to the store and to workers in that while gets no
   * answer and arrives late, when the new process is up.
   */
  restart(index: number, sendingMs = 0, lateMs: [number, number] = [500, 5000]): Promise<void> {
    return this.nodes.restart(index, sendingMs, lateMs);
  }

  /** A node stands still for a while, whatever it is doing, and then goes on as if nothing had been. */
  freeze(index: number, forMs: number): void {
    this.nodes.freeze(index, forMs);
  }

  /**
   * The same at the next moment at which the node is about to send such a request or answer, or has just sent one. Returns
   * what gives it up.
   */
  freezeAt(index: number, trap: Trap): () => void {
    return this.nodes.freezeAt(index, trap);
  }

  /** The node that holds the claim to lead, if it is up. */
  leader(): number | undefined {
    return this.nodes.leader();
  }

  /** Is the node up? */
  has(index: number): boolean {
    return this.nodes.get(index) !== undefined;
  }

  node(index: number): Controller {
    return presentController(this.nodes.get(index)!.controller);
  }

  addWorker(options: WorkerOptions): FakeWorker {
    return this.machines.addWorker(options);
  }

  /** The machine is gone, with all that is on it. */
  kill(machineId: string): void {
    this.machines.kill(machineId);
  }

  private async tick(): Promise<void> {
    while (!this.ticking.signal.aborted) {
      await this.clock.sleep(TICK_MS, this.ticking.signal);
      this.machines.noteUsable();
      this.checker.checkNow(this.clock.now());
      this.machines.sendHeartbeats(this.nodes.names);
      this.nodes.exchangeGossip();
    }
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
    this.machines.uploadJob(jobId, decodeSubmission(body));
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
    const node = this.nodes.get(index);
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
  runs(taskId: string): ReturnType<ClusterWorkers['runs']> {
    return this.machines.runs(taskId);
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
    this.machines.rememberWorkers();
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
    this.nodes.stop();
  }
}
