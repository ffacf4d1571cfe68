/** The successor's side of the stream: a view of what one holder knows, whole or not at all. */
import { keyOf } from './advisory-log.js';
import type { AdvisoryEntry, AdvisoryKind, FollowRequest, SentEntry, StreamBatch } from './stream-messages.js';

export type BatchOutcome =
  | { readonly kind: 'applied'; readonly lagMs: number }
  /** A part of a whole that is not there yet. */
  | { readonly kind: 'collecting' }
  /** Known already. */
  | { readonly kind: 'repeated' }
  | { readonly kind: 'refused'; readonly reason: 'other_life' | 'gap' | 'too_old' | 'former_holder' };

interface Collected {
  readonly incarnation: number;
  readonly after: number;
  readonly upTo: number;
  readonly isSnapshot: boolean;
  readonly parts: number;
  readonly entries: Map<number, readonly SentEntry[]>;
  /** Steady ms of the latest arrival. */
  arrivedAt: number;
}

export class StreamFollower {
  private view = new Map<string, AdvisoryEntry>();
  private followedIncarnation = 0;
  private upTo = 0;
  private collected: Collected | undefined;
  /** The question, by its moment, that the message answered which was applied last. */
  private answeredClock = -Infinity;
  /** Steady ms of the last message that was applied. */
  private appliedAt = -Infinity;
  private lag = Infinity;

  constructor(
    private readonly node: string,
    /** Tells this process from its former lives. */
    private readonly incarnation: number,
    private readonly maxLagMs: number,
    /** Steady ms. */
    private readonly now: () => number,
  ) {}

  /** What to ask the holder. */
  request(): FollowRequest {
    const { node, incarnation, followedIncarnation, upTo } = this;
    return { node, incarnation, clock: this.now(), followedIncarnation, upTo };
  }

  /** Takes in a message of the holder, or refuses it as a whole. */
  take(batch: StreamBatch): BatchOutcome {
    const now = this.now();
    if (batch.echo.incarnation !== this.incarnation) return { kind: 'refused', reason: 'other_life' };
    const lagMs = now - batch.echo.clock;
    if (lagMs > this.maxLagMs || lagMs < 0) return { kind: 'refused', reason: 'too_old' };
    // A process that has ended was asked nothing later. One that has not been followed yet can only be told by that.
    if (batch.incarnation !== this.followedIncarnation && batch.echo.clock <= this.answeredClock)
      return { kind: 'refused', reason: 'former_holder' };
    if (batch.incarnation === this.followedIncarnation && batch.upTo <= this.upTo) return { kind: 'repeated' };
    const buildsOn = batch.isSnapshot || (batch.incarnation === this.followedIncarnation && batch.after === this.upTo);
    if (!buildsOn) return { kind: 'refused', reason: 'gap' };
    const whole = this.collect(batch, now);
    if (whole === undefined) return { kind: 'collecting' };
    this.apply(whole);
    this.answeredClock = Math.max(this.answeredClock, batch.echo.clock);
    this.lag = lagMs;
    this.appliedAt = now;
    return { kind: 'applied', lagMs };
  }

  private collect(batch: StreamBatch, now: number): Collected | undefined {
    const { incarnation, after, upTo, isSnapshot, parts } = batch;
    const isSame =
      this.collected?.incarnation === incarnation &&
      this.collected.upTo === upTo &&
      this.collected.after === after &&
      this.collected.isSnapshot === isSnapshot &&
      this.collected.parts === parts;
    if (!isSame) this.collected = { incarnation, after, upTo, isSnapshot, parts, entries: new Map(), arrivedAt: now };
    const collected = this.collected!;
    collected.entries.set(batch.part, batch.entries);
    collected.arrivedAt = now;
    return collected.entries.size === parts ? collected : undefined;
  }

  private apply(whole: Collected): void {
    const next = whole.isSnapshot ? new Map<string, AdvisoryEntry>() : this.view;
    for (const { kind, name, ageMs, healthy, unhealthy, isRemoved } of [...whole.entries.values()].flat()) {
      if (isRemoved) next.delete(keyOf(kind, name));
      else next.set(keyOf(kind, name), { kind, name, at: whole.arrivedAt - ageMs, healthy, unhealthy });
    }
    this.view = next;
    this.followedIncarnation = whole.incarnation;
    this.upTo = whole.upTo;
    this.collected = undefined;
  }

  /** ms between the follower's question and the arrival of the answer that was applied last; Infinity: none was. */
  get lagMs(): number {
    return this.lag;
  }

  /** Steady ms as of which the view is known to hold; -Infinity: there is none. */
  get knownAt(): number {
    return this.appliedAt - this.lag;
  }

  get size(): number {
    return this.view.size;
  }

  entries(kind: AdvisoryKind): AdvisoryEntry[] {
    return [...this.view.values()].filter((entry) => entry.kind === kind);
  }
}
