/** Composes this node's periodic gossip to each peer, and applies the peers' gossip to this node's parts. */
import { GOSSIP_VIEW_MS } from '../constants/gossip.js';
import type { MachineInfo, MachineRefresh } from '../domain/machine-state.js';
import { partitionRole } from '../domain/role.js';
import type { Settings } from '../domain/settings.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { Replica } from '../store/replica.js';
import { fromMachineUpdate, toMachineUpdate } from './machine-update-conversion.js';
import type { Gossip, MachineUpdate, MisroutedHeartbeat } from './messages.js';
import type { PeerDirectory } from './peer-directory.js';
import { ReceivedMachineUpdates } from './received-machine-updates.js';
import type { ReplicaFreshness } from './replica-freshness.js';
import { describeOwnMachines, type OwnMachines, type SentMachineUpdates } from './sent-machine-updates.js';

/** Stands for the age of a replica that the store has never confirmed, ms: gossip has no infinity. */
const MAX_REPLICA_AGE_MS = 1e12;

/** What gossip needs to know of this node's roles. */
export interface GossipedRoles {
  /** Roles that this node does not want for now. */
  avoidedRoles(): string[];
  ledPartitions(): number[];
  partitionOf(machineId: string): number;
  /** undefined: this node must not answer the workers of the role's partition. */
  servingLeadershipOf(role: string): object | undefined;
}

/** Workers that sent a heartbeat to this node although another one leads their partition. */
export interface MisroutedWorkerTimes {
  /** The machine ids with the monotonic ms of the last such heartbeat. */
  entries(): Iterable<[string, number]>;
}

/** The machines that this node knows; all times in monotonic ms of this node. */
export interface GossipedMachines {
  /** Those of the partitions led here. */
  ownMachines(): MachineInfo[];
  /** What peers have lately stated of machines whose leader the predicate accepts. */
  recentPeerStates(isWanted: (partitionLeader: string) => boolean): Iterable<{ machine: MachineInfo; knownAt: number }>;
  recentlyTerminated(): string[];
  markTerminated(machineId: string): void;
  applyPeerState(machine: MachineInfo, knownAt: number): void;
  /** False: what the leader stated of the machine before is not known here. */
  refreshPeerState(refresh: MachineRefresh, now: number): boolean;
}

/** What GossipExchange works with. */
export interface GossipExchangeDependencies {
  settings: Settings;
  clock: Clock;
  log: Log;
  replica: Replica;
  peerDirectory: PeerDirectory;
  replicaFreshness: ReplicaFreshness;
  leadership: GossipedRoles;
  misroutedWorkers: MisroutedWorkerTimes;
  inventory: GossipedMachines;
  /** What each peer has been sent of this node's machines. */
  sentUpdates: SentMachineUpdates;
  /** The store refuses this node's requests, or doesn't answer them. */
  isWithoutStore: () => boolean;
  /** Sends gossip before the next period. */
  sendSoon: () => void;
}

/** This node's side of the periodic gossip. */
export class GossipExchange {
  private readonly receivedUpdates = new ReceivedMachineUpdates();
  /** Peers that are asked for a snapshot. */
  private readonly peersWithGap = new Set<string>();
  /** Monotonic ms when the store had first been read; undefined: not yet. */
  private loadedAt: number | undefined;
  private cachedOwnMachines: OwnMachines = { at: -Infinity, machines: [] };

  constructor(private readonly dependencies: GossipExchangeDependencies) {}

  /** The gossip to one peer. Each message counts as sent: the next one builds on it. */
  compose(to: string): Gossip {
    const { settings, clock, replica, peerDirectory, replicaFreshness, leadership, inventory, sentUpdates } =
      this.dependencies;
    const now = clock.now();
    if (this.loadedAt === undefined && replica.isLoaded) this.loadedAt = now;
    return {
      node: settings.node,
      uptimeMs: this.loadedAt === undefined ? 0 : now - this.loadedAt,
      replicaAgeMs: Math.min(now - replica.freshAt, MAX_REPLICA_AGE_MS),
      isWithoutStore: this.dependencies.isWithoutStore(),
      reachablePeers: peerDirectory.reachablePeers(),
      ...replicaFreshness.describe(to),
      ...sentUpdates.compose(to, this.ownMachines(now), this.relayedMachines(now, to), now),
      wantsSnapshot: this.peersWithGap.has(to),
      misroutedHeartbeats: this.misroutedHeartbeats(now, to),
      avoidedRoles: leadership.avoidedRoles(),
      terminatedMachines: inventory.recentlyTerminated(),
    };
  }

  private misroutedHeartbeats(now: number, to: string): MisroutedHeartbeat[] {
    const { misroutedWorkers, peerDirectory } = this.dependencies;
    const own = [...misroutedWorkers.entries()].map(([machineId, at]) => ({ machineId, ageMs: now - at }));
    // After a restart there are hundreds: what the peer receives itself is not relayed to it.
    if (this.unreachableFrom(to).size === 0) return own;
    return [...own, ...peerDirectory.recentMisroutedHeartbeats()];
  }

  /** The machines of the partitions led here, described once for all peers. */
  private ownMachines(now: number): OwnMachines {
    if (now - this.cachedOwnMachines.at < GOSSIP_VIEW_MS) return this.cachedOwnMachines;
    const { leadership, inventory } = this.dependencies;
    // A node that must not answer its workers knows nothing of them either.
    const partitions = leadership
      .ledPartitions()
      .filter((partition) => leadership.servingLeadershipOf(partitionRole(partition)) !== undefined);
    const machines = inventory
      .ownMachines()
      .filter(({ machineId }) => partitions.includes(leadership.partitionOf(machineId)));
    this.cachedOwnMachines = describeOwnMachines(
      now,
      machines.map((machine) => toMachineUpdate(machine, now, now)),
    );
    return this.cachedOwnMachines;
  }

  /** The other nodes whose gossip does not arrive at the peer. */
  private unreachableFrom(peer: string): Set<string> {
    const { settings, peerDirectory } = this.dependencies;
    const nodes = settings.peers.map(({ node }) => node);
    return new Set(nodes.filter((node) => node !== peer && !peerDirectory.isReachableFrom(peer, node)));
  }

  /** Other nodes' machines, only where the peer gets no gossip of the node: all to everybody would grow with machines times nodes. */
  private relayedMachines(now: number, to: string): MachineUpdate[] {
    const unreachable = this.unreachableFrom(to);
    if (unreachable.size === 0) return [];
    const reports = this.dependencies.inventory.recentPeerStates((leader) => unreachable.has(leader));
    return [...reports].map(({ machine, knownAt }) => toMachineUpdate(machine, now, knownAt));
  }

  /** Applies a peer's gossip. */
  receive(gossip: Gossip): void {
    const { clock, peerDirectory, replicaFreshness, inventory, sentUpdates } = this.dependencies;
    peerDirectory.applyGossip(gossip);
    replicaFreshness.applyGossip(gossip);
    for (const machineId of gossip.terminatedMachines) inventory.markTerminated(machineId);
    if (gossip.wantsSnapshot) sentUpdates.requireSnapshot(gossip.node);
    this.receiveMachines(gossip, clock.now());
  }

  private receiveMachines(gossip: Gossip, now: number): void {
    const { inventory } = this.dependencies;
    const { machines, unchanged, hasGap } = this.receivedUpdates.apply(gossip);
    if (hasGap) this.requestSnapshot(gossip.node);
    if (gossip.isSnapshot) this.peersWithGap.delete(gossip.node);
    for (const machine of machines) {
      inventory.applyPeerState(fromMachineUpdate(machine, now), now - machine.stateAgeMs);
    }
    for (const { machine, heartbeatAgeMs, sequence } of unchanged) {
      const { machineId } = machine;
      const refresh = { machineId, partitionLeader: gossip.node, lastHeartbeatAt: now - heartbeatAgeMs, sequence };
      if (inventory.refreshPeerState(refresh, now)) continue;
      const current = { ...machine, heartbeatAgeMs, sequence, spotNoticeMs: null };
      inventory.applyPeerState(fromMachineUpdate(current, now), now);
    }
  }

  /** A message builds on one that did not arrive: the next gossip to the peer asks for a snapshot. */
  private requestSnapshot(peer: string): void {
    if (this.peersWithGap.has(peer)) return;
    this.peersWithGap.add(peer);
    this.dependencies.log.info({ from: peer }, 'peer message missed');
    this.dependencies.sendSoon();
  }
}
