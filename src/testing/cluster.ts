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
import { Judge, type UserAnswer } from './judge.js';

/** ms that users wait for an answer. */
const POLL_PATIENCE_MS = 2000;
const REQUEST_PATIENCE_MS = 5000;

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
  /** Sees all that workers run and users are told. */
  readonly judge: Judge;
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
  private readonly leaseS: number;
  private readonly ticking = new AbortController();

  constructor(private readonly options: ClusterOptions = {}) {
    const flavors = options.flavors ?? [C8];
    const { teams, workers } = settingsOf(0, 1, options).cluster;
    this.leaseS = workers.lease_s;
    this.judge = new Judge({ teams, flavors, cancelS: workers.cancel_s });
    this.cloud = new FakeCloud(flavors);
    this.cloud.onReturn = (host) => this.kill(host);
    this.network.serve('store:1', (method, path, body, { from }) => this.store.handle(method, path, body, from));
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
    controller.send = (to, message) => !stop.signal.aborted && this.carry(settings.node, to, message);
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
    const { host, flavor = 'c8', site = 'a', reclaimable = false } = options;
    const worker = new FakeWorker(this.clock, { leaseS: this.leaseS, ...options });
    this.workers.set(host, worker);
    this.judge.machineUp(host, { flavor, site, reclaimable });
    worker.onStart = (shard, orderedAt) => this.judge.taskStarted(this.clock.now(), host, shard, orderedAt);
    worker.onEnd = (shard, cause) => this.judge.taskEnded(this.clock.now(), host, shard, cause);
    this.network.serve(worker.endpoint, (method, path, body, sender) =>
      this.cut.has(host) || this.mute.has(host)
        ? new Promise<Reply>(() => undefined)
        : worker.handle(method, path, body, sender.at),
    );
    this.cloud.machines.set(host, {
      Flavor: flavor,
      Site: site,
      Reclaimable: reclaimable,
      Phase: 'running',
      HeldS: 100,
    });
    return worker;
  }

  /** The machine is gone, with all that is on it. */
  kill(host: string): void {
    this.workers.get(host)?.die();
    this.judge.machineGone(this.clock.now(), host);
    this.workers.delete(host);
    this.cut.add(host);
  }

  private async tick(): Promise<void> {
    while (!this.ticking.signal.aborted) {
      await this.clock.sleep(500, this.ticking.signal);
      for (const [host, worker] of this.workers) {
        const reached = !this.cut.has(host) && !this.mute.has(host);
        this.judge.machineUsable(host, reached && worker.warningS === null);
      }
      this.judge.look(this.clock.now());
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

  /** Waits for an answer while time passes, and longer if it takes longer. */
  async during<T>(promise: Promise<T>, ms = 3000): Promise<T> {
    let settled = false;
    void promise.finally(() => (settled = true));
    await this.advance(ms);
    while (!settled) await this.advance(500);
    return promise;
  }

  /** A user sends a job; the answer comes as time passes. */
  post(body: unknown, node = 0): Promise<Answer> {
    this.judge.submitted(body);
    const ref = String((body as { Ref?: unknown } | null)?.Ref);
    return this.asUser('submit', ref, node, ({ jobs }) => jobs.submit(body));
  }

  ask(ref: string, node = 0): Promise<Answer> {
    return this.asUser('poll', ref, node, ({ jobs }) => jobs.poll(ref));
  }

  cancel(ref: string, node = 0): Promise<Answer> {
    this.judge.cancelAsked(this.clock.now(), ref);
    return this.asUser('withdraw', ref, node, ({ jobs }) => jobs.withdraw(ref));
  }

  private async asUser(
    kind: UserAnswer['kind'],
    ref: string,
    index: number,
    call: (controller: Controller) => Promise<Answer>,
  ): Promise<Answer> {
    const askedAt = this.clock.now();
    const none: Answer = { status: 0, body: undefined };
    const node = this.nodes.get(`n${index}`);
    const waiting = new AbortController();
    const patience = this.clock.sleep(kind === 'poll' ? POLL_PATIENCE_MS : REQUEST_PATIENCE_MS, waiting.signal);
    const answer =
      node === undefined ? none : await Promise.race([call(node.controller), patience.then((): Answer => none)]);
    waiting.abort();
    // A node that has ended in the meantime has told nobody anything.
    const told = node?.stop.signal.aborted ? none : answer;
    this.judge.answered({ kind, ref, askedAt, at: this.clock.now(), status: told.status, body: told.body });
    return told;
  }

  submit(fields: object, node = 0): Promise<Answer> {
    return this.during(this.post(jobOf(fields), node));
  }

  poll(ref: string, node = 0): Promise<Answer> {
    return this.during(this.ask(ref, node));
  }

  withdraw(ref: string, node = 0): Promise<Answer> {
    return this.during(this.cancel(ref, node));
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

  /** Ends the story; tells which rules were broken in it, if any. */
  verdict(): string[] {
    this.stop();
    return this.judge.verdict(this.clock.now());
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
