/** The machines of a cluster: adds and removes them, sends their heartbeats, and keeps the history of their tasks. */
import { MAX_MESSAGE_BYTES } from '../src/constants/protocol.js';
import type { HttpResponse } from '../src/net/http-client.js';
import { stringifyJson } from '../src/net/json.js';
import type { Random } from '../src/net/random.js';
import type { FakeClock } from './fake-clock.js';
import type { FakeCloud } from './fake-cloud.js';
import type { FakeNetwork } from './fake-network.js';
import { FakeWorker } from './fake-worker.js';
import type { ExitReason } from './fake-worker-wire-codec.js';
import { ANSWER_TIMEOUT_MS } from './heartbeat-sender.js';
import type { InvariantChecker } from './invariant-checker.js';
import type { LinkFaults } from './link-faults.js';
import type { MachineResources } from './machine-resources.js';
import type { JobDescription, WorkerEnvironment, WorkerOptions } from './worker-environment.js';
import type { TaskRun } from './worker-events.js';

const TOO_LARGE: HttpResponse = { status: 400, body: { error: 'body over 64 KiB' } };

/** Resources of machines whose type the cloud does not list. */
const UNLIMITED_RESOURCES: MachineResources = {
  cpus: Infinity,
  gpus: Infinity,
  memoryGb: Infinity,
};

/** The environment of the machines. */
export interface ClusterWorkersDependencies {
  clock: FakeClock;
  network: FakeNetwork;
  cloud: FakeCloud;
  checker: InvariantChecker;
  links: LinkFaults;
  random: Random;
  environment: Omit<WorkerEnvironment, 'describe' | 'results'>;
  /** Boot time of rented machines, ms; undefined: they never come up. */
  bootMs: number | undefined;
  /** Duration of tasks on rented machines, ms. */
  runMs: number | undefined;
  onTaskEnd(taskId: string, reason: ExitReason): void;
}

/** Adds and removes machines as scenarios and the cloud request it. */
export class ClusterWorkers {
  readonly workers = new Map<string, FakeWorker>();
  /** A second copy of this share of the heartbeats arrives late, at the same node. */
  lateHeartbeats: { share: number; lateMs: [number, number] } | undefined;
  private readonly jobs = new Map<string, JobDescription>();
  private readonly environment: WorkerEnvironment;
  private readonly everAdded = new Set<FakeWorker>();

  constructor(private readonly dependencies: ClusterWorkersDependencies) {
    const { cloud, environment } = dependencies;
    this.environment = { ...environment, describe: (jobId) => this.jobs.get(jobId), results: new Set() };
    cloud.onReturn = (machineId) => this.kill(machineId);
    cloud.onRent = (machineId) => this.boot(machineId);
  }

  /** A user uploads a job for the workers; only the first upload counts. */
  uploadJob(jobId: string, description: JobDescription): void {
    if (!this.jobs.has(jobId)) this.jobs.set(jobId, description);
  }

  addWorker(options: WorkerOptions): FakeWorker {
    const { clock, cloud, network, checker } = this.dependencies;
    const { machineId, machineType = 'c8', zone = 'a', isSpot = false } = options;
    const capacity = (cloud.machineType(machineType) as MachineResources | undefined) ?? UNLIMITED_RESOURCES;
    const worker = new FakeWorker(clock, options, capacity, this.environment);
    this.workers.set(machineId, worker);
    checker.machineUp(machineId, { machineType, zone, isSpot });
    worker.onStart = (taskId, commandedAt) => checker.taskStarted(clock.now(), machineId, taskId, commandedAt);
    worker.onLaunch = (launch) => checker.placements.launched(clock.now(), { machineId, ...launch });
    worker.onEnd = (taskId, reason) => {
      checker.taskEnded(clock.now(), machineId, taskId, reason);
      this.dependencies.onTaskEnd(taskId, reason);
    };
    network.serve(worker.endpoint, (_method, path, body, sender) =>
      this.isTooLarge(machineId, 'commands', body) ? TOO_LARGE : worker.handle(path, body, sender),
    );
    cloud.machines.set(machineId, { machineType, zone, isSpot, state: 'running', ageS: 100 });
    return worker;
  }

  private boot(machineId: string): void {
    const { clock, cloud, bootMs, runMs } = this.dependencies;
    if (bootMs === undefined) return;
    clock.after(bootMs, () => {
      const machine = cloud.machines.get(machineId);
      if (machine === undefined) return;
      const { machineType, zone, isSpot } = machine;
      this.addWorker({ machineId, machineType, zone, isSpot, ...(runMs === undefined ? {} : { runMs }) });
    });
  }

  kill(machineId: string): void {
    const { checker, clock, links } = this.dependencies;
    this.workers.get(machineId)?.terminate();
    checker.machineGone(clock.now(), machineId);
    this.workers.delete(machineId);
    links.disconnected.add(machineId);
  }

  /** Reports to the checker which machines could start a task now. */
  reportUsableMachines(): void {
    const { checker, links } = this.dependencies;
    for (const [machineId, worker] of this.workers) {
      const isReached = links.isReachable(machineId) && !worker.isSuspended;
      checker.machineUsable(machineId, isReached && worker.spotNoticeS === null);
    }
  }

  /** Each worker sends a heartbeat to one of the nodes. */
  sendHeartbeats(nodes: readonly string[]): void {
    for (const [machineId, worker] of this.workers) {
      void worker.sendHeartbeat(nodes, (node, heartbeat) => this.deliverHeartbeat(machineId, node, heartbeat));
    }
  }

  private async deliverHeartbeat(
    machineId: string,
    node: string,
    heartbeat: object,
  ): Promise<HttpResponse | undefined> {
    const { clock, network, random } = this.dependencies;
    // There is no report that the worker may send.
    if (this.isTooLarge(machineId, 'report', heartbeat)) return undefined;
    const sendFrom = (from: string) =>
      network
        .client(from)
        .call(`${node}:8080`, 'POST', '/hello', heartbeat, { timeoutMs: ANSWER_TIMEOUT_MS })
        .catch(() => undefined);
    if (this.lateHeartbeats !== undefined && random.float() < this.lateHeartbeats.share) {
      const [minMs, maxMs] = this.lateHeartbeats.lateMs;
      // The copy is in flight already, so faults of its worker do not affect it.
      void clock.sleep(minMs + random.float() * (maxMs - minMs)).then(() => sendFrom('late-copies'));
    }
    return sendFrom(machineId);
  }

  /** Whether the body of a request exceeds the protocol's limit, which is reported to the checker. */
  private isTooLarge(machineId: string, kind: 'report' | 'commands', body: unknown): boolean {
    const { checker, clock } = this.dependencies;
    const bytes = Buffer.byteLength(stringifyJson(body) ?? '');
    if (bytes > MAX_MESSAGE_BYTES) checker.messageTooLarge(clock.now(), machineId, `${kind} of ${bytes} bytes`);
    return bytes > MAX_MESSAGE_BYTES;
  }

  /** All runs of a task on any machine, in the order of their starts. */
  runs(taskId: string): (Omit<TaskRun, 'taskId'> & { machineId: string })[] {
    this.rememberWorkers();
    return [...this.everAdded]
      .flatMap((worker) =>
        worker.history
          .filter((each) => each.taskId === taskId)
          .map((run) => ({ machineId: worker.options.machineId, ...run })),
      )
      .sort((a, b) => a.from - b.from);
  }

  rememberWorkers(): void {
    for (const worker of this.workers.values()) this.everAdded.add(worker);
  }
}
