/** Composes what this node tells its peers every second, and takes in what they tell. */
import { GOSSIP_VIEW_MS } from '../constants.js';
import type { Settings } from '../config/settings.js';
import type { Coverage } from '../mesh/coverage.js';
import type { Gossip, MachineNews } from '../mesh/messages.js';
import type { Peers } from '../mesh/peers.js';
import {
  ReceivedMachineUpdates,
  describeOwnMachines,
  type OwnMachines,
  type SentMachineUpdates,
} from '../mesh/machine-updates.js';
import type { Clock } from '../net/clock.js';
import type { Replica } from '../state/replica.js';
import { partitionRole, type Claims } from './claims.js';
import type { Fleet, MachineInfo } from './fleet.js';
import type { Log } from './log.js';
import type { Owner } from './owner.js';

export interface GossipExchangeDependencies {
  settings: Settings;
  clock: Clock;
  log: Log;
  replica: Replica;
  peers: Peers;
  coverage: Coverage;
  claims: Claims;
  owner: Owner;
  fleet: Fleet;
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
    const { settings, clock, replica, peers, coverage, claims, fleet, owner, sentUpdates } = this.dependencies;
    const now = clock.now();
    if (this.loadedAt === undefined && replica.loaded) this.loadedAt = now;
    return {
      node: settings.node,
      upMs: this.loadedAt === undefined ? 0 : now - this.loadedAt,
      freshAgeMs: Math.min(now - replica.freshAt, 1e12),
      withoutStore: this.dependencies.isWithoutStore(),
      hears: peers.heard(),
      ...coverage.tell(to),
      ...sentUpdates.compose(to, this.ownMachines(now), this.othersMachines(now, to), now),
      wants: this.missed.has(to),
      knocks: [
        ...[...owner.misdirected.entries()].map(([host, at]) => ({ host, ageMs: now - at })),
        // After a restart hundreds knock: what the peer hears itself is not passed on to it.
        ...(this.unheardBy(to).size > 0 ? peers.knocksHeard() : []),
      ],
      avoids: claims.avoided(),
      gone: fleet.lately(),
    };
  }

  /** The machines of this node's partitions, described once for all peers. */
  private ownMachines(now: number): OwnMachines {
    if (now - this.own.at < GOSSIP_VIEW_MS) return this.own;
    const { claims, fleet } = this.dependencies;
    // A node that must not answer its workers knows nothing of them either.
    const partitions = claims
      .ownedPartitions()
      .filter((partition) => claims.mayAnswer(partitionRole(partition)) !== undefined);
    const machines = fleet.own().filter(({ host }) => partitions.includes(claims.partitionOf(host)));
    this.own = describeOwnMachines(
      now,
      machines.map((machine) => encodeMachine(machine, now, now)),
    );
    return this.own;
  }

  /** The nodes that a peer does not hear itself. */
  private unheardBy(peer: string): Set<string> {
    const { settings, peers } = this.dependencies;
    const nodes = settings.peers.map(({ node }) => node);
    return new Set(nodes.filter((node) => node !== peer && !peers.hears(peer, node)));
  }

  /** Of others' machines only what a peer can't hear itself: all from everybody to everybody would grow with both. */
  private othersMachines(now: number, to: string): MachineNews[] {
    const unheard = this.unheardBy(to);
    if (unheard.size === 0) return [];
    const passed = this.dependencies.fleet.passOn((owner) => unheard.has(owner));
    return [...passed].map(({ machine, knownAt }) => encodeMachine(machine, now, knownAt));
  }

  /** Takes in what a peer tells. */
  receive(gossip: Gossip): void {
    const { clock, peers, coverage, fleet, sentUpdates } = this.dependencies;
    peers.hear(gossip);
    coverage.hear(gossip);
    for (const host of gossip.gone) fleet.remove(host);
    const now = clock.now();
    if (gossip.wants) sentUpdates.renew(gossip.node);
    const { machines, same, gap } = this.receivedUpdates.take(gossip);
    if (gap) this.noteGap(gossip.node);
    if (gossip.whole) this.missed.delete(gossip.node);
    for (const machine of machines) fleet.hear(decodeMachine(machine, now), now - machine.knownAgeMs);
    for (const { machine, heardAgeMs, tick } of same) {
      if (fleet.hearAgain(machine.host, gossip.node, now - heardAgeMs, tick, now)) continue;
      fleet.hear(decodeMachine({ ...machine, heardAgeMs, tick, warnedMs: null }, now), now);
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
const encodeMachine = ({ heardAt, warnedUntil, ...rest }: MachineInfo, now: number, knownAt: number): MachineNews => ({
  ...rest,
  number: -1,
  heardAgeMs: now - heardAt,
  knownAgeMs: now - knownAt,
  warnedMs: warnedUntil === null ? null : warnedUntil - now,
});

const decodeMachine = ({ heardAgeMs, warnedMs, ...rest }: MachineNews, now: number): MachineInfo => ({
  ...rest,
  heardAt: now - heardAgeMs,
  warnedUntil: warnedMs === null ? null : now + warnedMs,
});
