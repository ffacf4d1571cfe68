/** Composes this node's periodic gossip to each peer, and applies the gossip received from peers. */
import { GOSSIP_SUMMARY_REUSE_MS } from '../constants/gossip.js';
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
import { describeOwnMachines, type OwnMachineSummaries, type SentMachineUpdates } from './sent-machine-updates.js';

/** Age in ms sent for a replica that the store has never confirmed, in place of infinity. */
const MAX_REPLICA_AGE_MS = 1e12;

/** The queries about this node's roles that gossip uses. */
export interface GossipedRoles {
  /** Roles that this node currently does not acquire. */
  avoidedRoles(): string[];
  ledPartitions(): number[];
  partitionOf(machineId: string): number;
  /** Returns undefined if this node must not answer the workers of the role's partition. */
  servingLeadershipOf(role: string): object | undefined;
}

/** Workers that sent a heartbeat to this node although another node leads their partition. */
export interface MisroutedWorkerTimes {
  /** The machine ids, each with the time of the last such heartbeat in monotonic ms. */
  entries(): Iterable<[string, number]>;
}

/** The machines known to this node. All times are monotonic ms of this node. */
export interface GossipedMachines {
  /** The machines of the partitions that this node leads. */
  ownMachines(): MachineInfo[];
  /** The peers' recent reports about machines whose leader the predicate accepts. */
  recentPeerReports(
    isWanted: (partitionLeader: string) => boolean,
  ): Iterable<{ machine: MachineInfo; reportedAt: number }>;
  recentlyTerminated(): string[];
  markTerminated(machineId: string): void;
  applyPeerReport(machine: MachineInfo, reportedAt: number): void;
  /** Returns false if the full state of the machine has to be applied instead. */
  refreshPeerReport(refresh: MachineRefresh, now: number): boolean;
}

/** Dependencies of GossipExchange. */
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
  /** The machine updates that each peer has been sent. */
  sentUpdates: SentMachineUpdates;
  /** Whether the store rejects this node's requests or doesn't answer them. */
  isWithoutStore: () => boolean;
  /** Sends gossip without waiting for the next period. */
  sendSoon: () => void;
}

/** Composes this node's gossip and receives its peers' gossip. */
export class GossipExchange {
  private readonly receivedUpdates = new ReceivedMachineUpdates();
  /** Peers whose messages have a gap, and from which a snapshot is requested. */
  private readonly peersWithGap = new Set<string>();
  /** When the replica was first found loaded, in monotonic ms; undefined until then. */
  private loadedAt: number | undefined;
  private cachedOwnMachines: OwnMachineSummaries = { describedAt: -Infinity, machines: [] };

  constructor(private readonly dependencies: GossipExchangeDependencies) {}

  /** Returns the gossip for one peer, which counts as sent: the next message builds on it. */
  compose(peer: string): Gossip {
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
      ...replicaFreshness.gossipFieldsFor(peer),
      ...sentUpdates.compose(peer, this.ownMachines(now), this.relayedMachines(now, peer), now),
      wantsSnapshot: this.peersWithGap.has(peer),
      misroutedHeartbeats: this.misroutedHeartbeats(now, peer),
      avoidedRoles: leadership.avoidedRoles(),
      terminatedMachines: inventory.recentlyTerminated(),
    };
  }

  private misroutedHeartbeats(now: number, peer: string): MisroutedHeartbeat[] {
    const { misroutedWorkers, peerDirectory } = this.dependencies;
    const own = [...misroutedWorkers.entries()].map(([machineId, at]) => ({ machineId, ageMs: now - at }));
    // After a restart there are hundreds, so those of other nodes are not relayed to a peer that receives their gossip itself.
    if (this.nodesUnreachableFrom(peer).size === 0) return own;
    return [...own, ...peerDirectory.recentMisroutedHeartbeats()];
  }

  /** The machines of the partitions that this node leads, described once for all peers. */
  private ownMachines(now: number): OwnMachineSummaries {
    if (now - this.cachedOwnMachines.describedAt < GOSSIP_SUMMARY_REUSE_MS) return this.cachedOwnMachines;
    const { leadership, inventory } = this.dependencies;
    // A node that must not answer a partition's workers does not report their machines either.
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

  /** The other nodes from which the peer does not report receiving gossip. */
  private nodesUnreachableFrom(peer: string): Set<string> {
    const { settings, peerDirectory } = this.dependencies;
    const nodes = settings.peers.map(({ node }) => node);
    return new Set(nodes.filter((node) => node !== peer && !peerDirectory.isReachableFrom(peer, node)));
  }

  /** Machines of nodes whose gossip doesn't reach the peer; relaying all would cost bytes in proportion to machines times nodes. */
  private relayedMachines(now: number, peer: string): MachineUpdate[] {
    const unreachable = this.nodesUnreachableFrom(peer);
    if (unreachable.size === 0) return [];
    const reports = this.dependencies.inventory.recentPeerReports((leader) => unreachable.has(leader));
    return [...reports].map(({ machine, reportedAt }) => toMachineUpdate(machine, now, reportedAt));
  }

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
      inventory.applyPeerReport(fromMachineUpdate(machine, now), now - machine.stateAgeMs);
    }
    for (const { machine, heartbeatAgeMs, sequence } of unchanged) {
      const { machineId } = machine;
      const refresh = { machineId, partitionLeader: gossip.node, lastHeartbeatAt: now - heartbeatAgeMs, sequence };
      if (inventory.refreshPeerReport(refresh, now)) continue;
      const current = { ...machine, heartbeatAgeMs, sequence, spotNoticeMs: null };
      inventory.applyPeerReport(fromMachineUpdate(current, now), now);
    }
  }

  /** Makes the next gossip to a peer request a snapshot, since the peer's message builds on one that did not arrive. */
  private requestSnapshot(peer: string): void {
    if (this.peersWithGap.has(peer)) return;
    this.peersWithGap.add(peer);
    this.dependencies.log.info({ from: peer }, 'peer message missed');
    this.dependencies.sendSoon();
  }
}
