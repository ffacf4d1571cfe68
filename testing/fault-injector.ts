/** Brings the troubles of a random schedule about, and ends them. */
import type { Cluster } from './cluster.js';
import type { Fault } from './fake-network.js';
import { NODES, ZONES, type Trouble, type TroubleKind } from './random-schedule.js';
import { jobIdOf } from './task-id.js';

/** The most that a message is late, ms: well over a lease. */
const LATE_MS = 25_000;
/** The least and the most that a transaction is late, ms. */
const LATE_WRITE_MS: [number, number] = [2000, 12_000];
/** ms for which a node may freeze at the next request of a kind. */
const TRAP_MS = 8000;
const STORE = 'store:1';
const WRITES = /^\/txn/;
const COMMANDS = /^\/commands/;
const REPORTS = /^\/hello/;

/** ms until nothing is left of a trouble. */
export const lastsMs = ({ kind, forMs, aloneMs = 0, times = 1 }: Trouble): number =>
  aloneMs +
  forMs * times +
  (kind === 'lateWrites' || kind === 'lateReports' ? LATE_MS : 0) +
  (kind === 'freeze' ? TRAP_MS : 0);

type Injection = (trouble: Trouble) => Promise<unknown> | void;

const nameOf = (index: number): string => `n${index}`;
const ALL_NODES = Array.from({ length: NODES }, (_, index) => index);

export class FaultInjector {
  private readonly injections: Record<TroubleKind, Injection> = {
    storeOut: ({ forMs }) => this.storeOut(forMs),
    storeSlow: ({ forMs, slowMs = 0 }) => this.storeSlow(forMs, slowMs),
    storeBusy: ({ forMs, share }) =>
      this.withFault(forMs, { to: STORE, path: WRITES, kind: 'status', status: 429, body: {}, share }),
    refused: (trouble) => this.refused(trouble),
    refusedThenOut: (trouble) => this.refusedThenOut(trouble),
    lateWrites: ({ forMs, share }) =>
      this.withFault(forMs, { to: STORE, path: WRITES, kind: 'late', lateMs: LATE_WRITE_MS, share }),
    lateReports: ({ forMs, share = 1 }) => this.lateReports(forMs, share),
    lossy: ({ forMs, share }) => this.lossy(forMs, share),
    commandsHeld: ({ forMs }) => this.during(forMs, this.cluster.network.cut({ path: COMMANDS })),
    deaf: ({ forMs, machines }) => this.among(this.cluster.deaf, this.hosts(machines), forMs),
    mute: ({ forMs, machines }) => this.among(this.cluster.mute, this.hosts(machines), forMs),
    hang: ({ forMs, machines }) => this.hang(this.hosts(machines), forMs),
    machinesDie: ({ machines }) => this.hosts(machines).forEach((machineId) => this.cluster.kill(machineId)),
    crash: ({ forMs, node = 0 }) => this.away([node], forMs),
    restart: ({ forMs, node = 0 }) => this.cluster.restart(node, forMs),
    allAway: ({ forMs }) => this.away(ALL_NODES, forMs),
    leadersChange: (trouble) => this.leadersChange(trouble),
    zoneCut: (trouble) => this.zoneCut(trouble),
    cutFromStoreAndPeers: ({ forMs, node = 0 }) =>
      Promise.all([
        this.withFault(forMs, { from: nameOf(node), to: STORE, kind: 'lose' }),
        this.among(this.cluster.parted, this.meshLinks(node), forMs),
      ]),
    ownerOutOfReach: ({ forMs, node = 0, machines }) => {
      const links = this.hosts(machines).map((machineId) => `${machineId}>${nameOf(node)}`);
      return this.among(this.cluster.unreachable, links, forMs);
    },
    meshCut: ({ forMs, node = 0 }) => this.among(this.cluster.parted, this.meshLinks(node), forMs),
    meshHeld: ({ forMs, node = 0 }) => this.meshHeld(node, forMs),
    freeze: (trouble) => this.freeze(trouble),
    cloudOut: ({ forMs }) =>
      this.withFault(forMs, { to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } }),
    cancelNow: ({ count = 1 }) => this.cancelSome(count),
    cancelAtEnd: ({ forMs }) => this.cancelAtEnd(forMs),
    oddRequests: () => this.cluster.users.askOddThings(),
  };

  constructor(
    private readonly cluster: Cluster,
    /** Users cancel so many jobs. */
    private readonly cancelSome: (count: number) => void,
  ) {}

  /** The end of the trouble comes by itself. */
  async inject(trouble: Trouble): Promise<void> {
    await this.injections[trouble.kind](trouble);
  }

  private hosts(indexes: number[] = []): string[] {
    const all = [...this.cluster.workers.keys()].sort();
    return indexes.map((index) => all[index % all.length]!).filter((machineId) => machineId !== undefined);
  }

  private peersOf(node: number): string[] {
    return ALL_NODES.filter((each) => each !== node).map(nameOf);
  }

  /** Both directions between a node and each of its peers. */
  private meshLinks(node: number): string[] {
    return this.peersOf(node).flatMap((peer) => [`${nameOf(node)}>${peer}`, `${peer}>${nameOf(node)}`]);
  }

  /** Waits, and ends what has begun. */
  private async during(forMs: number, end: () => void): Promise<void> {
    await this.cluster.clock.sleep(forMs);
    end();
  }

  private withFault(forMs: number, fault: Fault): Promise<void> {
    return this.during(forMs, this.cluster.network.fault(fault));
  }

  private among(set: Set<string>, members: readonly string[], forMs: number): Promise<void> {
    members.forEach((member) => set.add(member));
    return this.during(forMs, () => members.forEach((member) => set.delete(member)));
  }

  private away(nodes: readonly number[], forMs: number): Promise<void> {
    const { cluster } = this;
    nodes.forEach((node) => cluster.crash(node));
    return this.during(forMs, () => nodes.filter((node) => !cluster.has(node)).forEach((node) => cluster.start(node)));
  }

  private storeOut(forMs: number): Promise<void> {
    const { store } = this.cluster;
    store.out = true;
    return this.during(forMs, () => store.endOutage());
  }

  private storeSlow(forMs: number, slowMs: number): Promise<void> {
    const { store } = this.cluster;
    store.slowMs = slowMs;
    return this.during(forMs, () => (store.slowMs = 0));
  }

  private refused({ node = 0, forMs }: Trouble): Promise<void> {
    return this.among(this.cluster.store.refused, [nameOf(node)], forMs);
  }

  private async refusedThenOut({ node = 0, aloneMs = 0, forMs, withoutPeers }: Trouble): Promise<void> {
    const { clock, parted, store } = this.cluster;
    store.refused.add(nameOf(node));
    if (withoutPeers === 'alone') void this.among(parted, this.meshLinks(node), aloneMs);
    if (withoutPeers === 'throughout') void this.among(parted, this.meshLinks(node), aloneMs + forMs);
    await clock.sleep(aloneMs);
    await this.storeOut(forMs);
    store.refused.delete(nameOf(node));
  }

  private lateReports(forMs: number, share: number): Promise<void> {
    this.cluster.lateReports = { share, lateMs: [2000, LATE_MS] };
    return this.during(forMs, () => (this.cluster.lateReports = undefined));
  }

  /** A share of the transactions and commands get no answer, and as many reports do not connect. */
  private async lossy(forMs: number, share: number | undefined): Promise<void> {
    await Promise.all([
      this.withFault(forMs, { to: STORE, path: WRITES, kind: 'answerLost', share }),
      this.withFault(forMs, { path: COMMANDS, kind: 'answerLost', share }),
      this.withFault(forMs, { path: REPORTS, kind: 'refuse', share }),
    ]);
  }

  private hang(machineIds: readonly string[], forMs: number): Promise<void> {
    const { workers } = this.cluster;
    machineIds.forEach((machineId) => workers.get(machineId)?.suspend());
    return this.during(forMs, () => machineIds.forEach((machineId) => workers.get(machineId)?.resume()));
  }

  private async leadersChange({ times = 1, forMs }: Trouble): Promise<void> {
    for (let n = 0; n < times; n++) {
      const leader = this.cluster.leader();
      await (leader === undefined ? this.cluster.clock.sleep(forMs) : this.away([leader], forMs));
    }
  }

  private zoneCut({ node = 0, forMs }: Trouble): Promise<void> {
    const { workers, network } = this.cluster;
    const zone = ZONES[node]!;
    const inside = [...workers].filter(([, worker]) => worker.options.zone === zone);
    return this.during(forMs, network.split([nameOf(node), ...inside.map(([machineId]) => machineId)]));
  }

  private async meshHeld(node: number, forMs: number): Promise<void> {
    const cut = (peer: string) => this.cluster.network.cut({ from: nameOf(node), to: peer });
    await Promise.all(this.peersOf(node).map((peer) => this.during(forMs, cut(peer))));
  }

  private freeze({ node = 0, path = '.', when = 'sending', forMs }: Trouble): Promise<void> {
    return this.during(TRAP_MS, this.cluster.freezeAt(node, { path: new RegExp(path), when, forMs }));
  }

  /** Users call each job off at the moment at which a task of it is done. */
  private cancelAtEnd(forMs: number): Promise<void> {
    const { cluster } = this;
    cluster.onTaskEnd = (taskId, cause) => {
      if (cause === 'done') void cluster.users.withdraw(jobIdOf(taskId));
    };
    return this.during(forMs, () => (cluster.onTaskEnd = () => undefined));
  }
}
