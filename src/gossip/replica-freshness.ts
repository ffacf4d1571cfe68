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
  /** The clocks of the peers, as they last told them, to be echoed. */
  private readonly clocks = new Map<string, { incarnation: number; clock: number }>();
  private readonly merged = new Map<string, Version>();
  /** What is being told in several messages, and up to which revision it has been. */
  private readonly pendingDeltas = new Map<string, Version & { after: number }>();
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
  describe(peer: string): Pick<Gossip, 'clock' | 'echo' | 'isLoaded' | 'version'> {
    return {
      clock: this.clock.now(),
      echo: this.clocks.get(peer) ?? null,
      isLoaded: this.replica.isLoaded,
      version: this.replica.version,
    };
  }

  applyGossip({ node, incarnation, version, isLoaded, clock, echo, freshAgeMs }: Gossip): void {
    if (!this.coveredAt.has(node)) return;
    this.clocks.set(node, { incarnation, clock });
    if (!isLoaded) return;
    const merged = this.merged.get(node);
    if (merged?.incarnation === incarnation && merged.version === version) {
      // Said by the peer no earlier than this.
      if (echo?.incarnation !== this.incarnation) return;
      this.coveredAt.set(node, Math.max(this.coveredAt.get(node)!, echo.clock));
      this.copiedAt = Math.max(this.copiedAt, echo.clock - freshAgeMs * (1 + CLOCK_DRIFT));
    } else if (this.replica.isLoaded && this.clock.now() - this.replica.freshAt >= REPLICA_FRESH_MS) {
      this.requestDelta(node);
    }
  }

  private requestDelta(node: string): void {
    const { revision } = this.replica;
    this.pendingDeltas.delete(node);
    this.send(node, { kind: 'delta_request', payload: { node: this.node, from: revision, after: revision } });
  }

  /** Tells a peer what this copy holds since the peer's was complete. */
  answerDeltaRequest({ node, from, after }: DeltaRequest): void {
    if (!this.replica.isLoaded) return;
    const { version } = this.replica;
    const upTo = this.replica.completeFrom(from);
    const told = this.replica.changesSince(after, DELTA_BYTES);
    const payload: ReplicaDelta = {
      node: this.node,
      incarnation: this.incarnation,
      version,
      from,
      after,
      upTo,
      ...told,
    };
    this.send(node, { kind: 'replica_delta', payload });
  }

  applyDelta({ node, incarnation, version, from, after, last, isComplete, upTo, changes }: ReplicaDelta): void {
    if (!this.coveredAt.has(node) || !this.replica.isLoaded || from > this.replica.revision) return;
    this.replica.applyAllFromPeer(deserializeChanges(changes));
    // Only of one and the same state of the peer's copy do several messages make a whole.
    const begun = after === from ? { incarnation, version, after } : this.pendingDeltas.get(node);
    if (begun?.incarnation !== incarnation || begun.version !== version || begun.after !== after) return;
    if (isComplete) {
      this.pendingDeltas.delete(node);
      this.replica.completeTo(upTo);
      this.merged.set(node, { incarnation, version });
    } else if (last > after) {
      this.pendingDeltas.set(node, { incarnation, version, after: last });
      this.send(node, { kind: 'delta_request', payload: { node: this.node, from, after: last } });
    }
  }

  /** Steady ms: no node can have confirmed anything before it that this node's copy does not hold. */
  completeAsOf(): number {
    return Math.max(this.replica.freshAt, this.copiedAt, Math.min(...this.coveredAt.values()));
  }
}
