/**
 * Tracks the time as of which this node's replica is known to contain every record that any node's replica contains.
 *
 * While the store answers, its responses prove this. Without the store, the replicas are updated from each other. A peer confirms a
 * change to a user only after its own replica contains it. So once this replica contains everything that the peer's contains, only
 * changes that the peer confirms later can be missing here.
 *
 * A peer's gossip is valid as of the time of this node's own clock that it echoes, since a network partition may delay a message for
 * minutes. A process that has not read the store proves nothing: its earlier incarnation may have confirmed changes that no other
 * replica contains.
 */
import { CLOCK_DRIFT } from '../constants/clocks.js';
import { DELTA_BYTES } from '../constants/gossip.js';
import { REPLICA_FRESH_MS } from '../constants/leadership.js';
import type { Count } from '../domain/count.js';
import type { Clock } from '../net/clock.js';
import { deserializeChanges, type Replica } from '../store/replica.js';
import type { DeltaRequest, Gossip, Message, ReplicaDelta } from './messages.js';

/** One state of a peer's replica: the incarnation of the peer, and the number of changes applied. */
interface ReplicaVersion {
  incarnation: number;
  version: number;
}

/** A partly received delta; all of its messages must have the same version of the peer's replica. */
interface PendingDelta extends ReplicaVersion {
  /** The revision of the last change received. */
  afterRevision: Count;
}

/** Dependencies of ReplicaFreshness. */
export interface ReplicaFreshnessDependencies {
  /** This node. */
  node: string;
  /** The other nodes. */
  peers: readonly string[];
  /** Distinguishes this process from earlier processes of the node. */
  incarnation: number;
  replica: Replica;
  clock: Clock;
  send: (node: string, message: Message) => void;
}

/** Tracks how complete this node's replica is, and requests deltas from peers while the store can't be read. */
export class ReplicaFreshness {
  /** The last received clock of each peer, which is echoed to it. */
  private readonly peerClocks = new Map<string, { incarnation: number; clockMs: number }>();
  /** For each peer, the version of its replica that was completely merged into this one. */
  private readonly mergedVersions = new Map<string, ReplicaVersion>();
  private readonly pendingDeltas = new Map<string, PendingDelta>();
  /** For each peer, the time in monotonic ms as of which this replica contained everything that the peer's replica contained. */
  private readonly mergedAsOf: Map<string, number>;
  /** Time in monotonic ms as of which some peer's replica, merged into this one, was complete according to the store. */
  private freshAsOfFromPeers = -Infinity;

  constructor(private readonly dependencies: ReplicaFreshnessDependencies) {
    this.mergedAsOf = new Map(dependencies.peers.map((peer) => [peer, -Infinity]));
  }

  /** The gossip fields about this node's replica, for one peer. */
  gossipFieldsFor(peer: string): Pick<Gossip, 'clockMs' | 'echo' | 'isLoaded' | 'version'> {
    const { clock, replica } = this.dependencies;
    return {
      clockMs: clock.now(),
      echo: this.peerClocks.get(peer) ?? null,
      isLoaded: replica.isLoaded,
      version: replica.version,
    };
  }

  /** Applies a peer's gossip; requests a delta if the peer's replica may contain unknown changes and the store doesn't answer. */
  applyGossip({ node, incarnation, version, isLoaded, clockMs, echo, replicaAgeMs }: Gossip): void {
    if (!this.mergedAsOf.has(node)) return;
    this.peerClocks.set(node, { incarnation, clockMs });
    if (!isLoaded) return;
    const { replica, clock } = this.dependencies;
    const merged = this.mergedVersions.get(node);
    if (merged?.incarnation === incarnation && merged.version === version)
      this.advanceFreshness(node, echo, replicaAgeMs);
    else if (replica.isLoaded && clock.now() - replica.freshAt >= REPLICA_FRESH_MS) this.requestDelta(node);
  }

  /** This replica contains all that the peer's contained when it sent the echo, which was not before the echoed time. */
  private advanceFreshness(node: string, echo: Gossip['echo'], replicaAgeMs: number): void {
    if (echo?.incarnation !== this.dependencies.incarnation) return;
    this.mergedAsOf.set(node, Math.max(this.mergedAsOf.get(node)!, echo.clockMs));
    this.freshAsOfFromPeers = Math.max(this.freshAsOfFromPeers, echo.clockMs - replicaAgeMs * (1 + CLOCK_DRIFT));
  }

  private requestDelta(node: string): void {
    const { revision } = this.dependencies.replica;
    this.pendingDeltas.delete(node);
    this.sendDeltaRequest(node, revision, revision);
  }

  private sendDeltaRequest(to: string, fromRevision: Count, afterRevision: Count): void {
    const { node, send } = this.dependencies;
    send(to, { kind: 'delta_request', payload: { node, fromRevision, afterRevision } });
  }

  /** Sends a peer the changes after the revision that it requests, as many as fit in one message. */
  answerDeltaRequest({ node: requester, fromRevision, afterRevision }: DeltaRequest): void {
    const { node, incarnation, replica, send } = this.dependencies;
    if (!replica.isLoaded) return;
    const { version } = replica;
    const completeRevision = replica.completeRevisionAfter(fromRevision);
    const { last: lastRevision, isComplete, changes } = replica.changesSince(afterRevision, DELTA_BYTES);
    send(requester, {
      kind: 'replica_delta',
      payload: {
        ...{ node, incarnation, version },
        ...{ fromRevision, afterRevision, lastRevision, completeRevision },
        isComplete,
        changes,
      },
    });
  }

  /** Applies a delta message from a peer, and requests the next one if there are more changes. */
  applyDelta(delta: ReplicaDelta): void {
    const { replica } = this.dependencies;
    if (!this.mergedAsOf.has(delta.node) || !replica.isLoaded || delta.fromRevision > replica.revision) return;
    replica.applyAllFromPeer(deserializeChanges(delta.changes));
    if (this.continuesDelta(delta)) this.advanceDelta(delta);
  }

  /** Several messages form a complete delta only if all have the same version of the peer's replica. */
  private continuesDelta({ node, incarnation, version, fromRevision, afterRevision }: ReplicaDelta): boolean {
    if (afterRevision === fromRevision) return true;
    const pending = this.pendingDeltas.get(node);
    if (pending === undefined) return false;
    return (
      pending.incarnation === incarnation && pending.version === version && pending.afterRevision === afterRevision
    );
  }

  private advanceDelta(delta: ReplicaDelta): void {
    const { node, incarnation, version, fromRevision, afterRevision, lastRevision } = delta;
    if (delta.isComplete) {
      this.pendingDeltas.delete(node);
      this.dependencies.replica.markCompleteTo(delta.completeRevision);
      this.mergedVersions.set(node, { incarnation, version });
    } else if (lastRevision > afterRevision) {
      this.pendingDeltas.set(node, { incarnation, version, afterRevision: lastRevision });
      this.sendDeltaRequest(node, fromRevision, lastRevision);
    }
  }

  /** Time in monotonic ms. Every change that any node confirmed before it is contained in this node's replica. */
  completeAsOf(): number {
    return Math.max(this.dependencies.replica.freshAt, this.freshAsOfFromPeers, Math.min(...this.mergedAsOf.values()));
  }
}
