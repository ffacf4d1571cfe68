/** Many fake workers on the loopback interface behind one server; each has an address and a connection of its own. */
import { setMaxListeners } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { MachineType } from '../src/domain/machine-type.js';
import type { Clock } from '../src/net/clock.js';
import type { HttpResponse } from '../src/net/http-client.js';
import type { Random } from '../src/net/random.js';
import { FakeWorker } from './fake-worker.js';
import { ANSWER_TIMEOUT_MS } from './heartbeat-sender.js';
import { type ConnectionRequest, KeepAliveConnection } from './keep-alive-connection.js';
import { readJsonBody } from './loopback-server.js';
import { RequestCopies } from './request-copies.js';
import type { WorkerEnvironment } from './worker-environment.js';

const FIRST_LOOPBACK_OCTET = 64;
const KEEP_ALIVE_MS = 60_000;
const STOP_PERIOD_MS = 500;

/** The machines, and how their workers behave. */
export interface LoopbackWorkersOptions {
  count: number;
  zones: readonly string[];
  machineType: MachineType;
  heartbeatMs: number;
  /** Duration of batch tasks, ms. */
  runMs: number;
  environment: WorkerEnvironment;
  /** Selects tasks that fail on a machine. */
  failsTask?: ((machineId: string, taskId: string) => boolean) | undefined;
  clock: Clock;
  random: Random;
}

/** A loopback address that no other machine has. */
const loopbackAddressOf = (index: number): string =>
  `127.${FIRST_LOOPBACK_OCTET + (index >> 16)}.${(index >> 8) & 255}.${index & 255}`;

/** One worker, its connection, and the link faults that are set on it. */
export class LoopbackWorker {
  /** Neither heartbeats nor commands get through. */
  isCut = false;
  /** Heartbeats get through, but neither their answers nor commands. */
  isDeaf = false;
  /** No heartbeat gets through, but commands do. */
  isMute = false;
  /** The controllers that no heartbeat reaches. */
  readonly unreachableNodes = new Set<string>();
  private connection: KeepAliveConnection;
  private isGone = false;

  constructor(
    readonly worker: FakeWorker,
    private readonly localAddress: string,
    private readonly copies: RequestCopies,
  ) {
    this.connection = new KeepAliveConnection(localAddress);
  }

  get machineId(): string {
    return this.worker.options.machineId;
  }

  get hearsCommands(): boolean {
    return !this.isCut && !this.isDeaf && !this.isGone;
  }

  /** Sends one heartbeat, unless one is in flight. */
  async sendHeartbeat(addresses: ReadonlyMap<string, string>): Promise<void> {
    await this.worker.sendHeartbeat([...addresses.keys()], async (node, body) => {
      if (this.isGone || this.isCut || this.isMute || this.unreachableNodes.has(node)) return undefined;
      const address = addresses.get(node)!;
      const timeoutMs = ANSWER_TIMEOUT_MS;
      const request: ConnectionRequest = { address, method: 'POST', path: '/hello', body, timeoutMs };
      const reply = await this.connection.send(request);
      if (reply !== undefined) this.copies.answered(() => this.sendCopy(request));
      if (reply?.status !== 200) this.reconnect();
      return this.hearsCommands ? reply : undefined;
    });
  }

  private async sendCopy(request: ConnectionRequest): Promise<void> {
    const connection = new KeepAliveConnection(this.localAddress);
    await connection.send(request);
    connection.close();
  }

  private reconnect(): void {
    this.connection.close();
    this.connection = new KeepAliveConnection(this.localAddress);
  }

  close(): void {
    this.isGone = true;
    this.connection.close();
    this.worker.terminate();
  }
}

/** Serves commands to all workers, and sends their heartbeats. */
export class LoopbackWorkers {
  readonly workers: LoopbackWorker[] = [];
  private readonly workersByAddress = new Map<string, LoopbackWorker>();
  private readonly server: Server;
  /** Copies of commands and heartbeats. */
  readonly copies: RequestCopies;
  private readonly stopped = new AbortController();

  constructor(private readonly options: LoopbackWorkersOptions) {
    setMaxListeners(0, this.stopped.signal);
    this.copies = new RequestCopies(options.clock, options.random, this.stopped.signal);
    this.server = createServer((request, response) => {
      const target = this.workersByAddress.get(request.socket.localAddress ?? '');
      // Without an answer the controller's call ends by its own time limit, as with a machine that can't be reached.
      if (target?.hearsCommands !== true) return;
      void readJsonBody(request)
        .then((body) => this.execute(target.worker, request.url ?? '/', body))
        .then(({ status, body }) => {
          if (!target.hearsCommands) return;
          response.writeHead(status, { 'Content-Type': 'application/json' });
          response.end(JSON.stringify(body ?? {}));
        })
        .catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = KEEP_ALIVE_MS;
  }

  private async execute(worker: FakeWorker, path: string, body: unknown): Promise<HttpResponse> {
    const sentAt = this.options.clock.now();
    const reply = await worker.handle(path, body, { sentAt });
    this.copies.answered(() => worker.handle(path, body, { sentAt, isCopy: true }));
    return reply;
  }

  /** Creates the workers and listens for commands. */
  async start(): Promise<void> {
    await new Promise<void>((resolve) => this.server.listen({ port: 0, host: '0.0.0.0', backlog: 4096 }, resolve));
    const { port } = this.server.address() as AddressInfo;
    for (let index = 0; index < this.options.count; index++) this.add(index, port);
  }

  private add(index: number, port: number): void {
    const { clock, zones, machineType, environment, runMs, failsTask = () => false } = this.options;
    const machineId = `i-${String(index).padStart(6, '0')}`;
    const zone = zones[index % zones.length]!;
    const worker = new FakeWorker(
      clock,
      { machineId, zone, machineType: machineType.name, runMs, failsTask: (taskId) => failsTask(machineId, taskId) },
      machineType,
      environment,
    );
    const localAddress = loopbackAddressOf(index);
    worker.endpoint = `${localAddress}:${port}`;
    const loopbackWorker = new LoopbackWorker(worker, localAddress, this.copies);
    this.workers.push(loopbackWorker);
    this.workersByAddress.set(localAddress, loopbackWorker);
  }

  /** Sends heartbeats until `stop`; `addresses`: the address of each controller by its name. */
  beginHeartbeats(addresses: ReadonlyMap<string, string>): void {
    for (const each of this.workers) void this.sendRepeatedly(each, addresses);
  }

  private async sendRepeatedly(each: LoopbackWorker, addresses: ReadonlyMap<string, string>): Promise<void> {
    const { clock, random, heartbeatMs } = this.options;
    const { signal } = this.stopped;
    await clock.sleep(random.float() * heartbeatMs, signal);
    while (!signal.aborted) {
      await each.sendHeartbeat(addresses);
      await clock.sleep(random.jitter(Math.max(heartbeatMs, STOP_PERIOD_MS)), signal);
    }
  }

  /** The machine is gone, with all its tasks. */
  remove(machineId: string): void {
    this.workers.find((each) => each.machineId === machineId)?.close();
  }

  stop(): void {
    this.stopped.abort();
    for (const each of this.workers) each.close();
    this.server.close();
    this.server.closeAllConnections();
  }
}
