/** The successor's side of the stream: a view of what one leader knows, whole or not at all. */
import { advisoryKeyOf } from './advisory-log.js';
import type { AdvisoryEntry, AdvisoryKind, FollowRequest, SentEntry, StreamBatch } from './stream-messages.js';

/** Why a batch is refused as a whole. */
export type RefusalReason =
  /** It answers a request of another incarnation of this node. */
  | 'other_incarnation'
  /** It builds on changes that this follower does not have. */
  | 'gap'
  /** It was requested too long ago. */
  | 'too_old'
  /** It comes from an incarnation of the leader that a later one has replaced. */
  | 'former_incarnation';

/** What became of a batch that was received. */
export type BatchOutcome =
  | { readonly kind: 'applied'; readonly lagMs: number }
  /** A part of an update whose other parts have not arrived yet. */
  | { readonly kind: 'incomplete' }
  /** Applied already. */
  | { readonly kind: 'duplicate' }
  | { readonly kind: 'refused'; readonly reason: RefusalReason };

/** An update of which some parts have arrived. */
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

/** Follows one node. The view is at all times what that node knew at one of its sequence numbers. */
export class StreamFollower {
  private view = new Map<string, AdvisoryEntry>();
  private followedIncarnation = 0;
  private upTo = 0;
  private partial: PartialUpdate | undefined;
  /** Steady ms of the request that was answered by the update applied last. */
  private answeredRequestClock = -Infinity;
  /** Steady ms when the last update was applied. */
  private appliedAt = -Infinity;
  private lag = Infinity;

  constructor(
    private readonly node: string,
    /** Tells this process from its former incarnations. */
    private readonly incarnation: number,
    private readonly maxLagMs: number,
    /** Steady ms. */
    private readonly now: () => number,
  ) {}

  /** The request to send to the leader. */
  request(): FollowRequest {
    const { node, incarnation, followedIncarnation, upTo } = this;
    return { node, incarnation, clock: this.now(), followedIncarnation, upTo };
  }

  /** Takes in a batch of the leader, or refuses it as a whole. */
  receive(batch: StreamBatch): BatchOutcome {
    const now = this.now();
    const lagMs = now - batch.echo.clock;
    const reason = this.staleReasonOf(batch, lagMs);
    if (reason !== undefined) return { kind: 'refused', reason };
    if (this.isApplied(batch)) return { kind: 'duplicate' };
    if (!this.buildsOnView(batch)) return { kind: 'refused', reason: 'gap' };
    const update = this.addPart(batch, now);
    if (update === undefined) return { kind: 'incomplete' };
    this.apply(update);
    this.answeredRequestClock = Math.max(this.answeredRequestClock, batch.echo.clock);
    this.lag = lagMs;
    this.appliedAt = now;
    return { kind: 'applied', lagMs };
  }

  private staleReasonOf(batch: StreamBatch, lagMs: number): RefusalReason | undefined {
    if (batch.echo.incarnation !== this.incarnation) return 'other_incarnation';
    if (lagMs > this.maxLagMs || lagMs < 0) return 'too_old';
    // A process that has ended was sent no later request. One that has not been followed yet can only be told by that.
    const isFollowed = batch.incarnation === this.followedIncarnation;
    return !isFollowed && batch.echo.clock <= this.answeredRequestClock ? 'former_incarnation' : undefined;
  }

  private isApplied(batch: StreamBatch): boolean {
    return batch.incarnation === this.followedIncarnation && batch.upTo <= this.upTo;
  }

  private buildsOnView(batch: StreamBatch): boolean {
    return batch.isSnapshot || (batch.incarnation === this.followedIncarnation && batch.after === this.upTo);
  }

  /** Returns the update once all its parts are there. */
  private addPart(batch: StreamBatch, now: number): PartialUpdate | undefined {
    const { incarnation, after, upTo, isSnapshot, parts } = batch;
    const isSame =
      this.partial?.incarnation === incarnation &&
      this.partial.upTo === upTo &&
      this.partial.after === after &&
      this.partial.isSnapshot === isSnapshot &&
      this.partial.parts === parts;
    if (!isSame) this.partial = { incarnation, after, upTo, isSnapshot, parts, entries: new Map(), arrivedAt: now };
    const update = this.partial!;
    update.entries.set(batch.part, batch.entries);
    update.arrivedAt = now;
    return update.entries.size === parts ? update : undefined;
  }

  private apply(update: PartialUpdate): void {
    const view = update.isSnapshot ? new Map<string, AdvisoryEntry>() : this.view;
    for (const { kind, name, ageMs, healthy, unhealthy, isRemoved } of [...update.entries.values()].flat()) {
      if (isRemoved) view.delete(advisoryKeyOf(kind, name));
      else view.set(advisoryKeyOf(kind, name), { kind, name, at: update.arrivedAt - ageMs, healthy, unhealthy });
    }
    this.view = view;
    this.followedIncarnation = update.incarnation;
    this.upTo = update.upTo;
    this.partial = undefined;
  }

  /** ms between the request and the arrival of the answer that was applied last; Infinity: none was. */
  get lagMs(): number {
    return this.lag;
  }

  /** Steady ms as of which the view is known to be right; -Infinity: there is none. */
  get knownAt(): number {
    return this.appliedAt - this.lag;
  }

  /** Entries in the view. */
  get size(): number {
    return this.view.size;
  }

  entries(kind: AdvisoryKind): AdvisoryEntry[] {
    return [...this.view.values()].filter((entry) => entry.kind === kind);
  }
}
