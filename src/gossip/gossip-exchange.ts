/** Composes what this node tells its peers every second, and takes in what they tell. */
import { GOSSIP_VIEW_MS } from '../constants/gossip.js';
import type { Settings } from '../domain/settings.js';
import type { ReplicaFreshness } from './replica-freshness.js';
import type { Gossip, MachineUpdate } from './messages.js';
import type { PeerDirectory } from './peer-directory.js';
import { ReceivedMachineUpdates } from './received-machine-updates.js';
import { describeOwnMachines, type OwnMachines, type SentMachineUpdates } from './sent-machine-updates.js';
import type { Clock } from '../net/clock.js';
import type { Replica } from '../store/replica.js';
import type { Log } from '../logging/log.js';
import { MachineInfo } from '../domain/machine-state.js';
import { partitionRole } from '../domain/role.js';

/** What this node says of its roles. */
export interface GossipedRoles {
  avoidedRoles(): string[];
  ledPartitions(): number[];
  partitionOf(machineId: string): number;
  /** undefined: this node must not answer the workers of the role's partition. */
  servingLeadershipOf(role: string): object | undefined;
}

/** Workers that came to this node although another one leads their partition, with the steady ms. */
export interface MisroutedWorkerTimes {
  entries(): Iterable<[string, number]>;
}

/** The machines that this node knows, and what peers say of theirs. */
export interface GossipedMachines {
  ownMachines(): MachineInfo[];
  recentPeerReports(
    isWanted: (partitionLeader: string) => boolean,
  ): Iterable<{ machine: MachineInfo; knownAt: number }>;
  recentlyTerminated(): string[];
  markTerminated(machineId: string): void;
  applyPeerReport(machine: MachineInfo, knownAt: number): void;
  /** False: what the leader said of the machine before is not known here. */
  refreshPeerReport(machineId: string, leader: string, heardAt: number, sequence: number, now: number): boolean;
}

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
  /** What each peer has been told of this node's machines. */
  sentUpdates: SentMachineUpdates;
  /** The store refuses, or doesn't answer, this node. */
  isWithoutStore: () => boolean;
  /** Gossip goes out before its next turn. */
  sendSoon: () => void;
}

export class GossipExchange {
  private readonly receivedUpdates = new ReceivedMachineUpdates();
  /** Peers that must tell all once more. */
  private readonly missed = new Set<string>();
  /** Steady ms when the records had been read; undefined: not yet. */
  private loadedAt: number | undefined;
  private own: OwnMachines = { at: -Infinity, machines: [] };

  constructor(private readonly dependencies: GossipExchangeDependencies) {}

  /** What this node has to tell one peer. */
  compose(to: string): Gossip {
    const {
      settings,
      clock,
      replica,
      peerDirectory,
      replicaFreshness,
      leadership,
      inventory,
      misroutedWorkers,
      sentUpdates,
    } = this.dependencies;
    const now = clock.now();
    if (this.loadedAt === undefined && replica.isLoaded) this.loadedAt = now;
    return {
      node: settings.node,
      uptimeMs: this.loadedAt === undefined ? 0 : now - this.loadedAt,
      replicaAgeMs: Math.min(now - replica.freshAt, 1e12),
      isWithoutStore: this.dependencies.isWithoutStore(),
      reachablePeers: peerDirectory.reachablePeers(),
      ...replicaFreshness.describe(to),
      ...sentUpdates.compose(to, this.ownMachines(now), this.othersMachines(now, to), now),
      wantsSnapshot: this.missed.has(to),
      misroutedHeartbeats: [
        ...[...misroutedWorkers.entries()].map(([machineId, at]) => ({ machineId, ageMs: now - at })),
        // After a restart hundreds knock: what the peer hears itself is not passed on to it.
        ...(this.unheardBy(to).size > 0 ? peerDirectory.recentMisroutedHeartbeats() : []),
      ],
      avoidedRoles: leadership.avoidedRoles(),
      terminatedMachines: inventory.recentlyTerminated(),
    };
  }

  /** The machines of this node's partitions, described once for all peers. */
  private ownMachines(now: number): OwnMachines {
    if (now - this.own.at < GOSSIP_VIEW_MS) return this.own;
    const { leadership, inventory } = this.dependencies;
    // A node that must not answer its workers knows nothing of them either.
    const partitions = leadership
      .ledPartitions()
      .filter((partition) => leadership.servingLeadershipOf(partitionRole(partition)) !== undefined);
    const machines = inventory
      .ownMachines()
      .filter(({ machineId }) => partitions.includes(leadership.partitionOf(machineId)));
    this.own = describeOwnMachines(
      now,
      machines.map((machine) => encodeMachine(machine, now, now)),
    );
    return this.own;
  }

  /** The nodes that a peer does not hear itself. */
  private unheardBy(peer: string): Set<string> {
    const { settings, peerDirectory } = this.dependencies;
    const nodes = settings.peers.map(({ node }) => node);
    return new Set(nodes.filter((node) => node !== peer && !peerDirectory.isReachableFrom(peer, node)));
  }

  /** Of others' machines only what a peer can't hear itself: all from everybody to everybody would grow with both. */
  private othersMachines(now: number, to: string): MachineUpdate[] {
    const unheard = this.unheardBy(to);
    if (unheard.size === 0) return [];
    const passed = this.dependencies.inventory.recentPeerReports((partitionLeader) => unheard.has(partitionLeader));
    return [...passed].map(({ machine, knownAt }) => encodeMachine(machine, now, knownAt));
  }

  /** Takes in what a peer tells. */
  receive(gossip: Gossip): void {
    const { clock, peerDirectory, replicaFreshness, inventory, sentUpdates } = this.dependencies;
    peerDirectory.applyGossip(gossip);
    replicaFreshness.applyGossip(gossip);
    for (const machineId of gossip.terminatedMachines) inventory.markTerminated(machineId);
    const now = clock.now();
    if (gossip.wantsSnapshot) sentUpdates.requireSnapshot(gossip.node);
    const { machines, unchanged, hasGap } = this.receivedUpdates.apply(gossip);
    if (hasGap) this.noteGap(gossip.node);
    if (gossip.isSnapshot) this.missed.delete(gossip.node);
    for (const machine of machines) inventory.applyPeerReport(decodeMachine(machine, now), now - machine.stateAgeMs);
    for (const { machine, heartbeatAgeMs, sequence } of unchanged) {
      if (inventory.refreshPeerReport(machine.machineId, gossip.node, now - heartbeatAgeMs, sequence, now)) continue;
      inventory.applyPeerReport(decodeMachine({ ...machine, heartbeatAgeMs, sequence, spotNoticeMs: null }, now), now);
    }
  }

  /** A message builds on one that never came: the peer is asked to tell all once more. */
  private noteGap(peer: string): void {
    if (this.missed.has(peer)) return;
    this.missed.add(peer);
    this.dependencies.log.info({ from: peer }, 'a message of the peer is missing');
    this.dependencies.sendSoon();
  }
}

/** Moments become ages: the clocks of two nodes have nothing to do with each other. */
const encodeMachine = (
  { heardAt, spotNoticeUntil, ...rest }: MachineInfo,
  now: number,
  knownAt: number,
): MachineUpdate => ({
  ...rest,
  number: -1,
  heartbeatAgeMs: now - heardAt,
  stateAgeMs: now - knownAt,
  spotNoticeMs: spotNoticeUntil === null ? null : spotNoticeUntil - now,
});

const decodeMachine = ({ heartbeatAgeMs, spotNoticeMs, ...rest }: MachineUpdate, now: number): MachineInfo => ({
  ...rest,
  heardAt: now - heartbeatAgeMs,
  spotNoticeUntil: spotNoticeMs === null ? null : now + spotNoticeMs,
});
