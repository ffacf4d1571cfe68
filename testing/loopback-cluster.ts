/**
 * Real controller processes on the loopback interface, with the fakes of store, cloud and workers served over HTTP. The
 * processes are started by the deploy file's command, and are sent signals to end, stop and continue them.
 */
import { type ChildProcess, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import { parse } from 'smol-toml';

import { type Clock, systemClock } from '../src/net/clock.js';
import { type HttpResponse, NodeHttpClient } from '../src/net/http-client.js';
import { FakeCloud } from './fake-cloud.js';
import { FakeGangs } from './fake-gangs.js';
import { FakeStore } from './fake-store.js';
import { decodeTransaction, type StoreTransaction } from './fake-store-wire-codec.js';
import { FakeWorker } from './fake-worker.js';
import { C8, jobOf, settingsFileOf } from './fixtures.js';
import { ANSWER_TIMEOUT_MS } from './heartbeat-sender.js';
import { InvariantChecker } from './invariant-checker.js';
import { freeAddress, LoopbackServer } from './loopback-server.js';
import { decodeSubmission, type Submission } from './submission-wire-codec.js';
import type { JobDescription } from './worker-environment.js';

/** Configuration of a cluster of processes. */
export interface LoopbackOptions {
  nodes: number;
  machines: number;
  /** Path of the tuning file. */
  tuning: string;
  /** Duration of batch tasks, ms. */
  runMs: number;
}

interface ControllerProcess {
  address: string;
  settingsFile: string;
  process: ChildProcess | undefined;
}

/** A clock for the fakes whose waits do not keep the process alive. */
const unreferencedClock: Clock = {
  ...systemClock,
  sleep: async (ms, signal) => {
    // Waits longer than the maximum delay of a timer are for events that never happen.
    const waitMs = Math.min(ms, LONGEST_WAIT_MS);
    await delay(waitMs, undefined, { signal, ref: false }).catch(() => undefined);
  },
};

const LONGEST_WAIT_MS = 3_600_000;
const TICK_MS = 100;
const LEASE_EXPIRY_PERIOD_MS = 20;
const HTTP_SOCKETS = 256;

/** Starts and ends the processes, serves the fakes, and checks the rules. */
export class LoopbackCluster {
  readonly store = new FakeStore(unreferencedClock);
  readonly cloud = new FakeCloud([C8]);
  readonly checker = new InvariantChecker({ teams: [{ name: 'red' }], machineTypes: [C8], cancelS: 36 });
  /** The lines that the controllers write to standard error. */
  readonly logLines: string[] = [];
  /** Called with each transaction that the store has executed. */
  onTransaction: (transaction: StoreTransaction) => void = () => undefined;
  private readonly folder = mkdtempSync(join(tmpdir(), 'dewlatch-loopback-'));
  private readonly controllers: ControllerProcess[] = [];
  private readonly workers: FakeWorker[] = [];
  private readonly servers: LoopbackServer[] = [];
  private readonly timers: NodeJS.Timeout[] = [];
  private readonly http = new NodeHttpClient(HTTP_SOCKETS);
  private readonly jobs = new Map<string, JobDescription>();
  private submitted = 0;

  constructor(private readonly options: LoopbackOptions) {}

  async start(): Promise<void> {
    const storeAddress = await this.serve((method, path, body) => this.handleStore(method, path, body));
    const cloudAddress = await this.serve((method, path, body) => this.cloud.handle(method, path, body));
    await this.startWorkers();
    await this.startControllers(storeAddress, cloudAddress);
    const names = this.controllers.map((_, index) => `n${index}`);
    this.timers.push(
      setInterval(() => this.store.expireLeases(), LEASE_EXPIRY_PERIOD_MS),
      setInterval(() => this.sendHeartbeats(names), TICK_MS * 5),
    );
  }

  private async serve(handler: ConstructorParameters<typeof LoopbackServer>[0]): Promise<string> {
    const server = new LoopbackServer(handler);
    this.servers.push(server);
    return server.listen();
  }

  private async handleStore(method: string, path: string, body: unknown): Promise<HttpResponse> {
    const reply = await this.store.handle(method, path, body);
    if (path === '/txn' && reply.status === 200) {
      this.onTransaction(decodeTransaction(body));
    }
    return reply;
  }

  private async startWorkers(): Promise<void> {
    const environment = {
      leaseS: 10,
      describe: (jobId: string) => this.jobs.get(jobId),
      gangs: new FakeGangs(unreferencedClock, 30_000, 4000),
      results: new Set<string>(),
    };
    for (let n = 0; n < this.options.machines; n++) {
      const machineId = `i-${String(n).padStart(6, '0')}`;
      const zone = ['a', 'b', 'c'][n % 3]!;
      const { runMs } = this.options;
      const worker = new FakeWorker(unreferencedClock, { machineId, zone, runMs }, C8, environment);
      worker.endpoint = await this.serve((_method, path, body) => worker.handle(path, body));
      this.watchWorker(worker, machineId, zone);
      this.workers.push(worker);
    }
  }

  private watchWorker(worker: FakeWorker, machineId: string, zone: string): void {
    const now = () => systemClock.now();
    this.checker.machineUp(machineId, { machineType: 'c8', zone, isSpot: false });
    this.cloud.machines.set(machineId, { machineType: 'c8', zone, isSpot: false, state: 'running', ageS: 100 });
    worker.onStart = (taskId, commandedAt) => this.checker.taskStarted(now(), machineId, taskId, commandedAt);
    worker.onEnd = (taskId, exitReason) => this.checker.taskEnded(now(), machineId, taskId, exitReason);
    worker.onLaunch = (taskId, attempt, fencingToken) =>
      this.checker.placements.launched(now(), { machineId, taskId, attempt, fencingToken });
  }

  private async startControllers(state: string, cloud: string): Promise<void> {
    const { nodes } = this.options;
    const addresses = [];
    for (let n = 0; n < nodes; n++) addresses.push({ bind: await freeAddress(), mesh: await freeAddress() });
    for (const [n, { bind, mesh }] of addresses.entries()) {
      const settings = settingsFileOf(n, nodes, { teams: [{ name: 'red' }] });
      const peers = addresses.map((each, index) => ({ node: `n${index}`, location: 'a', address: each.mesh }));
      const own = { ...settings, bind, mesh_addr: mesh, peers: peers.filter((_, index) => index !== n) };
      const settingsFile = join(this.folder, `n${n}.json`);
      writeFileSync(settingsFile, JSON.stringify({ ...own, outside: { cloud, state } }));
      this.controllers.push({ address: bind, settingsFile, process: undefined });
      this.startController(n);
    }
  }

  /** Starts the controller with the deploy file's command. */
  startController(index: number): void {
    const controller = this.controllers[index]!;
    const deployment = parse(readFileSync('deploy/service.toml', 'utf8')) as { run: string };
    const [command, ...flags] = deployment.run.replace('deploy/tuning.toml', this.options.tuning).split(' ');
    const child = spawn(command!, [...flags, controller.settingsFile], { stdio: ['ignore', 'ignore', 'pipe'] });
    child.stderr.on('data', (chunk: Buffer) => this.logLines.push(...chunk.toString('utf8').trim().split('\n')));
    controller.process = child;
  }

  /** Sends a signal to the controller's process. */
  signal(index: number, signal: 'SIGKILL' | 'SIGSTOP' | 'SIGCONT' | 'SIGTERM'): void {
    this.controllers[index]?.process?.kill(signal);
  }

  private sendHeartbeats(names: readonly string[]): void {
    for (const worker of this.workers) {
      void worker.sendHeartbeat([...names], (node, heartbeat) =>
        this.http
          .call(this.controllers[Number(node.slice(1))]!.address, 'POST', '/hello', heartbeat, {
            timeoutMs: ANSWER_TIMEOUT_MS,
          })
          .catch(() => undefined),
      );
    }
  }

  /** A user submits a job, trying one node after the other. */
  async submit(fields: Partial<Submission>): Promise<boolean> {
    const jobId = `j-${String(this.submitted++).padStart(6, '0')}`;
    const body = jobOf({ id: jobId, ...fields });
    this.jobs.set(jobId, decodeSubmission(body));
    this.checker.submitted(body);
    for (let attempt = 0; attempt < this.controllers.length * 2; attempt++) {
      const { address } = this.controllers[(this.submitted + attempt) % this.controllers.length]!;
      const reply = await this.http
        .call(address, 'POST', '/v1/jobs', body, { timeoutMs: 1000, connectMs: 500 })
        .catch(() => undefined);
      if (reply?.status === 201 || reply?.status === 200) return true;
    }
    return false;
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
      await systemClock.sleep(2);
    }
  }

  /** Ends all processes and servers, and describes the violated rules. */
  stop(): string[] {
    for (const timer of this.timers) clearInterval(timer);
    for (const controller of this.controllers) {
      controller.process?.kill('SIGCONT');
      controller.process?.kill('SIGKILL');
    }
    for (const worker of this.workers) worker.terminate();
    for (const server of this.servers) server.close();
    this.http.close();
    rmSync(this.folder, { recursive: true, force: true });
    return this.checker.violations.map(({ rule, details }) => `${rule}: ${details}`);
  }
}
