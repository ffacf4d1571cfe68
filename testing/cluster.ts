/** A complete cluster in one process, for scenarios. */
import type { Controller } from '../src/controller/controller.js';
import type { MachineType } from '../src/domain/machine-type.js';
import type { JsonResponse } from '../src/net/json-response.js';
import { Random } from '../src/net/random.js';
import type { UserAnswer } from './answer-checker.js';
import { ClusterNodes } from './cluster-nodes.js';
import { ClusterWorkers } from './cluster-workers.js';
import { FakeClock } from './fake-clock.js';
import { FakeCloud } from './fake-cloud.js';
import { FakeGangs } from './fake-gangs.js';
import { FakeNetwork, type RequestHandler } from './fake-network.js';
import { FakeStore } from './fake-store.js';
import { FakeUsers } from './fake-users.js';
import type { FakeWorker } from './fake-worker.js';
import { C8, type ClusterOptions, jobOf, settingsFileOf } from './fixtures.js';
import type { FreezeTrigger } from './freezer.js';
import { InvariantChecker } from './invariant-checker.js';
import { takeViolatedInvariants } from './invariant-log.js';
import { withLargeRevisions } from './large-revisions.js';
import { LinkFaults } from './link-faults.js';
import { currentController, type TestedController } from './program-version.js';
import { decodeSubmission, decodeSubmittedId, type Submission } from './submission-wire-codec.js';
import type { WorkerOptions } from './worker-environment.js';

/** How long users wait for an answer. */
const POLL_TIMEOUT_MS = 2000;
const REQUEST_TIMEOUT_MS = 5000;
/** Period of the workers' heartbeats and of the gossip between nodes. */
const TICK_PERIOD_MS = 500;
/** ms between two checks of the condition that `until` waits for. */
const CONDITION_POLL_MS = 5;

/** Complete controllers with a fake clock, network, store, cloud and workers, all driven by tests. */
export class Cluster {
  readonly clock = new FakeClock();
  readonly network = new FakeNetwork(this.clock);
  readonly store = new FakeStore(this.clock);
  readonly cloud: FakeCloud;
  /** Observes what workers run and what users are told. */
  readonly checker: InvariantChecker;
  private readonly links = new LinkFaults();
  readonly disconnected = this.links.disconnected;
  readonly inboundLoss = this.links.inboundLoss;
  readonly outboundLoss = this.links.outboundLoss;
  readonly unreachable = this.links.unreachable;
  readonly partitioned = this.links.partitioned;
  /** Users who retry failed requests and keep polling; a scenario triggers what they do. */
  readonly users: FakeUsers;
  /** Called at the moment at which a task ends. */
  onTaskEnd: (taskId: string, exitReason: string) => void = () => undefined;
  private readonly random = new Random(11);
  private readonly nodes: ClusterNodes;
  private readonly machines: ClusterWorkers;
  private readonly tickerStop = new AbortController();

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
    this.serve(options.revisionOffset ?? 0n);
    const service = {
      nodes: this.nodes.count,
      isHealthy: (index: number) => this.nodes.get(index)?.controller.isHealthy() === true,
      post: (body: unknown, node: number) => this.post(body, node),
      requestStatus: (jobId: string, node: number) => this.requestStatus(jobId, node),
      requestCancellation: (jobId: string, node: number) => this.requestCancellation(jobId, node),
    };
    this.users = new FakeUsers(service, this.clock, this.random);
    this.network.linkFaultKind = (from, to) => this.links.faultBetween(from, to.split(':')[0]!);
    this.nodes.startAll();
    void this.tick();
  }

  private serve(revisionOffset: bigint): void {
    const handle: RequestHandler = (method, path, body, { from, isLate }) =>
      // A late request counts as received before the store began to refuse its sender.
      this.store.handle(method, path, body, isLate === true ? undefined : from);
    this.network.serve('store:1', revisionOffset === 0n ? handle : withLargeRevisions(handle, revisionOffset));
    this.network.serve('cloud:1', (method, path, body) => this.cloud.handle(method, path, body));
  }

  /** The workers that exist now, by machine id. */
  get workers(): Map<string, FakeWorker> {
    return this.machines.workers;
  }

  /** A second copy of this share of the workers' heartbeats arrives late, at the same node. */
  set lateHeartbeats(setting: ClusterWorkers['lateHeartbeats']) {
    this.machines.lateHeartbeats = setting;
  }

  start(index: number): void {
    this.nodes.start(index);
  }

  /** From its next start on, the node runs the current version. */
  upgrade(index: number): void {
    this.nodes.upgrade(index);
  }

  /** Ends a node without notice. Requests that it has sent may still arrive. */
  crash(index: number): void {
    this.nodes.crash(index);
  }

  /** Asks a node to stop, like SIGTERM; it ends after it has handed its roles over. */
  terminate(index: number): Promise<void> {
    return this.nodes.terminate(index);
  }

  /** Some node that is up. */
  anyNode(): Controller {
    return currentController(this.nodes.any().controller);
  }

  /**
   * Ends a node after `sendingMs` and restarts it at once. Its requests to the store and to workers in that time get no
   * answer and arrive late, as a rule when the new process is up.
   */
  restart(index: number, sendingMs = 0, lateMs: [number, number] = [500, 5000]): Promise<void> {
    return this.nodes.restart(index, sendingMs, lateMs);
  }

  /** Freezes a node for a while, at whatever point of its work; it then continues as if nothing had happened. */
  freeze(index: number, forMs: number): void {
    this.nodes.freeze(index, forMs);
  }

  /**
   * Freezes the node the next time it is about to send a request or answer that matches the trigger, or has just
   * received the answer to such a request. Returns a function that disarms the trigger.
   */
  freezeAt(index: number, trigger: FreezeTrigger): () => void {
    return this.nodes.freezeAt(index, trigger);
  }

  /** A node that considers itself leader of the cluster, if one is up. */
  leader(): number | undefined {
    return this.nodes.leader();
  }

  /** Is the node up? */
  isUp(index: number): boolean {
    return this.nodes.get(index) !== undefined;
  }

  node(index: number): Controller {
    return currentController(this.nodes.get(index)!.controller);
  }

  addWorker(options: WorkerOptions): FakeWorker {
    return this.machines.addWorker(options);
  }

  /** Removes the machine, with all its tasks. */
  killMachine(machineId: string): void {
    this.machines.kill(machineId);
  }

  private async tick(): Promise<void> {
    while (!this.tickerStop.signal.aborted) {
      await this.clock.sleep(TICK_PERIOD_MS, this.tickerStop.signal);
      this.machines.reportUsableMachines();
      this.checker.checkNow(this.clock.now());
      this.machines.sendHeartbeats(this.nodes.names);
      this.nodes.exchangeGossip();
    }
  }

  advance(ms: number): Promise<void> {
    return this.clock.advance(ms);
  }

  /** Advances the time by at least `ms`, until the promise is settled. */
  async advanceUntilSettled<T>(promise: Promise<T>, ms = 3000): Promise<T> {
    let settled = false;
    void promise.finally(() => (settled = true));
    await this.advance(ms);
    while (!settled) await this.advance(500);
    return promise;
  }

  /** A user submits a job; the answer arrives as time advances. */
  post(body: unknown, node = 0): Promise<JsonResponse> {
    this.checker.submitted(body);
    const jobId = String(decodeSubmittedId(body));
    // The user also uploads the job for the workers.
    this.machines.uploadJob(jobId, decodeSubmission(body));
    return this.asUser('submit', jobId, node, (controller) => controller.submit(body));
  }

  requestStatus(jobId: string, node = 0): Promise<JsonResponse> {
    return this.asUser('poll', jobId, node, (controller) => controller.poll(jobId));
  }

  requestCancellation(jobId: string, node = 0): Promise<JsonResponse> {
    this.checker.cancelRequested(this.clock.now(), jobId);
    return this.asUser('cancel', jobId, node, (controller) => controller.cancel(jobId));
  }

  private async asUser(
    kind: UserAnswer['kind'],
    jobId: string,
    index: number,
    call: (controller: TestedController) => Promise<JsonResponse>,
  ): Promise<JsonResponse> {
    const requestedAt = this.clock.now();
    const node = this.nodes.get(index);
    const timeoutMs = kind === 'poll' ? POLL_TIMEOUT_MS : REQUEST_TIMEOUT_MS;
    const { freezer, stop, controller } = node ?? {};
    const answer = await new Promise<JsonResponse>((resolve) => {
      const noAnswer: JsonResponse = { status: 0, body: undefined };
      // A node that is down, or ends in the meantime, sends no answer.
      if (controller === undefined) return resolve(noAnswer);
      stop!.signal.addEventListener('abort', () => resolve(noAnswer));
      this.clock.after(timeoutMs, () => resolve(noAnswer));
      void freezer!.serve(kind, () => call(controller)).then(resolve);
    });
    this.checker.answerReceived({
      kind,
      jobId,
      requestedAt,
      at: this.clock.now(),
      status: answer.status,
      body: answer.body,
    });
    return answer;
  }

  submit(fields: Partial<Submission>, node = 0): Promise<JsonResponse> {
    return this.advanceUntilSettled(this.post(jobOf(fields), node));
  }

  poll(jobId: string, node = 0): Promise<JsonResponse> {
    return this.advanceUntilSettled(this.requestStatus(jobId, node));
  }

  cancelJob(jobId: string, node = 0): Promise<JsonResponse> {
    return this.advanceUntilSettled(this.requestCancellation(jobId, node));
  }

  /** All runs of a task on any machine, in the order of their starts. */
  runs(taskId: string): ReturnType<ClusterWorkers['runs']> {
    return this.machines.runs(taskId);
  }

  /** Advances the time in small steps until the condition holds. */
  async until(condition: () => boolean, withinMs: number): Promise<void> {
    for (let waited = 0; !condition(); waited += CONDITION_POLL_MS) {
      if (waited >= withinMs) throw new Error(`the condition does not hold within ${withinMs} ms`);
      await this.advance(CONDITION_POLL_MS);
    }
  }

  /** Keeps the current workers for `runs`, before some of them are removed. */
  rememberWorkers(): void {
    this.machines.rememberWorkers();
  }

  /** How many runs of a task started while an earlier one was still running. */
  countOverlaps(taskId: string): number {
    const runs = this.runs(taskId);
    return runs.filter((run, index) => runs.some((other, i) => i < index && (other.to ?? Infinity) > run.from)).length;
  }

  /** Ends the scenario and describes the violated rules, if any. */
  stopAndCheck(): string[] {
    this.stop();
    return [...this.checker.verdict(this.clock.now()), ...takeViolatedInvariants()];
  }

  stop(): void {
    this.tickerStop.abort();
    this.nodes.stop();
  }
}
