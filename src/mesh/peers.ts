import { FRESH_MS, GOSSIP_SOON_MS, KNOCK_MS, PEER_LAG_MS, PEER_WORD_MS } from '../constants.js';
import type { Clock } from '../net/clock.js';
import type { Gossip } from './messages.js';

interface Word {
  heardAt: number;
  /** Steady ms, this node's clock, as of which the peer knew the store's records. */
  freshAt: number;
  gossip: Gossip;
}

/** What the other controllers last said, and what follows from it. */
export class Peers {
  private readonly words = new Map<string, Word>();
  private readonly knocks = new Map<string, number>();

  constructor(
    private readonly nodes: readonly string[],
    private readonly clock: Clock,
    private readonly ownFreshAt: () => number,
  ) {}

  hear(gossip: Gossip): void {
    if (!this.nodes.includes(gossip.node)) return;
    const now = this.clock.now();
    for (const { host, ageMs } of gossip.knocks) {
      this.knocks.set(host, Math.max(this.knocks.get(host) ?? -Infinity, now - ageMs));
    }
    this.words.set(gossip.node, { heardAt: now, freshAt: now - gossip.freshAgeMs, gossip });
  }

  private fresh(node: string): Word | undefined {
    const word = this.words.get(node);
    return word !== undefined && this.clock.now() - word.heardAt < PEER_WORD_MS ? word : undefined;
  }

  /** The nodes heard just now. */
  heard(): string[] {
    return this.nodes.filter((node) => this.fresh(node) !== undefined);
  }

  /** Does that peer say that it hears the other node itself? */
  hears(peer: string, other: string): boolean {
    return this.fresh(peer)?.gossip.hears.includes(other) === true;
  }

  hasStore(node: string): boolean {
    const word = this.fresh(node);
    return word !== undefined && this.clock.now() - word.freshAt < FRESH_MS * 2;
  }

  /** The peer's process, told from its former ones; undefined: it is not heard. */
  lifeOf(node: string): number | undefined {
    return this.fresh(node)?.gossip.life;
  }

  /** Steady ms when the peer was last heard. */
  lastHeardAt(node: string): number {
    return this.words.get(node)?.heardAt ?? -Infinity;
  }

  /** ms since the peer came up, 0 if it is not heard. */
  upMs(node: string): number {
    return this.fresh(node)?.gossip.upMs ?? 0;
  }

  /**
   * Did the worker lately ask at a node that does not own it, after its owner had last heard it? Then it lives. A knock
   * that was relayed is no more than the report that the owner heard by it.
   */
  knocked(host: string, heardAt: number): boolean {
    const at = this.knocks.get(host) ?? -Infinity;
    return this.clock.now() - at < KNOCK_MS && at > heardAt + GOSSIP_SOON_MS;
  }

  /** Knocks heard of, to be passed on. */
  *knocksHeard(): Iterable<{ host: string; ageMs: number }> {
    const now = this.clock.now();
    for (const [host, at] of this.knocks) {
      if (now - at < KNOCK_MS) yield { host, ageMs: now - at };
      else this.knocks.delete(host);
    }
  }

  /** A peer is in touch with the store while this node is not. In an outage all lose touch within a heartbeat. */
  anyWithStore(): boolean {
    const mine = this.ownFreshAt();
    return this.nodes.some((node) => this.hasStore(node) && this.fresh(node)!.freshAt > mine + PEER_LAG_MS);
  }

  avoids(node: string, role: string): boolean {
    return this.fresh(node)?.gossip.avoids.includes(role) === true;
  }

  /** The peer is up, and says that the store refuses or doesn't answer it. */
  saysWithoutStore(node: string): boolean {
    return this.fresh(node)?.gossip.withoutStore === true;
  }

  someWithoutStore(): boolean {
    return this.nodes.length === 0 || this.nodes.some((node) => this.saysWithoutStore(node));
  }
}
