/** The follower's side of the stream: a consistent view of one leader's advisory state. */
import { advisoryKeyOf } from './advisory-log.js';
import type { AdvisoryEntry, AdvisoryKind, FollowRequest, SentEntry, StreamBatch } from './stream-messages.js';

/** Why a batch is rejected as a whole. */
export type RefusalReason =
  /** The batch answers a request of another incarnation of this node. */
  | 'other_incarnation'
  /** The batch builds on changes that this follower does not have. */
  | 'gap'
  /** The batch was requested too long ago. */
  | 'too_old'
  /** The batch comes from an incarnation of the leader that a later one has replaced. */
  | 'former_incarnation';

/** Result of receiving a batch. */
export type BatchOutcome =
  | { readonly kind: 'applied'; readonly lagMs: number }
  /** The batch is part of an update whose other parts have not all arrived yet. */
  | { readonly kind: 'incomplete' }
  /** The batch has already been applied. */
  | { readonly kind: 'duplicate' }
  | { readonly kind: 'refused'; readonly reason: RefusalReason };

/** An update of which only some parts have arrived. */
interface PartialUpdate {
  readonly incarnation: number;
  readonly after: number;
  readonly upTo: number;
  readonly isSnapshot: boolean;
  readonly parts: number;
  readonly entries: Map<number, readonly SentEntry[]>;
  /** Monotonic ms of the latest arrival. */
  arrivedAt: number;
}

/** Follows one node. The view always equals the state of that node at one of its sequence numbers. */
export class StreamFollower {
  private view = new Map<string, AdvisoryEntry>();
  private followedIncarnation = 0;
  private upTo = 0;
  private partialUpdate: PartialUpdate | undefined;
  /** Monotonic ms of the latest request that an applied update has answered. */
  private answeredRequestClock = -Infinity;
  /** Monotonic ms when the last update was applied. */
  private appliedAt = -Infinity;
  private lastLagMs = Infinity;

  constructor(
    private readonly node: string,
    /** Distinguishes this process from its former incarnations. */
    private readonly incarnation: number,
    private readonly maxLagMs: number,
    /** Monotonic ms. */
    private readonly now: () => number,
  ) {}

  /** The request to send to the leader. */
  request(): FollowRequest {
    const { node, incarnation, followedIncarnation, upTo } = this;
    return { node, incarnation, clock: this.now(), followedIncarnation, upTo };
  }

  /** Applies a batch from the leader, or rejects it as a whole. */
  receive(batch: StreamBatch): BatchOutcome {
    const now = this.now();
    const lagMs = now - batch.echo.clock;
    const reason = this.staleReasonOf(batch, lagMs);
    if (reason !== undefined) return { kind: 'refused', reason };
    if (this.isApplied(batch)) return { kind: 'duplicate' };
    if (!this.continuesView(batch)) return { kind: 'refused', reason: 'gap' };
    const update = this.addPart(batch, now);
    if (update === undefined) return { kind: 'incomplete' };
    this.apply(update);
    this.answeredRequestClock = Math.max(this.answeredRequestClock, batch.echo.clock);
    this.lastLagMs = lagMs;
    this.appliedAt = now;
    return { kind: 'applied', lagMs };
  }

  private staleReasonOf(batch: StreamBatch, lagMs: number): RefusalReason | undefined {
    if (batch.echo.incarnation !== this.incarnation) return 'other_incarnation';
    if (lagMs > this.maxLagMs || lagMs < 0) return 'too_old';
    // Incarnation numbers have no order, but a terminated incarnation can't answer requests sent after its replacement's answer.
    const isFollowed = batch.incarnation === this.followedIncarnation;
    return !isFollowed && batch.echo.clock <= this.answeredRequestClock ? 'former_incarnation' : undefined;
  }

  private isApplied(batch: StreamBatch): boolean {
    return batch.incarnation === this.followedIncarnation && batch.upTo <= this.upTo;
  }

  private continuesView(batch: StreamBatch): boolean {
    return batch.isSnapshot || (batch.incarnation === this.followedIncarnation && batch.after === this.upTo);
  }

  /** Returns the update once all its parts have arrived. */
  private addPart(batch: StreamBatch, now: number): PartialUpdate | undefined {
    const { incarnation, after, upTo, isSnapshot, parts } = batch;
    const isSame =
      this.partialUpdate?.incarnation === incarnation &&
      this.partialUpdate.upTo === upTo &&
      this.partialUpdate.after === after &&
      this.partialUpdate.isSnapshot === isSnapshot &&
      this.partialUpdate.parts === parts;
    if (!isSame)
      this.partialUpdate = { incarnation, after, upTo, isSnapshot, parts, entries: new Map(), arrivedAt: now };
    const update = this.partialUpdate!;
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
    this.partialUpdate = undefined;
  }

  /** ms between the request and the arrival of the last applied answer; Infinity: none was applied. */
  get lagMs(): number {
    return this.lastLagMs;
  }

  /** Monotonic ms as of which the view is known to be correct; -Infinity: there is no view. */
  get knownAt(): number {
    return this.appliedAt - this.lastLagMs;
  }

  /** Number of entries in the view. */
  get size(): number {
    return this.view.size;
  }

  entries(kind: AdvisoryKind): AdvisoryEntry[] {
    return [...this.view.values()].filter((entry) => entry.kind === kind);
  }
}
