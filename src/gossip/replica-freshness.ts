import { CLOCK_DRIFT } from '../constants/clocks.js';
import { DELTA_BYTES } from '../constants/gossip.js';
import { REPLICA_FRESH_MS } from '../constants/leadership.js';
import type { Clock } from '../net/clock.js';
import { deserializeChanges, type Replica } from '../store/replica.js';
import type { DeltaRequest, ReplicaDelta, Gossip, Message } from './messages.js';

/** A state of a peer's copy: its process, and how many changes that had taken in. */
interface Version {
  incarnation: number;
  version: number;
}

/**
 * As of when this node's copy is known to hold every record that any node's copy holds. The store shows it while it answers.
 * Without it the copies are brought up from each other: whatever a peer has confirmed to a user, its own copy held first. So
 * once ours holds all that the peer's holds, only what it confirms later can be unknown here.
 *
 * Words are dated by an echo of this node's own clock, since a cut may hold a message back for minutes. A process that has
 * not read the store speaks for nobody: its former life may have confirmed what no other copy holds.
 */
export class ReplicaFreshness {
  /** The clocks of the peers as last received, to be echoed. */
  private readonly peerClocks = new Map<string, { incarnation: number; clockMs: number }>();
  private readonly merged = new Map<string, Version>();
  /** What is being told in several messages, and up to which revision it has been. */
  private readonly pendingDeltas = new Map<string, Version & { afterRevision: number }>();
  /** Steady ms as of which this copy held all that the peer's held. */
  private readonly coveredAt: Map<string, number>;
  /** Steady ms as of which some peer had a complete copy from the store, all of which ours holds. */
  private copiedAt = -Infinity;

  constructor(
    private readonly node: string,
    peers: readonly string[],
    /** Tells this process from its former lives. */
    private readonly incarnation: number,
    private readonly replica: Replica,
    private readonly clock: Clock,
    private readonly send: (node: string, message: Message) => void,
  ) {
    this.coveredAt = new Map(peers.map((peer) => [peer, -Infinity]));
  }

  /** What gossip to a peer says of this node's copy. */
  describe(peer: string): Pick<Gossip, 'clockMs' | 'echo' | 'isLoaded' | 'version'> {
    return {
      clockMs: this.clock.now(),
      echo: this.peerClocks.get(peer) ?? null,
      isLoaded: this.replica.isLoaded,
      version: this.replica.version,
    };
  }

  applyGossip({ node, incarnation, version, isLoaded, clockMs, echo, replicaAgeMs }: Gossip): void {
    if (!this.coveredAt.has(node)) return;
    this.peerClocks.set(node, { incarnation, clockMs });
    if (!isLoaded) return;
    const merged = this.merged.get(node);
    if (merged?.incarnation === incarnation && merged.version === version) {
      // Said by the peer no earlier than this.
      if (echo?.incarnation !== this.incarnation) return;
      this.coveredAt.set(node, Math.max(this.coveredAt.get(node)!, echo.clockMs));
      this.copiedAt = Math.max(this.copiedAt, echo.clockMs - replicaAgeMs * (1 + CLOCK_DRIFT));
    } else if (this.replica.isLoaded && this.clock.now() - this.replica.freshAt >= REPLICA_FRESH_MS) {
      this.requestDelta(node);
    }
  }

  private requestDelta(node: string): void {
    const { revision } = this.replica;
    this.pendingDeltas.delete(node);
    this.send(node, {
      kind: 'delta_request',
      payload: { node: this.node, fromRevision: revision, afterRevision: revision },
    });
  }

  /** Tells a peer what this copy holds since the peer's was complete. */
  answerDeltaRequest({ node, fromRevision, afterRevision }: DeltaRequest): void {
    if (!this.replica.isLoaded) return;
    const { version } = this.replica;
    const completeRevision = this.replica.completeFrom(fromRevision);
    const { last: lastRevision, isComplete, changes } = this.replica.changesSince(afterRevision, DELTA_BYTES);
    const payload: ReplicaDelta = {
      node: this.node,
      incarnation: this.incarnation,
      version,
      fromRevision,
      afterRevision,
      completeRevision,
      lastRevision,
      isComplete,
      changes,
    };
    this.send(node, { kind: 'replica_delta', payload });
  }

  applyDelta({
    node,
    incarnation,
    version,
    fromRevision,
    afterRevision,
    lastRevision,
    isComplete,
    completeRevision,
    changes,
  }: ReplicaDelta): void {
    if (!this.coveredAt.has(node) || !this.replica.isLoaded || fromRevision > this.replica.revision) return;
    this.replica.applyAllFromPeer(deserializeChanges(changes));
    // Only of one and the same state of the peer's copy do several messages make a whole.
    const begun =
      afterRevision === fromRevision ? { incarnation, version, afterRevision } : this.pendingDeltas.get(node);
    if (begun?.incarnation !== incarnation || begun.version !== version || begun.afterRevision !== afterRevision)
      return;
    if (isComplete) {
      this.pendingDeltas.delete(node);
      this.replica.completeTo(completeRevision);
      this.merged.set(node, { incarnation, version });
    } else if (lastRevision > afterRevision) {
      this.pendingDeltas.set(node, { incarnation, version, afterRevision: lastRevision });
      this.send(node, {
        kind: 'delta_request',
        payload: { node: this.node, fromRevision, afterRevision: lastRevision },
      });
    }
  }

  /** Steady ms: no node can have confirmed anything before it that this node's copy does not hold. */
  completeAsOf(): number {
    return Math.max(this.replica.freshAt, this.copiedAt, Math.min(...this.coveredAt.values()));
  }
}
