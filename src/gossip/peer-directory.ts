/** The last gossip of each other controller, and the state derived from it. All times are monotonic ms of this node's clock. */
import {
  MISROUTED_HEARTBEAT_VALID_MS,
  PEER_LAG_MS,
  PEER_STATE_VALID_MS,
  URGENT_GOSSIP_BATCHING_MS,
} from '../constants/gossip.js';
import { REPLICA_FRESH_MS } from '../constants/leadership.js';
import type { Clock } from '../net/clock.js';
import type { Gossip, MisroutedHeartbeat } from './messages.js';
import { MisroutedHeartbeats } from './misrouted-heartbeats.js';

interface PeerState {
  receivedAt: number;
  /** The time as of which the store last confirmed the peer's replica. */
  replicaFreshAt: number;
  gossip: Gossip;
}

/** Answers queries about the peers. A peer without gossip for PEER_STATE_VALID_MS is treated as unreachable. */
export class PeerDirectory {
  private readonly states = new Map<string, PeerState>();
  private readonly misroutedHeartbeats = new MisroutedHeartbeats();

  /** `nodes` are the other controllers; `ownReplicaFreshAt` returns the time as of which the store last confirmed the own replica. */
  constructor(
    private readonly nodes: readonly string[],
    private readonly clock: Clock,
    private readonly ownReplicaFreshAt: () => number,
  ) {}

  /** Stores a peer's gossip; gossip of an unknown node is ignored. */
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

  /** The peers whose gossip arrives at this node. */
  reachablePeers(): string[] {
    return this.nodes.filter((node) => this.validStateOf(node) !== undefined);
  }

  /** Whether the gossip of all peers arrives at this node. */
  get reachesAllPeers(): boolean {
    return this.reachablePeers().length === this.nodes.length;
  }

  /** Whether the peer reports that it receives the other node's gossip. */
  isReachableFrom(peer: string, other: string): boolean {
    return this.validStateOf(peer)?.gossip.reachablePeers.includes(other) === true;
  }

  /** Whether the peer is reachable and the store has recently confirmed its replica. */
  reachesStore(node: string): boolean {
    const state = this.validStateOf(node);
    return state !== undefined && this.clock.now() - state.replicaFreshAt < REPLICA_FRESH_MS * 2;
  }

  /** The incarnation of the peer's process, or undefined if the peer is not reachable. */
  incarnationOf(node: string): number | undefined {
    return this.validStateOf(node)?.gossip.incarnation;
  }

  /** When the peer's last gossip arrived, or -Infinity if none has. */
  lastGossipAt(node: string): number {
    return this.states.get(node)?.receivedAt ?? -Infinity;
  }

  /** ms since the peer's process first read the store, or 0 if the peer is not reachable. */
  uptimeMs(node: string): number {
    return this.validStateOf(node)?.gossip.uptimeMs ?? 0;
  }

  /**
   * Whether the worker is alive because it recently sent a heartbeat to a node that does not lead its partition, after the last
   * heartbeat that its leader received, at `leaderContactAt`. The margin excludes a misrouted heartbeat that was forwarded to the
   * leader, since it is the one that the leader received.
   */
  hasMisroutedHeartbeatSince(machineId: string, leaderContactAt: number): boolean {
    const sentAt = this.misroutedHeartbeats.lastSentAtOf(machineId);
    return (
      this.clock.now() - sentAt < MISROUTED_HEARTBEAT_VALID_MS && sentAt > leaderContactAt + URGENT_GOSSIP_BATCHING_MS
    );
  }

  /** The recent misrouted heartbeats that peers have reported, to be relayed to other peers. */
  recentMisroutedHeartbeats(): Iterable<MisroutedHeartbeat> {
    return this.misroutedHeartbeats.recent(this.clock.now());
  }

  /**
   * Whether a peer reaches the store while this node does not. In a store outage, all nodes lose the store within one lease renewal
   * period of each other, so a peer's replica that is fresher by less than PEER_LAG_MS proves nothing.
   */
  canOnlyPeersReachStore(): boolean {
    const ownFreshAt = this.ownReplicaFreshAt();
    return this.nodes.some(
      (node) => this.reachesStore(node) && this.validStateOf(node)!.replicaFreshAt > ownFreshAt + PEER_LAG_MS,
    );
  }

  /** Whether the peer is reachable and currently does not acquire the role. */
  avoidsRole(node: string, role: string): boolean {
    return this.validStateOf(node)?.gossip.avoidedRoles.includes(role) === true;
  }

  /** Whether the peer is reachable and reports that the store rejects its requests or doesn't answer them. */
  isWithoutStore(node: string): boolean {
    return this.validStateOf(node)?.gossip.isWithoutStore === true;
  }

  /** Whether any peer reports that it can't use the store, or there are no peers. */
  isAnyPeerWithoutStore(): boolean {
    return this.nodes.length === 0 || this.nodes.some((node) => this.isWithoutStore(node));
  }
}
