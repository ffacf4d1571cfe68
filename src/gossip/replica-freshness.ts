/**
 * As of when this node's replica is known to hold every record that any node's replica holds.
 *
 * The store shows it while it answers. Without the store the replicas are brought up to date from each other: whatever a peer has
 * confirmed to a user, its own replica held first. So once this replica holds everything that the peer's holds, only what the peer
 * confirms later can be unknown here.
 *
 * A peer's statement counts from the instant of this node's own clock that it echoes, since a network partition may delay a message
 * for minutes. A process that has not read the store proves nothing: its earlier incarnation may have confirmed what no other
 * replica holds.
 */
import { CLOCK_DRIFT } from '../constants/clocks.js';
import { DELTA_BYTES } from '../constants/gossip.js';
import { REPLICA_FRESH_MS } from '../constants/leadership.js';
import type { Clock } from '../net/clock.js';
import { deserializeChanges, type Replica } from '../store/replica.js';
import type { DeltaRequest, Gossip, Message, ReplicaDelta } from './messages.js';

/** One state of a peer's replica: the process that holds it, and how many changes it had applied. */
interface ReplicaVersion {
  incarnation: number;
  version: number;
}

/** A delta that arrives in several messages, all of one version of the peer's replica. */
interface PendingDelta extends ReplicaVersion {
  /** The revision of the last change received. */
  afterRevision: number;
}

/** What ReplicaFreshness works with. */
export interface ReplicaFreshnessDependencies {
  /** This node. */
  node: string;
  /** The other nodes. */
  peers: readonly string[];
  /** Distinguishes this process from its earlier incarnations. */
  incarnation: number;
  replica: Replica;
  clock: Clock;
  send: (node: string, message: Message) => void;
}

/** Tracks how complete this node's replica is, and requests deltas from peers while the store can't be read. */
export class ReplicaFreshness {
  /** The clocks of the peers as last received, to be echoed. */
  private readonly peerClocks = new Map<string, { incarnation: number; clockMs: number }>();
  /** The version of each peer's replica that this replica contains completely. */
  private readonly merged = new Map<string, ReplicaVersion>();
  private readonly pendingDeltas = new Map<string, PendingDelta>();
  /** Monotonic ms as of which this replica held everything that the peer's held. */
  private readonly coveredAt: Map<string, number>;
  /** Monotonic ms as of which some peer had a complete replica from the store, all of which this one holds. */
  private copiedAt = -Infinity;

  constructor(private readonly dependencies: ReplicaFreshnessDependencies) {
    this.coveredAt = new Map(dependencies.peers.map((peer) => [peer, -Infinity]));
  }

  /** The fields of the gossip to a peer that concern this node's replica. */
  describe(peer: string): Pick<Gossip, 'clockMs' | 'echo' | 'isLoaded' | 'version'> {
    const { clock, replica } = this.dependencies;
    return {
      clockMs: clock.now(),
      echo: this.peerClocks.get(peer) ?? null,
      isLoaded: replica.isLoaded,
      version: replica.version,
    };
  }

  /** Applies a peer's gossip; requests a delta if the peer's replica holds something unknown and the store doesn't answer. */
  applyGossip({ node, incarnation, version, isLoaded, clockMs, echo, replicaAgeMs }: Gossip): void {
    if (!this.coveredAt.has(node)) return;
    this.peerClocks.set(node, { incarnation, clockMs });
    if (!isLoaded) return;
    const { replica, clock } = this.dependencies;
    const merged = this.merged.get(node);
    if (merged?.incarnation === incarnation && merged.version === version) this.confirm(node, echo, replicaAgeMs);
    else if (replica.isLoaded && clock.now() - replica.freshAt >= REPLICA_FRESH_MS) this.requestDelta(node);
  }

  /** This replica holds all that the peer's held when it sent the echo, which was no earlier than the echoed instant. */
  private confirm(node: string, echo: Gossip['echo'], replicaAgeMs: number): void {
    if (echo?.incarnation !== this.dependencies.incarnation) return;
    this.coveredAt.set(node, Math.max(this.coveredAt.get(node)!, echo.clockMs));
    this.copiedAt = Math.max(this.copiedAt, echo.clockMs - replicaAgeMs * (1 + CLOCK_DRIFT));
  }

  private requestDelta(node: string): void {
    const { revision } = this.dependencies.replica;
    this.pendingDeltas.delete(node);
    this.sendDeltaRequest(node, revision, revision);
  }

  private sendDeltaRequest(to: string, fromRevision: number, afterRevision: number): void {
    const { node, send } = this.dependencies;
    send(to, { kind: 'delta_request', payload: { node, fromRevision, afterRevision } });
  }

  /** Sends a peer what this replica holds since the peer's was complete, as much as fits one message. */
  answerDeltaRequest({ node: requester, fromRevision, afterRevision }: DeltaRequest): void {
    const { node, incarnation, replica, send } = this.dependencies;
    if (!replica.isLoaded) return;
    const { version } = replica;
    const completeRevision = replica.completeFrom(fromRevision);
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

  /** Applies a peer's delta, and requests the rest if there is more. */
  applyDelta(delta: ReplicaDelta): void {
    const { replica } = this.dependencies;
    if (!this.coveredAt.has(delta.node) || !replica.isLoaded || delta.fromRevision > replica.revision) return;
    replica.applyAllFromPeer(deserializeChanges(delta.changes));
    if (this.continuesDelta(delta)) this.advanceDelta(delta);
  }

  /** Several messages make a complete delta only if they are of one and the same version of the peer's replica. */
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
      this.dependencies.replica.completeTo(delta.completeRevision);
      this.merged.set(node, { incarnation, version });
    } else if (lastRevision > afterRevision) {
      this.pendingDeltas.set(node, { incarnation, version, afterRevision: lastRevision });
      this.sendDeltaRequest(node, fromRevision, lastRevision);
    }
  }

  /** Monotonic ms: no node can have confirmed anything before it that this node's replica does not hold. */
  completeAsOf(): number {
    return Math.max(this.dependencies.replica.freshAt, this.copiedAt, Math.min(...this.coveredAt.values()));
  }
}
