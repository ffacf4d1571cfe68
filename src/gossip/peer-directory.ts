/** The other controllers' last gossip, and what follows from it. All times are monotonic ms of this node's clock. */
import { GOSSIP_SOON_MS, MISROUTED_HEARTBEAT_VALID_MS, PEER_LAG_MS, PEER_STATE_VALID_MS } from '../constants/gossip.js';
import { REPLICA_FRESH_MS } from '../constants/leadership.js';
import type { Clock } from '../net/clock.js';
import type { Gossip, MisroutedHeartbeat } from './messages.js';
import { MisroutedHeartbeats } from './misrouted-heartbeats.js';

interface PeerState {
  receivedAt: number;
  /** As of when the peer's replica was confirmed by the store. */
  replicaFreshAt: number;
  gossip: Gossip;
}

/** Answers questions about the peers. Gossip older than PEER_STATE_VALID_MS counts as none: its sender is not reachable. */
export class PeerDirectory {
  private readonly states = new Map<string, PeerState>();
  private readonly misroutedHeartbeats = new MisroutedHeartbeats();

  /** `nodes`: the other controllers. `ownFreshAt`: as of when this node's own replica was confirmed by the store. */
  constructor(
    private readonly nodes: readonly string[],
    private readonly clock: Clock,
    private readonly ownFreshAt: () => number,
  ) {}

  /** Stores a peer's gossip; that of an unknown node is ignored. */
  applyGossip(gossip: Gossip): void {
    if (!this.nodes.includes(gossip.node)) return;
    const now = this.clock.now();
    this.misroutedHeartbeats.apply(gossip.misroutedHeartbeats, now);
    this.states.set(gossip.node, { receivedAt: now, replicaFreshAt: now - gossip.replicaAgeMs, gossip });
  }

  private validStateOf(node: string): PeerState | undefined {
    const state = this.states.get(node);
    return state !== undefined && this.clock.now() - state.receivedAt < PEER_STATE_VALID_MS ? state : undefined;
  }

  /** The peers whose gossip arrives. */
  reachablePeers(): string[] {
    return this.nodes.filter((node) => this.validStateOf(node) !== undefined);
  }

  /** Gossip of all peers arrives. */
  get reachesAllPeers(): boolean {
    return this.reachablePeers().length === this.nodes.length;
  }

  /** Whether the peer states that gossip of the other node arrives at it. */
  isReachableFrom(peer: string, other: string): boolean {
    return this.validStateOf(peer)?.gossip.reachablePeers.includes(other) === true;
  }

  /** Whether the peer has lately read the store. */
  reachesStore(node: string): boolean {
    const state = this.validStateOf(node);
    return state !== undefined && this.clock.now() - state.replicaFreshAt < REPLICA_FRESH_MS * 2;
  }

  /** Distinguishes the peer's process from its earlier ones; undefined: the peer is not reachable. */
  incarnationOf(node: string): number | undefined {
    return this.validStateOf(node)?.gossip.incarnation;
  }

  /** When the peer's last gossip arrived; -Infinity: never. */
  lastGossipAt(node: string): number {
    return this.states.get(node)?.receivedAt ?? -Infinity;
  }

  /** ms since the peer first read the store; 0 if it is not reachable. */
  uptimeMs(node: string): number {
    return this.validStateOf(node)?.gossip.uptimeMs ?? 0;
  }

  /**
   * Whether the worker lately sent a heartbeat to a node that does not lead its partition, after its leader last got one at `leaderHeardAt`:
   * then it is alive. A misrouted heartbeat that was forwarded is no evidence beyond the heartbeat that the leader got by it, hence the
   * margin.
   */
  hasMisroutedHeartbeatSince(machineId: string, leaderHeardAt: number): boolean {
    const sentAt = this.misroutedHeartbeats.lastSentAtOf(machineId);
    return this.clock.now() - sentAt < MISROUTED_HEARTBEAT_VALID_MS && sentAt > leaderHeardAt + GOSSIP_SOON_MS;
  }

  /** The misrouted heartbeats that peers have stated, to be relayed. */
  recentMisroutedHeartbeats(): Iterable<MisroutedHeartbeat> {
    return this.misroutedHeartbeats.recent(this.clock.now());
  }

  /**
   * Whether a peer reads the store while this node does not. In an outage of the store all nodes lose it within a heartbeat of each
   * other, so a smaller lead proves nothing.
   */
  isAnyPeerWithStore(): boolean {
    const ownFreshAt = this.ownFreshAt();
    return this.nodes.some(
      (node) => this.reachesStore(node) && this.validStateOf(node)!.replicaFreshAt > ownFreshAt + PEER_LAG_MS,
    );
  }

  /** Whether the peer is reachable and does not want the role. */
  avoidsRole(node: string, role: string): boolean {
    return this.validStateOf(node)?.gossip.avoidedRoles.includes(role) === true;
  }

  /** Whether the peer is reachable and states that the store refuses it or doesn't answer it. */
  isWithoutStore(node: string): boolean {
    return this.validStateOf(node)?.gossip.isWithoutStore === true;
  }

  /** Whether any peer is without the store, or there are no peers to ask. */
  isAnyWithoutStore(): boolean {
    return this.nodes.length === 0 || this.nodes.some((node) => this.isWithoutStore(node));
  }
}
