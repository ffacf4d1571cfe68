/**
 * Real controller processes on the loopback interface, with the fakes of store, cloud and workers served over HTTP. The
 * processes are started by the deploy file's command, and are sent signals to end, stop and continue them.
 */
import { setMaxListeners } from 'node:events';

import { systemClock } from '../src/net/clock.js';
import type { HttpResponse } from '../src/net/http-client.js';
import { Random } from '../src/net/random.js';
import { ControllerProcesses } from './controller-processes.js';
import { FakeCloud } from './fake-cloud.js';
import { FakeGangs } from './fake-gangs.js';
import { FakeStore, type StoreLimits } from './fake-store.js';
import { decodeTransaction, type StoreTransaction } from './fake-store-wire-codec.js';
import type { FakeWorker } from './fake-worker.js';
import { C8, jobOf } from './fixtures.js';
import { InvariantChecker } from './invariant-checker.js';
import { LinkProxy } from './link-proxy.js';
import { LoadBalancer } from './load-balancer.js';
import { unreferencedClock } from './loopback-clock.js';
import { freeAddress, LoopbackServer } from './loopback-server.js';
import { LoopbackUser, type LoopbackUsersDependencies } from './loopback-users.js';
import { LoopbackWorkers } from './loopback-workers.js';
import { StoreLink } from './store-link.js';
import { decodeSubmission, type Submission } from './submission-wire-codec.js';
import type { JobDescription } from './worker-environment.js';

/** Timings of the workers; the defaults are those of the fixtures. */
export interface LoopbackTimings {
  heartbeatS: number;
  leaseS: number;
  cancelS: number;
}

/** Configuration of a cluster of processes. */
export interface LoopbackOptions {
  nodes: number;
  machines: number;
  /** Path of the tuning file. */
  tuning: string;
  /** Duration of batch tasks, ms. */
  runMs: number;
  timings?: LoopbackTimings;
  /** Sockets that each controller may have open. */
  sockets?: number;
  /** Seed of the stand-ins' random draws. */
  seed?: number;
  /** Limits of the store that it enforces; by default the controllers are told some, but it enforces none. */
  storeLimits?: Required<StoreLimits>;
  /** Selects tasks that fail on a machine. */
  failsTask?: (machineId: string, taskId: string) => boolean;
  /** Whether the rules about placements are checked: with thousands of machines that takes too long. */
  checksPlacements?: boolean;
}

const DEFAULT_TIMINGS: LoopbackTimings = { heartbeatS: 1, leaseS: 10, cancelS: 36 };
const DEFAULT_SOCKETS = 700;
const ZONES = ['a', 'b', 'c'];
const TEAMS = [{ name: 'red' }];
const LEASE_EXPIRY_PERIOD_MS = 20;
const CONDITION_POLL_MS = 2;
const GANG_WAIT_MS = 30_000;
const GANG_PEER_MS = 4000;
const DEFAULT_SEED = 7;

/** What the controllers are told of a store without enforced limits. */
const AMPLE_STATE = { rps: 2000, write_rps: 400, value_kb: 32, txn_ops: 48 };
const BYTES_PER_KB = 1024;

/** The limits as fields of the settings file. */
const stateSettingsOf = (limits: Required<StoreLimits>): object => ({
  rps: limits.requestsPerSecond,
  write_rps: limits.writesPerSecond,
  value_kb: limits.valueBytes / BYTES_PER_KB,
  txn_ops: limits.transactionWrites,
});

/** Starts and ends the processes, serves the fakes, and checks the rules. */
export class LoopbackCluster {
  readonly store = new FakeStore(unreferencedClock);
  readonly cloud = new FakeCloud([C8]);
  readonly checker: InvariantChecker;
  readonly random: Random;
  readonly workers: LoopbackWorkers;
  /** The users' addresses of the controllers. */
  readonly addresses: string[] = [];
  readonly storeLinks: StoreLink[] = [];
  /** The link from one controller to another, as 'from>to' by index. */
  readonly peerLinks = new Map<string, LinkProxy>();
  /** Called with each transaction that the store has executed. */
  onTransaction: (transaction: StoreTransaction) => void = () => undefined;
  private readonly jobs = new Map<string, JobDescription>();
  private readonly stopped = new AbortController();
  private startedProcesses: ControllerProcesses | undefined;
  private startedBalancer: LoadBalancer | undefined;
  private cloudServer: LoopbackServer | undefined;
  private expiry: NodeJS.Timeout | undefined;
  private submittedCount = 0;

  constructor(private readonly options: LoopbackOptions) {
    const { leaseS, heartbeatS, cancelS } = this.timings;
    setMaxListeners(0, this.stopped.signal);
    this.random = new Random(options.seed ?? DEFAULT_SEED);
    this.checker = new InvariantChecker({ teams: TEAMS, machineTypes: [C8], cancelS });
    this.workers = new LoopbackWorkers({
      count: options.machines,
      zones: ZONES,
      machineType: C8,
      heartbeatMs: heartbeatS * 1000,
      runMs: options.runMs,
      failsTask: options.failsTask,
      environment: {
        leaseS,
        describe: (jobId) => this.jobs.get(jobId),
        gangs: new FakeGangs(unreferencedClock, GANG_WAIT_MS, GANG_PEER_MS),
        results: new Set<string>(),
      },
      clock: unreferencedClock,
      random: this.random,
    });
  }

  private get timings(): LoopbackTimings {
    return this.options.timings ?? DEFAULT_TIMINGS;
  }

  get signal(): AbortSignal {
    return this.stopped.signal;
  }

  get processes(): ControllerProcesses {
    return this.startedProcesses!;
  }

  get balancer(): LoadBalancer {
    return this.startedBalancer!;
  }

  async start(): Promise<void> {
    await this.workers.start();
    this.cloud.onReturn = (machineId) => this.removeMachine(machineId);
    for (const { worker, machineId } of this.workers.workers) this.addMachine(worker, machineId);
    this.cloudServer = new LoopbackServer((method, path, body) => this.cloud.handle(method, path, body));
    await this.startControllers(await this.cloudServer.listen());
    this.workers.beginHeartbeats(new Map(this.addresses.map((address, index) => [`n${index}`, address])));
    this.startedBalancer = new LoadBalancer(this.addresses, unreferencedClock);
    void this.startedBalancer.run(this.stopped.signal);
    this.expiry = setInterval(() => this.store.expireLeases(), LEASE_EXPIRY_PERIOD_MS);
  }

  private addMachine(worker: FakeWorker, machineId: string): void {
    const machine = { machineType: 'c8', zone: worker.options.zone ?? 'a', isSpot: false };
    this.cloud.machines.set(machineId, { ...machine, state: 'running', ageS: 100 });
    if (this.options.checksPlacements === false) return;
    const now = () => systemClock.now();
    this.checker.machineUp(machineId, machine);
    worker.onStart = (taskId, commandedAt) => this.checker.taskStarted(now(), machineId, taskId, commandedAt);
    worker.onEnd = (taskId, exitReason) => this.checker.taskEnded(now(), machineId, taskId, exitReason);
    worker.onLaunch = (launch) => this.checker.placements.launched(now(), { machineId, ...launch });
  }

  /** By the time at which the cloud answers, a returned machine and everything on it are gone. */
  private removeMachine(machineId: string): void {
    this.workers.remove(machineId);
    this.checker.machineGone(systemClock.now(), machineId);
  }

  private async startControllers(cloud: string): Promise<void> {
    const { nodes, tuning, sockets = DEFAULT_SOCKETS } = this.options;
    const meshAddresses: string[] = [];
    for (let n = 0; n < nodes; n++) {
      this.addresses.push(await freeAddress());
      meshAddresses.push(await freeAddress());
    }
    const controllers = [];
    for (const [n, mesh] of meshAddresses.entries()) {
      const store = await this.addStoreLink();
      const peers = await this.addPeerLinks(n, meshAddresses);
      controllers.push({ bind: this.addresses[n]!, mesh, store, cloud, peers });
    }
    const { heartbeatS, leaseS, cancelS } = this.timings;
    const workers = { report_s: heartbeatS, lease_s: leaseS, gang_wait_s: 30, gang_peer_s: 4, cancel_s: cancelS };
    const limits = { cpu: 1, ram_mb: 1500, sockets };
    const { storeLimits } = this.options;
    this.store.limits = storeLimits;
    const state = storeLimits === undefined ? AMPLE_STATE : stateSettingsOf(storeLimits);
    const cluster = { workers, limits, state };
    this.startedProcesses = new ControllerProcesses({ tuning, teams: TEAMS, cluster }, controllers);
    this.startedProcesses.startAll();
  }

  private addStoreLink(): Promise<string> {
    const link: StoreLink = new StoreLink(
      { handle: (method, path, body) => this.handleStore(method, path, body) },
      unreferencedClock,
      this.workers.copies,
    );
    this.storeLinks.push(link);
    return link.listen();
  }

  private async handleStore(method: string, path: string, body: unknown): Promise<HttpResponse> {
    const reply = await this.store.handle(method, path, body);
    if (path === '/txn' && reply.status === 200) this.onTransaction(decodeTransaction(body));
    return reply;
  }

  private async addPeerLinks(from: number, meshAddresses: readonly string[]): Promise<string[]> {
    const addresses: string[] = [];
    for (const [to, mesh] of meshAddresses.entries()) {
      const link = new LinkProxy(mesh);
      if (from !== to) this.peerLinks.set(`${from}>${to}`, link);
      addresses.push(from === to ? mesh : await link.listen());
    }
    return addresses;
  }

  /** Starts the controller with the deploy file's command. */
  startController(index: number): void {
    this.processes.start(index);
  }

  /** Sends a signal to the controller's process. */
  signalController(index: number, signal: Parameters<ControllerProcesses['signal']>[1]): void {
    this.processes.signal(index, signal);
  }

  /** Records a new job, whose id is the next in order, and returns its submission. */
  createJob(fields: Partial<Submission>): { jobId: string; body: object } {
    const jobId = `j-${String(this.submittedCount++).padStart(6, '0')}`;
    const body = jobOf({ id: jobId, ...fields });
    this.jobs.set(jobId, decodeSubmission(body));
    this.checker.submitted(body);
    return { jobId, body };
  }

  createUser(jobId: string, fields: Partial<LoopbackUsersDependencies> = {}): LoopbackUser {
    const { addresses, balancer, random, checker } = this;
    const onAnswer: LoopbackUsersDependencies['onAnswer'] = (answer) => checker.answerReceived(answer);
    return new LoopbackUser(jobId, { addresses, balancer, clock: unreferencedClock, random, onAnswer, ...fields });
  }

  /** A user submits a job and does not ask about it. */
  async submit(fields: Partial<Submission>): Promise<boolean> {
    const { jobId, body } = this.createJob(fields);
    const user = this.createUser(jobId);
    await user.submit(body, this.signal);
    user.close();
    return user.isAccepted;
  }

  claimOf(role: string): { node: number; fencingToken: number } | undefined {
    const row = this.store.rows.get(`live/claim/${role}`);
    if (row === undefined) return undefined;
    return { node: Number((row.value as { node: string }).node.slice(1)), fencingToken: row.modRevision };
  }

  /** Waits until the condition holds; throws an error with the description if it does not within the limit. */
  async until(condition: () => boolean, description: string, limitMs = 60_000): Promise<void> {
    const end = systemClock.now() + limitMs;
    while (!condition()) {
      if (systemClock.now() > end) throw new Error(`${description}: not within ${limitMs} ms`);
      await systemClock.sleep(CONDITION_POLL_MS);
    }
  }

  /** Ends all processes and servers, and describes the violated rules. */
  stop(): string[] {
    this.stopped.abort();
    clearInterval(this.expiry);
    this.startedProcesses?.stop();
    this.workers.stop();
    this.cloudServer?.close();
    for (const link of [...this.storeLinks, ...this.peerLinks.values()]) link.close();
    return this.checker.violations.map(({ rule, details }) => `${rule}: ${details}`);
  }
}
