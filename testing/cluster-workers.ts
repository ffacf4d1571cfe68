/** The machines of a cluster: how they come and go, their heartbeats, and what ran on them. */
import type { Resources } from '../src/domain/resources.js';
import type { Reply } from '../src/net/http-client.js';
import type { Random } from '../src/net/random.js';
import type { FakeClock } from './fake-clock.js';
import type { FakeCloud } from './fake-cloud.js';
import type { FakeNetwork } from './fake-network.js';
import { FakeWorker, type TaskRun } from './fake-worker.js';
import type { ExitReason } from './fake-worker-wire-codec.js';
import { ANSWER_MS } from './heartbeat-sender.js';
import type { InvariantChecker } from './invariant-checker.js';
import type { LinkFaults } from './link-faults.js';
import type { JobDescription, WorkerEnvironment, WorkerOptions } from './worker-environment.js';

/** What machines of a type have that the cloud does not list. */
const UNLIMITED: Resources = { cpus: Infinity, gpus: Infinity, memoryGb: Infinity };

/** What the machines live in. */
export interface ClusterWorkersDependencies {
  clock: FakeClock;
  network: FakeNetwork;
  cloud: FakeCloud;
  checker: InvariantChecker;
  links: LinkFaults;
  random: Random;
  environment: Omit<WorkerEnvironment, 'describe' | 'results'>;
  /** Machines that are scaled out are up after so many ms; undefined: never. */
  bootMs: number | undefined;
  /** How long tasks run on them. */
  runMs: number | undefined;
  onTaskEnd(taskId: string, reason: ExitReason): void;
}

/** Adds machines as scenarios and the cloud ask for them. */
export class ClusterWorkers {
  readonly workers = new Map<string, FakeWorker>();
  /** Of that share of the heartbeats a copy arrives again later, at the same node. */
  lateHeartbeats: { share: number; lateMs: [number, number] } | undefined;
  private readonly jobs = new Map<string, JobDescription>();
  private readonly environment: WorkerEnvironment;
  private readonly known = new Set<FakeWorker>();

  constructor(private readonly dependencies: ClusterWorkersDependencies) {
    const { cloud, environment } = dependencies;
    this.environment = { ...environment, describe: (jobId) => this.jobs.get(jobId), results: new Set() };
    cloud.onReturn = (machineId) => this.kill(machineId);
    cloud.onRent = (machineId) => this.boot(machineId);
  }

  /** A user uploads a job for the workers, where nobody has done so before. */
  uploadJob(jobId: string, description: JobDescription): void {
    if (!this.jobs.has(jobId)) this.jobs.set(jobId, description);
  }

  addWorker(options: WorkerOptions): FakeWorker {
    const { clock, cloud, network, checker } = this.dependencies;
    const { machineId, machineType = 'c8', zone = 'a', isSpot = false } = options;
    const capacity = (cloud.machineType(machineType) as Resources | undefined) ?? UNLIMITED;
    const worker = new FakeWorker(clock, options, capacity, this.environment);
    this.workers.set(machineId, worker);
    checker.machineUp(machineId, { machineType, zone, isSpot });
    worker.onStart = (taskId, commandedAt) => checker.taskStarted(clock.now(), machineId, taskId, commandedAt);
    worker.onLaunch = (taskId, attempt, fencingToken) =>
      checker.placements.launched(clock.now(), { machineId, taskId, attempt, fencingToken });
    worker.onEnd = (taskId, reason) => {
      checker.taskEnded(clock.now(), machineId, taskId, reason);
      this.dependencies.onTaskEnd(taskId, reason);
    };
    network.serve(worker.endpoint, (_method, path, body, sender) => worker.handle(path, body, sender.at));
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
    this.workers.get(machineId)?.die();
    checker.machineGone(clock.now(), machineId);
    this.workers.delete(machineId);
    links.cut.add(machineId);
  }

  /** Tells the checker which machines could take a task now. */
  noteUsable(): void {
    const { checker, links } = this.dependencies;
    for (const [machineId, worker] of this.workers) {
      const isReached = links.isReachable(machineId) && !worker.isSuspended;
      checker.machineUsable(machineId, isReached && worker.spotNoticeS === null);
    }
  }

  /** Each worker sends a heartbeat to one of the nodes. */
  sendHeartbeats(nodes: readonly string[]): void {
    for (const [machineId, worker] of this.workers) {
      void worker.sendHeartbeat(nodes, (node, heartbeat) => this.carry(machineId, node, heartbeat));
    }
  }

  private async carry(machineId: string, node: string, heartbeat: object): Promise<Reply | undefined> {
    const { clock, network, random } = this.dependencies;
    const send = (from: string) =>
      network
        .client(from)
        .call(`${node}:8080`, 'POST', '/hello', heartbeat, { timeoutMs: ANSWER_MS })
        .catch(() => undefined);
    if (this.lateHeartbeats !== undefined && random.float() < this.lateHeartbeats.share) {
      const [least, most] = this.lateHeartbeats.lateMs;
      // It is on its way already, whatever becomes of its worker.
      void clock.sleep(least + random.float() * (most - least)).then(() => send('late-copies'));
    }
    return send(machineId);
  }

  /** Every start of a task, on whatever machine, from first to last. */
  runs(taskId: string): (Omit<TaskRun, 'taskId'> & { machineId: string })[] {
    this.rememberWorkers();
    return [...this.known]
      .flatMap((worker) =>
        worker.history
          .filter((each) => each.taskId === taskId)
          .map((run) => ({ machineId: worker.options.machineId, ...run })),
      )
      .sort((a, b) => a.from - b.from);
  }

  rememberWorkers(): void {
    for (const worker of this.workers.values()) this.known.add(worker);
  }
}
