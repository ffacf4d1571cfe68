/** Injects the faults of a random schedule, and ends each after its duration. */
import type { Cluster } from './cluster.js';
import type { NetworkFault } from './fake-network.js';
import { type FaultKind, NODES, type ScheduledFault, ZONES } from './random-schedule.js';
import { jobIdOf } from './task-id.js';

/** Longest delay of a late message, ms: well over the duration of a lease. */
const MAX_DELAY_MS = 25_000;
/** Shortest delay of a copy, ms. */
const MIN_COPY_DELAY_MS = 200;
/** Shortest and longest delay of a late transaction, ms. */
const TRANSACTION_DELAY_MS: [number, number] = [2000, 12_000];
/** ms for which a freeze trigger stays armed. */
const FREEZE_TRIGGER_MS = 8000;
const STORE = 'store:1';
const WRITES = /^\/txn/;
const COMMANDS = /^\/commands/;
const HEARTBEATS = /^\/hello/;

const hasLateMessages = (kind: FaultKind): boolean =>
  kind === 'lateTransactions' || kind === 'lateHeartbeats' || kind === 'copiedRequests';

/** ms from the start of a fault until it has no more effect. */
export const faultDurationMs = ({ kind, forMs, refusedMs = 0, times = 1 }: ScheduledFault): number =>
  refusedMs +
  forMs * times +
  (hasLateMessages(kind) ? MAX_DELAY_MS : 0) +
  (kind === 'processPause' ? FREEZE_TRIGGER_MS : 0);

type Injection = (fault: ScheduledFault) => unknown;

const nodeName = (index: number): string => `n${index}`;
const ALL_NODES = Array.from({ length: NODES }, (_, index) => index);

/** Injects faults into a cluster. */
export class FaultInjector {
  private readonly injections: Record<FaultKind, Injection> = {
    storeOutage: ({ forMs }) => this.storeOutage(forMs),
    slowStore: ({ forMs, slowMs = 0 }) => this.slowStore(forMs, slowMs),
    storeOverload: ({ forMs, share }) =>
      this.withFault(forMs, { to: STORE, path: WRITES, kind: 'status', status: 429, body: {}, share }),
    refusedByStore: (fault) => this.refuse(fault),
    refusedThenOutage: (fault) => this.refuseThenOutage(fault),
    lateTransactions: ({ forMs, share }) =>
      this.withFault(forMs, { to: STORE, path: WRITES, kind: 'late', lateMs: TRANSACTION_DELAY_MS, share }),
    lateHeartbeats: ({ forMs, share = 1 }) => this.lateHeartbeats(forMs, share),
    messageLoss: ({ forMs, share }) => this.messageLoss(forMs, share),
    delayedCommands: ({ forMs }) => this.endAfter(forMs, this.cluster.network.holdMessages({ path: COMMANDS })),
    inboundLoss: ({ forMs, machines }) =>
      this.addTemporarily(this.cluster.inboundLoss, this.machineIds(machines), forMs),
    outboundLoss: ({ forMs, machines }) =>
      this.addTemporarily(this.cluster.outboundLoss, this.machineIds(machines), forMs),
    suspension: ({ forMs, machines }) => this.suspend(this.machineIds(machines), forMs),
    machineLoss: ({ machines }) =>
      this.machineIds(machines).forEach((machineId) => this.cluster.killMachine(machineId)),
    crash: ({ forMs, node = 0 }) => this.takeDown([node], forMs),
    restart: ({ forMs, node = 0 }) => this.cluster.restart(node, forMs),
    allNodesDown: ({ forMs }) => this.takeDown(ALL_NODES, forMs),
    leaderChanges: (fault) => this.changeLeaders(fault),
    zonePartition: (fault) => this.partitionZone(fault),
    nodePartition: ({ forMs, node = 0 }) =>
      Promise.all([
        this.withFault(forMs, { from: nodeName(node), to: STORE, kind: 'lose' }),
        this.addTemporarily(this.cluster.partitioned, this.gossipLinks(node), forMs),
      ]),
    leaderUnreachable: ({ forMs, node = 0, machines }) => {
      const links = this.machineIds(machines).map((machineId) => `${machineId}>${nodeName(node)}`);
      return this.addTemporarily(this.cluster.unreachable, links, forMs);
    },
    gossipPartition: ({ forMs, node = 0 }) =>
      this.addTemporarily(this.cluster.partitioned, this.gossipLinks(node), forMs),
    delayedGossip: ({ forMs, node = 0 }) => this.delayGossip(node, forMs),
    processPause: (fault) => this.pause(fault),
    cloudOutage: ({ forMs }) =>
      this.withFault(forMs, { to: 'cloud:1', kind: 'status', status: 503, body: { error: 'trouble' } }),
    copiedRequests: ({ forMs, share }) =>
      this.withFault(forMs, { kind: 'copy', lateMs: [MIN_COPY_DELAY_MS, MAX_DELAY_MS], share }),
    cancelNow: ({ count = 1 }) => this.cancelJobs(count),
    cancelAtTaskEnd: ({ forMs }) => this.cancelAtTaskEnd(forMs),
    oddRequests: () => this.cluster.users.sendUnusualRequests(),
  };

  constructor(
    private readonly cluster: Cluster,
    /** Makes users cancel this many jobs. */
    private readonly cancelJobs: (count: number) => void,
  ) {}

  /** Injects the fault, which ends after its own duration. */
  async inject(fault: ScheduledFault): Promise<void> {
    await this.injections[fault.kind](fault);
  }

  private machineIds(indexes: number[] = []): string[] {
    const all = [...this.cluster.workers.keys()].sort();
    return indexes.map((index) => all[index % all.length]!).filter((machineId) => machineId !== undefined);
  }

  private peersOf(node: number): string[] {
    return ALL_NODES.filter((each) => each !== node).map(nodeName);
  }

  /** The links between a node and each of its peers, in both directions. */
  private gossipLinks(node: number): string[] {
    return this.peersOf(node).flatMap((peer) => [`${nodeName(node)}>${peer}`, `${peer}>${nodeName(node)}`]);
  }

  /** Calls `end` after the given time. */
  private async endAfter(forMs: number, end: () => void): Promise<void> {
    await this.cluster.clock.sleep(forMs);
    end();
  }

  private withFault(forMs: number, fault: NetworkFault): Promise<void> {
    return this.endAfter(forMs, this.cluster.network.addFault(fault));
  }

  private addTemporarily(set: Set<string>, members: readonly string[], forMs: number): Promise<void> {
    members.forEach((member) => set.add(member));
    return this.endAfter(forMs, () => members.forEach((member) => set.delete(member)));
  }

  private takeDown(nodes: readonly number[], forMs: number): Promise<void> {
    const { cluster } = this;
    nodes.forEach((node) => cluster.crash(node));
    return this.endAfter(forMs, () =>
      nodes.filter((node) => !cluster.isUp(node)).forEach((node) => cluster.start(node)),
    );
  }

  private storeOutage(forMs: number): Promise<void> {
    const { store } = this.cluster;
    store.isUnavailable = true;
    return this.endAfter(forMs, () => store.endOutage());
  }

  private slowStore(forMs: number, slowMs: number): Promise<void> {
    const { store } = this.cluster;
    store.slowMs = slowMs;
    return this.endAfter(forMs, () => (store.slowMs = 0));
  }

  private refuse({ node = 0, forMs }: ScheduledFault): Promise<void> {
    return this.addTemporarily(this.cluster.store.refusedNodes, [nodeName(node)], forMs);
  }

  private async refuseThenOutage({ node = 0, refusedMs = 0, forMs, withoutPeers }: ScheduledFault): Promise<void> {
    const { clock, partitioned, store } = this.cluster;
    store.refusedNodes.add(nodeName(node));
    if (withoutPeers === 'alone') void this.addTemporarily(partitioned, this.gossipLinks(node), refusedMs);
    if (withoutPeers === 'throughout') void this.addTemporarily(partitioned, this.gossipLinks(node), refusedMs + forMs);
    await clock.sleep(refusedMs);
    await this.storeOutage(forMs);
    store.refusedNodes.delete(nodeName(node));
  }

  private lateHeartbeats(forMs: number, share: number): Promise<void> {
    this.cluster.lateHeartbeats = { share, lateMs: [2000, MAX_DELAY_MS] };
    return this.endAfter(forMs, () => (this.cluster.lateHeartbeats = undefined));
  }

  /** Loses the answers to a share of the transactions and commands, and refuses the same share of heartbeats. */
  private async messageLoss(forMs: number, share: number | undefined): Promise<void> {
    await Promise.all([
      this.withFault(forMs, { to: STORE, path: WRITES, kind: 'answerLost', share }),
      this.withFault(forMs, { path: COMMANDS, kind: 'answerLost', share }),
      this.withFault(forMs, { path: HEARTBEATS, kind: 'refuse', share }),
    ]);
  }

  private suspend(machineIds: readonly string[], forMs: number): Promise<void> {
    const { workers } = this.cluster;
    machineIds.forEach((machineId) => workers.get(machineId)?.suspend());
    return this.endAfter(forMs, () => machineIds.forEach((machineId) => workers.get(machineId)?.resume()));
  }

  private async changeLeaders({ times = 1, forMs }: ScheduledFault): Promise<void> {
    for (let n = 0; n < times; n++) {
      const leader = this.cluster.leader();
      await (leader === undefined ? this.cluster.clock.sleep(forMs) : this.takeDown([leader], forMs));
    }
  }

  private partitionZone({ node = 0, forMs }: ScheduledFault): Promise<void> {
    const { workers, network } = this.cluster;
    const zone = ZONES[node]!;
    const inside = [...workers].filter(([, worker]) => worker.options.zone === zone);
    return this.endAfter(forMs, network.partition([nodeName(node), ...inside.map(([machineId]) => machineId)]));
  }

  private async delayGossip(node: number, forMs: number): Promise<void> {
    const holdGossipTo = (peer: string) => this.cluster.network.holdMessages({ from: nodeName(node), to: peer });
    await Promise.all(this.peersOf(node).map((peer) => this.endAfter(forMs, holdGossipTo(peer))));
  }

  private pause({ node = 0, path = '.', when = 'sending', forMs }: ScheduledFault): Promise<void> {
    return this.endAfter(FREEZE_TRIGGER_MS, this.cluster.freezeAt(node, { path: new RegExp(path), when, forMs }));
  }

  /** Users cancel each job at the moment at which one of its tasks is done. */
  private cancelAtTaskEnd(forMs: number): Promise<void> {
    const { cluster } = this;
    cluster.onTaskEnd = (taskId, exitReason) => {
      if (exitReason === 'done') void cluster.users.cancelJob(jobIdOf(taskId));
    };
    return this.endAfter(forMs, () => (cluster.onTaskEnd = () => undefined));
  }
}
