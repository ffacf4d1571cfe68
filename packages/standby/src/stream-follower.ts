/** The successor's side of the stream: a view of what one holder knows, whole or not at all. */
import { advisoryKeyOf } from './advisory-log.js';
import type { AdvisoryEntry, AdvisoryKind, FollowRequest, SentEntry, StreamBatch } from './stream-messages.js';

export type BatchOutcome =
  | { readonly kind: 'applied'; readonly lagMs: number }
  /** A part of a whole that is not there yet. */
  | { readonly kind: 'incomplete' }
  /** Known already. */
  | { readonly kind: 'duplicate' }
  | { readonly kind: 'refused'; readonly reason: 'other_incarnation' | 'gap' | 'too_old' | 'former_incarnation' };

interface PartialUpdate {
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
  private partial: PartialUpdate | undefined;
  /** The question, by its moment, that the message answered which was applied last. */
  private answeredRequestClock = -Infinity;
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
  receive(batch: StreamBatch): BatchOutcome {
    const now = this.now();
    if (batch.echo.incarnation !== this.incarnation) return { kind: 'refused', reason: 'other_incarnation' };
    const lagMs = now - batch.echo.clock;
    if (lagMs > this.maxLagMs || lagMs < 0) return { kind: 'refused', reason: 'too_old' };
    // A process that has ended was asked nothing later. One that has not been followed yet can only be told by that.
    if (batch.incarnation !== this.followedIncarnation && batch.echo.clock <= this.answeredRequestClock)
      return { kind: 'refused', reason: 'former_incarnation' };
    if (batch.incarnation === this.followedIncarnation && batch.upTo <= this.upTo) return { kind: 'duplicate' };
    const buildsOn = batch.isSnapshot || (batch.incarnation === this.followedIncarnation && batch.after === this.upTo);
    if (!buildsOn) return { kind: 'refused', reason: 'gap' };
    const whole = this.collect(batch, now);
    if (whole === undefined) return { kind: 'incomplete' };
    this.apply(whole);
    this.answeredRequestClock = Math.max(this.answeredRequestClock, batch.echo.clock);
    this.lag = lagMs;
    this.appliedAt = now;
    return { kind: 'applied', lagMs };
  }

  private collect(batch: StreamBatch, now: number): PartialUpdate | undefined {
    const { incarnation, after, upTo, isSnapshot, parts } = batch;
    const isSame =
      this.partial?.incarnation === incarnation &&
      this.partial.upTo === upTo &&
      this.partial.after === after &&
      this.partial.isSnapshot === isSnapshot &&
      this.partial.parts === parts;
    if (!isSame) this.partial = { incarnation, after, upTo, isSnapshot, parts, entries: new Map(), arrivedAt: now };
    const collected = this.partial!;
    collected.entries.set(batch.part, batch.entries);
    collected.arrivedAt = now;
    return collected.entries.size === parts ? collected : undefined;
  }

  private apply(whole: PartialUpdate): void {
    const next = whole.isSnapshot ? new Map<string, AdvisoryEntry>() : this.view;
    for (const { kind, name, ageMs, healthy, unhealthy, isRemoved } of [...whole.entries.values()].flat()) {
      if (isRemoved) next.delete(advisoryKeyOf(kind, name));
      else next.set(advisoryKeyOf(kind, name), { kind, name, at: whole.arrivedAt - ageMs, healthy, unhealthy });
    }
    this.view = next;
    this.followedIncarnation = whole.incarnation;
    this.upTo = whole.upTo;
    this.partial = undefined;
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
