import { REPLICA_FRESH_MS } from '../constants/leadership.js';
import { GOSSIP_SOON_MS, MISROUTED_HEARTBEAT_VALID_MS, PEER_LAG_MS, PEER_STATE_VALID_MS } from '../constants/gossip.js';
import type { Clock } from '../net/clock.js';
import type { Gossip } from './messages.js';

interface PeerState {
  heardAt: number;
  /** Steady ms, this node's clock, as of which the peer knew the store's records. */
  freshAt: number;
  gossip: Gossip;
}

/** What the other controllers last said, and what follows from it. */
export class PeerDirectory {
  private readonly states = new Map<string, PeerState>();
  private readonly misroutedHeartbeats = new Map<string, number>();

  constructor(
    private readonly nodes: readonly string[],
    private readonly clock: Clock,
    private readonly ownFreshAt: () => number,
  ) {}

  applyGossip(gossip: Gossip): void {
    if (!this.nodes.includes(gossip.node)) return;
    const now = this.clock.now();
    for (const { machineId, ageMs } of gossip.misroutedHeartbeats) {
      this.misroutedHeartbeats.set(
        machineId,
        Math.max(this.misroutedHeartbeats.get(machineId) ?? -Infinity, now - ageMs),
      );
    }
    this.states.set(gossip.node, { heardAt: now, freshAt: now - gossip.replicaAgeMs, gossip });
  }

  private freshState(node: string): PeerState | undefined {
    const word = this.states.get(node);
    return word !== undefined && this.clock.now() - word.heardAt < PEER_STATE_VALID_MS ? word : undefined;
  }

  /** The nodes heard just now. */
  reachablePeers(): string[] {
    return this.nodes.filter((node) => this.freshState(node) !== undefined);
  }

  /** All other nodes have been heard just now. */
  get reachesAllPeers(): boolean {
    return this.reachablePeers().length === this.nodes.length;
  }

  /** Does that peer say that it hears the other node itself? */
  isReachableFrom(peer: string, other: string): boolean {
    return this.freshState(peer)?.gossip.reachablePeers.includes(other) === true;
  }

  reachesStore(node: string): boolean {
    const word = this.freshState(node);
    return word !== undefined && this.clock.now() - word.freshAt < REPLICA_FRESH_MS * 2;
  }

  /** The peer's process, told from its former ones; undefined: it is not heard. */
  incarnationOf(node: string): number | undefined {
    return this.freshState(node)?.gossip.incarnation;
  }

  /** Steady ms when the peer was last heard. */
  lastHeardAt(node: string): number {
    return this.states.get(node)?.heardAt ?? -Infinity;
  }

  /** ms since the peer came up, 0 if it is not heard. */
  uptimeMs(node: string): number {
    return this.freshState(node)?.gossip.uptimeMs ?? 0;
  }

  /**
   * Did the worker lately ask at a node that does not own it, after its owner had last heard it? Then it lives. A knock
   * that was relayed is no more than the report that the owner heard by it.
   */
  hasReportedElsewhere(machineId: string, heardAt: number): boolean {
    const at = this.misroutedHeartbeats.get(machineId) ?? -Infinity;
    return this.clock.now() - at < MISROUTED_HEARTBEAT_VALID_MS && at > heardAt + GOSSIP_SOON_MS;
  }

  /** Knocks heard of, to be passed on. */
  *recentMisroutedHeartbeats(): Iterable<{ machineId: string; ageMs: number }> {
    const now = this.clock.now();
    for (const [machineId, at] of this.misroutedHeartbeats) {
      if (now - at < MISROUTED_HEARTBEAT_VALID_MS) yield { machineId, ageMs: now - at };
      else this.misroutedHeartbeats.delete(machineId);
    }
  }

  /** A peer is in touch with the store while this node is not. In an outage all lose touch within a heartbeat. */
  isAnyWithStore(): boolean {
    const mine = this.ownFreshAt();
    return this.nodes.some((node) => this.reachesStore(node) && this.freshState(node)!.freshAt > mine + PEER_LAG_MS);
  }

  avoidsRole(node: string, role: string): boolean {
    return this.freshState(node)?.gossip.avoidedRoles.includes(role) === true;
  }

  /** The peer is up, and says that the store refuses or doesn't answer it. */
  isWithoutStore(node: string): boolean {
    return this.freshState(node)?.gossip.isWithoutStore === true;
  }

  isAnyWithoutStore(): boolean {
    return this.nodes.length === 0 || this.nodes.some((node) => this.isWithoutStore(node));
  }
}
