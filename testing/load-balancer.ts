/** The users' load balancer as the protocol describes it: probes, removals with doubling pauses, fewest open connections. */
import type { Clock } from '../src/net/clock.js';
import { KeepAliveConnection } from './keep-alive-connection.js';

const PROBE_PERIOD_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
/** A node is removed after this many failed probes in a row, or after so many of the recent ones. */
const FAILURES_IN_A_ROW = 2;
const RECENT_PROBES = 6;
const RECENT_FAILURES = 3;
const SUCCESSES_TO_RETURN = 2;
const MIN_PAUSE_MS = 3000;
const MAX_PAUSE_MS = 60_000;
/** A removal within this time after the one before doubles the pause. */
const REPEATED_REMOVAL_MS = 120_000;
const RAMP_MS = 10_000;
const RESET_AFTER_MS = 5000;
/** A node is passed over for a while after this many failed connections in a row. */
const FAILED_CONNECTIONS = 3;
const PASSED_OVER_MS = 3000;

/** An open connection of a user, which the load balancer may reset. */
export interface BalancedConnection {
  readonly node: number;
  reset(): void;
}

/** A change of a node's health, for the log of a run. */
export interface HealthChange {
  at: number;
  node: number;
  isHealthy: boolean;
  /** The pause before the node may return, ms; 0 when it returns. */
  pauseMs: number;
}

/** What the load balancer knows of one node. */
class BalancedNode {
  isHealthy = false;
  wasEverHealthy = false;
  readonly recentProbes: boolean[] = [];
  readonly connections = new Set<BalancedConnection>();
  healthySince = -Infinity;
  removedAt = -Infinity;
  pauseMs = MIN_PAUSE_MS;
  failedConnections = 0;
  passedOverUntil = -Infinity;

  private lastProbes(count: number, result: boolean): boolean {
    return this.recentProbes.length >= count && this.recentProbes.slice(-count).every((each) => each === result);
  }

  recordProbe(isSuccess: boolean): void {
    this.recentProbes.push(isSuccess);
    if (this.recentProbes.length > RECENT_PROBES) this.recentProbes.shift();
  }

  get hasFailed(): boolean {
    const failures = this.recentProbes.filter((each) => !each).length;
    return this.lastProbes(FAILURES_IN_A_ROW, false) || failures >= RECENT_FAILURES;
  }

  mayReturn(now: number): boolean {
    if (!this.wasEverHealthy) return this.lastProbes(1, true);
    return this.lastProbes(SUCCESSES_TO_RETURN, true) && now - this.removedAt >= this.pauseMs;
  }

  remove(now: number): void {
    const isRepeated = now - this.removedAt < REPEATED_REMOVAL_MS;
    this.pauseMs = isRepeated ? Math.min(MAX_PAUSE_MS, this.pauseMs * 2) : MIN_PAUSE_MS;
    this.isHealthy = false;
    this.removedAt = now;
  }

  restore(now: number): void {
    this.healthySince = this.wasEverHealthy ? now : -Infinity;
    this.isHealthy = true;
    this.wasEverHealthy = true;
    this.recentProbes.length = 0;
  }

  /** Open connections in relation to the share of new connections that the node gets. */
  load(now: number): number {
    const share = Math.min(1, Math.max(0.05, (now - this.healthySince) / RAMP_MS));
    return (this.connections.size + 1) / share;
  }
}

/** Chooses a node for each new connection of a user. */
export class LoadBalancer {
  /** All changes of the nodes' health, oldest first. */
  readonly changes: HealthChange[] = [];
  /** Called with the outcome of each probe: the status of the answer, or why there was none. */
  onProbe: (node: number, outcome: string) => void = () => undefined;
  private readonly nodes: BalancedNode[];

  constructor(
    private readonly addresses: readonly string[],
    private readonly clock: Clock,
  ) {
    this.nodes = addresses.map(() => new BalancedNode());
  }

  /** Probes all nodes until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all(this.nodes.map((_, index) => this.probeRepeatedly(index, signal)));
  }

  private async probeRepeatedly(index: number, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const startedAt = this.clock.now();
      const probe = new KeepAliveConnection();
      const reply = await probe.send({
        ...{ address: this.addresses[index]!, method: 'GET', path: '/up' },
        timeoutMs: PROBE_TIMEOUT_MS,
      });
      probe.close();
      if (signal.aborted) return;
      this.onProbe(index, String(reply?.status ?? probe.lastFailure));
      this.recordProbe(index, reply?.status === 200);
      await this.clock.sleep(Math.max(0, PROBE_PERIOD_MS - (this.clock.now() - startedAt)), signal);
    }
  }

  private recordProbe(index: number, isSuccess: boolean): void {
    const node = this.nodes[index]!;
    const now = this.clock.now();
    node.recordProbe(isSuccess);
    if (node.isHealthy && node.hasFailed) {
      node.remove(now);
      this.changes.push({ at: now, node: index, isHealthy: false, pauseMs: node.pauseMs });
    } else if (!node.isHealthy && node.mayReturn(now)) {
      node.restore(now);
      this.changes.push({ at: now, node: index, isHealthy: true, pauseMs: 0 });
    }
    if (!node.isHealthy && now - node.removedAt >= RESET_AFTER_MS) {
      for (const connection of [...node.connections]) connection.reset();
    }
  }

  /** The number of users' connections to each node, or undefined for a node that is not healthy. */
  connectionCounts(): (number | undefined)[] {
    return this.nodes.map(({ isHealthy, connections }) => (isHealthy ? connections.size : undefined));
  }

  /** The node for a new connection; undefined if none is healthy. */
  choose(excluded: ReadonlySet<number> = new Set()): number | undefined {
    const now = this.clock.now();
    const candidates = this.nodes
      .map((node, index) => ({ node, index }))
      .filter(({ node, index }) => node.isHealthy && !excluded.has(index) && now >= node.passedOverUntil);
    candidates.sort((a, b) => a.node.load(now) - b.node.load(now));
    return candidates[0]?.index;
  }

  connectionOpened(connection: BalancedConnection): void {
    const node = this.nodes[connection.node]!;
    node.failedConnections = 0;
    node.connections.add(connection);
  }

  connectionClosed(connection: BalancedConnection): void {
    this.nodes[connection.node]!.connections.delete(connection);
  }

  /** The node has refused a connection or not accepted it in time. */
  connectionFailed(index: number): void {
    const node = this.nodes[index]!;
    node.failedConnections++;
    if (node.failedConnections < FAILED_CONNECTIONS) return;
    node.failedConnections = 0;
    node.passedOverUntil = this.clock.now() + PASSED_OVER_MS;
  }
}
