import { setMaxListeners } from 'node:events';
import type { Answer } from '../api/jobs.js';
import { parseSettings, type Settings, type Tuning } from '../config/settings.js';
import { DEFAULT_TUNING } from '../constants.js';
import { Controller } from '../controller/controller.js';
import type { Log } from '../controller/log.js';
import { decodeMessage, encodeMessage, type Message } from '../mesh/messages.js';
import type { Reply } from '../net/http-client.js';
import { FakeClock } from './fake-clock.js';
import { FakeCloud } from './fake-cloud.js';
import { FakeNetwork } from './fake-network.js';
import { FakeStore } from './fake-store.js';
import { FakeWorker, type WorkerOptions } from './fake-worker.js';

const noLog: Log = { error: () => undefined, warn: () => undefined, info: () => undefined, debug: () => undefined };

export interface ClusterOptions {
  nodes?: number;
  teams?: object[];
  cluster?: object;
  tuning?: Partial<Tuning>;
  flavors?: Record<string, unknown>[];
}

interface Node {
  controller: Controller;
  stop: AbortController;
}

export const C8 = {
  Sku: 'c8',
  Cpus: 8,
  Cards: 0,
  MemGb: 64,
  LocalGb: 50,
  FetchGbPerS: 1,
  Hourly: 1,
  LowPrice: 0.3,
  BootS: 30,
  Sites: ['a', 'b', 'c'],
};

export function settingsOf(node: number, nodes: number, options: ClusterOptions = {}): Settings {
  const all = Array.from({ length: nodes }, (_, index) => index);
  return parseSettings(
    JSON.stringify({
      node: `n${node}`,
      location: 'a',
      bind: `n${node}:8080`,
      mesh_addr: `n${node}:8081`,
      peers: all.filter((each) => each !== node).map((each) => ({ node: `n${each}`, address: `n${each}:8081` })),
      outside: { cloud: 'cloud:1', state: 'store:1' },
      cluster: {
        size: nodes,
        zones: ['a', 'b', 'c'],
        teams: options.teams ?? [{ name: 'red', cpus: 16, cpus_max: 48 }],
        workers: { report_s: 1, lease_s: 10, gang_wait_s: 30, gang_peer_s: 4, cancel_s: 36 },
        state: { rps: 500, write_rps: 200, value_kb: 4, txn_ops: 12 },
        cloud: { rps: 8, list_lag_s: 2 },
        ...options.cluster,
      },
    }),
    'test',
  );
}

/** Whole controllers in one process, on a network, a clock, a store, a cloud and workers that tests command. */
export class Cluster {
  readonly clock = new FakeClock();
  readonly network = new FakeNetwork(this.clock);
  readonly store = new FakeStore(this.clock);
  readonly cloud: FakeCloud;
  readonly workers = new Map<string, FakeWorker>();
  /** Workers that are dead or cut off from all nodes. */
  readonly cut = new Set<string>();
  /** Workers whose reports arrive, but which neither answers nor commands reach. */
  readonly mute = new Set<string>();
  /** Pairs "i-000001>n1" of a worker and a node that it can't reach. */
  readonly unreachable = new Set<string>();
  /** Pairs "n0>n1" of nodes whose gossip does not arrive. */
  readonly parted = new Set<string>();
  private readonly nodes = new Map<string, Node>();
  private readonly ticking = new AbortController();

  constructor(private readonly options: ClusterOptions = {}) {
    this.cloud = new FakeCloud(options.flavors ?? [C8]);
    this.cloud.onReturn = (host) => this.kill(host);
    this.network.serve('store:1', (method, path, body, _signal, from) => this.store.handle(method, path, body, from));
    this.network.serve('cloud:1', (method, path, body) => this.cloud.handle(method, path, body));
    for (let index = 0; index < (options.nodes ?? 1); index++) this.start(index);
    void this.tick();
  }

  start(index: number): void {
    const stop = new AbortController();
    setMaxListeners(0, stop.signal);
    const settings = settingsOf(index, this.options.nodes ?? 1, this.options);
    const tuning = { ...DEFAULT_TUNING, ...this.options.tuning };
    const client = this.network.client(settings.node);
    const guarded: typeof client = {
      call: (...args) => (stop.signal.aborted ? new Promise<Reply>(() => undefined) : client.call(...args)),
    };
    const controller = new Controller(settings, tuning, guarded, this.clock, noLog, 7 + index);
    this.nodes.set(settings.node, { controller, stop });
    controller.send = (to, message) => this.carry(settings.node, to, message);
    void controller.duties(stop.signal);
  }

  /** Ends a node without a word. */
  crash(index: number): void {
    this.nodes.get(`n${index}`)?.stop.abort();
    this.nodes.delete(`n${index}`);
  }

  node(index: number): Controller {
    return this.nodes.get(`n${index}`)!.controller;
  }

  addWorker(options: Omit<WorkerOptions, 'leaseS'>): FakeWorker {
    const worker = new FakeWorker(this.clock, { leaseS: 10, ...options });
    this.workers.set(options.host, worker);
    this.network.serve(worker.endpoint, (method, path, body) =>
      this.cut.has(options.host) || this.mute.has(options.host)
        ? new Promise<Reply>(() => undefined)
        : worker.handle(method, path, body),
    );
    const { flavor, site, reclaimable } = options;
    this.cloud.machines.set(options.host, {
      Flavor: flavor ?? 'c8',
      Site: site ?? 'a',
      Reclaimable: reclaimable ?? false,
      Phase: 'running',
      HeldS: 100,
    });
    return worker;
  }

  /** The machine is gone, with all that is on it. */
  kill(host: string): void {
    const worker = this.workers.get(host);
    for (const run of worker?.history ?? []) run.to ??= this.clock.now();
    this.workers.delete(host);
    this.cut.add(host);
  }

  private async tick(): Promise<void> {
    while (!this.ticking.signal.aborted) {
      await this.clock.sleep(500, this.ticking.signal);
      for (const [host, worker] of this.workers) {
        if (this.cut.has(host)) {
          worker.report();
          continue;
        }
        const doors = new Map<string, (body: unknown) => Reply | undefined | Promise<Reply | undefined>>();
        for (let index = 0; index < (this.options.nodes ?? 1); index++) {
          const name = `n${index}`;
          const node = this.nodes.get(name);
          doors.set(name, async (body) => {
            if (this.unreachable.has(`${host}>${name}`)) return undefined;
            const reply = await node?.controller.hello(body);
            return this.mute.has(host) ? undefined : reply;
          });
        }
        void worker.tell(doors);
      }
      for (const [from, { controller }] of this.nodes) {
        for (const to of this.nodes.keys()) if (from !== to) this.carry(from, to, { gossip: controller.gossip(to) });
      }
    }
  }

  private carry(from: string, to: string, message: Message): boolean {
    if (this.parted.has(`${from}>${to}`)) return true;
    this.nodes.get(to)?.controller.receive(decodeMessage(encodeMessage(message)));
    return true;
  }

  advance(ms: number): Promise<void> {
    return this.clock.advance(ms);
  }

  /** Waits for an answer while time passes. */
  async during<T>(promise: Promise<T>, ms = 3000): Promise<T> {
    await this.advance(ms);
    return promise;
  }

  submit(fields: object, node = 0): Promise<Answer> {
    return this.during(this.node(node).jobs.submit(jobOf(fields)));
  }

  poll(ref: string, node = 0): Promise<Answer> {
    return this.during(this.node(node).jobs.poll(ref));
  }

  withdraw(ref: string, node = 0): Promise<Answer> {
    return this.during(this.node(node).jobs.withdraw(ref));
  }

  /** Every start of a task, on whatever machine, from first to last. */
  runs(name: string): { host: string; attempt: number; from: number; to: number | undefined }[] {
    return [...this.everyWorker]
      .flatMap((worker) =>
        worker.history.filter((each) => each.shard === name).map((run) => ({ host: worker.options.host, ...run })),
      )
      .sort((a, b) => a.from - b.from);
  }

  private readonly seen = new Set<FakeWorker>();
  private get everyWorker(): Set<FakeWorker> {
    for (const worker of this.workers.values()) this.seen.add(worker);
    return this.seen;
  }

  /** Remembers machines that are about to go, for `runs`. */
  remember(): void {
    void this.everyWorker;
  }

  /** The times in which a task was on two machines at once. */
  overlaps(name: string): number {
    const runs = this.runs(name);
    return runs.filter((run, at) => runs.some((other, i) => i < at && (other.to ?? Infinity) > run.from)).length;
  }

  stop(): void {
    this.ticking.abort();
    for (const { stop } of this.nodes.values()) stop.abort();
  }
}

export const jobOf = (fields: object): object => ({
  Ref: 'j-000001',
  Jobclass: 'web',
  Owner: 'red',
  Shape: 'array',
  Rank: 'normal',
  Shards: 1,
  Cpus: 2,
  Cards: 0,
  MemGb: 4,
  Bundle: 'img-1',
  SizeGb: 1,
  OneZone: false,
  Spread: false,
  Reclaimable: false,
  GuessS: 10,
  SnapshotEveryS: 0,
  SnapshotS: 0,
  ...fields,
});
