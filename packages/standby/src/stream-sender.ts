/** The holder's side of the stream: what each follower is sent, within bounds. */
import type { AdvisoryLog } from './advisory-log.js';
import { batchBytes, entryBytes, type FollowRequest, type SentEntry, type StreamBatch } from './stream-messages.js';

export interface StreamLimits {
  readonly bytesPerSecond: number;
  readonly messageBytes: number;
  readonly unacknowledgedBytes: number;
  /** ms after which a follower that has not asked again is sent nothing. */
  readonly followerTimeoutMs: number;
}

/** Requests of a follower after which what it has not acknowledged counts as lost. */
const LOST_AFTER_REQUESTS = 2;

interface Unacknowledged {
  readonly upTo: number;
  readonly bytes: number;
  /** Requests of the follower since it was sent. */
  requests: number;
}

interface Follower {
  request: FollowRequest;
  requestedAt: number;
  /** Number up to which it has been sent changes. */
  sentUpTo: number;
  needsSnapshot: boolean;
  unacknowledged: Unacknowledged[];
}

/** How well followers are served, for the log. */
export interface StreamStatus {
  readonly followers: number;
  readonly snapshots: number;
  readonly bytesSent: number;
  /** Changes that the slowest follower has not acknowledged. */
  readonly maxPendingChanges: number;
}

export class StreamSender {
  private readonly followers = new Map<string, Follower>();
  private allowedBytes: number;
  private refilledAt: number;
  private snapshots = 0;
  private bytesSent = 0;

  constructor(
    private readonly node: string,
    /** Tells this process from its former lives. */
    private readonly incarnation: number,
    private readonly log: AdvisoryLog,
    private readonly bounds: StreamLimits,
    /** Steady ms. */
    private readonly now: () => number,
  ) {
    this.allowedBytes = bounds.bytesPerSecond;
    this.refilledAt = now();
  }

  /** A follower asks. */
  receiveRequest(request: FollowRequest): void {
    const known = this.followers.get(request.node);
    if (known === undefined || known.request.incarnation !== request.incarnation) {
      const follower = { request, requestedAt: this.now(), sentUpTo: 0, needsSnapshot: true, unacknowledged: [] };
      this.resume(follower);
      this.followers.set(request.node, follower);
      return;
    }
    known.request = request;
    known.requestedAt = this.now();
    const hasFollowed = request.followedIncarnation === this.incarnation;
    known.unacknowledged = known.unacknowledged.filter(({ upTo }) => !hasFollowed || upTo > request.upTo);
    for (const each of known.unacknowledged) each.requests++;
    const isLost = known.unacknowledged.some(({ requests }) => requests >= LOST_AFTER_REQUESTS);
    const isUpToDate = hasFollowed && request.upTo === known.sentUpTo;
    if (isLost || (known.unacknowledged.length === 0 && !isUpToDate)) this.resume(known);
  }

  /** Goes on from where the follower says it is. */
  private resume(follower: Follower): void {
    const { followedIncarnation, upTo } = follower.request;
    const isKnown = followedIncarnation === this.incarnation && this.log.hasChangesSince(upTo);
    follower.needsSnapshot = !isKnown;
    follower.sentUpTo = isKnown ? upTo : 0;
    follower.unacknowledged = [];
  }

  /** What is to be sent now, by follower. To be called whenever something changed, and now and then. */
  composeBatches(): Map<string, StreamBatch[]> {
    this.refill();
    const messages = new Map<string, StreamBatch[]>();
    for (const [node, follower] of this.followers) {
      if (this.now() - follower.requestedAt > this.bounds.followerTimeoutMs) {
        this.followers.delete(node);
        continue;
      }
      const batches = this.composeFor(follower);
      if (batches.length > 0) messages.set(node, batches);
    }
    return messages;
  }

  private refill(): void {
    const now = this.now();
    const earned = ((now - this.refilledAt) / 1000) * this.bounds.bytesPerSecond;
    this.allowedBytes = Math.min(this.bounds.bytesPerSecond, this.allowedBytes + earned);
    this.refilledAt = now;
  }

  private composeFor(follower: Follower): StreamBatch[] {
    const unacknowledgedBytes = follower.unacknowledged.reduce((sum, { bytes }) => sum + bytes, 0);
    if (unacknowledgedBytes >= this.bounds.unacknowledgedBytes) {
      follower.needsSnapshot = true;
      return [];
    }
    if (!this.log.hasChangesSince(follower.sentUpTo)) follower.needsSnapshot = true;
    const isSnapshot = follower.needsSnapshot;
    const after = isSnapshot ? 0 : follower.sentUpTo;
    if (!isSnapshot && after === this.log.sequence) return [];
    const changes = this.log.changesSince(after).map(({ entry }) => entry);
    const wanted = isSnapshot ? changes.filter(({ isRemoved }) => !isRemoved) : changes;
    const batches = this.split(wanted, after, isSnapshot, follower.request);
    const bytes = batches.reduce((sum, batch) => sum + batchBytes(batch), 0);
    // All or nothing, since a part alone is of no use. What is larger than a second's allowance waits for a full one.
    if (this.allowedBytes < Math.min(bytes, this.bounds.bytesPerSecond)) return [];
    this.allowedBytes -= bytes;
    this.bytesSent += bytes;
    if (isSnapshot) this.snapshots++;
    follower.needsSnapshot = false;
    follower.sentUpTo = this.log.sequence;
    follower.unacknowledged.push({ upTo: this.log.sequence, bytes, requests: 0 });
    return batches;
  }

  private split(
    entries: readonly SentEntry[],
    after: number,
    isSnapshot: boolean,
    { incarnation, clock }: FollowRequest,
  ): StreamBatch[] {
    const groups: SentEntry[][] = [[]];
    let bytes = 0;
    for (const entry of entries) {
      const size = entryBytes(entry);
      if (bytes + size > this.bounds.messageBytes && groups.at(-1)!.length > 0) {
        groups.push([]);
        bytes = 0;
      }
      groups.at(-1)!.push(entry);
      bytes += size;
    }
    return groups.map((group, part) => ({
      node: this.node,
      incarnation: this.incarnation,
      after,
      upTo: this.log.sequence,
      isSnapshot,
      part,
      parts: groups.length,
      echo: { incarnation, clock },
      entries: group,
    }));
  }

  get status(): StreamStatus {
    const pendingChanges = [...this.followers.values()].map(({ request }) =>
      request.followedIncarnation === this.incarnation ? this.log.sequence - request.upTo : this.log.sequence,
    );
    const { snapshots, bytesSent } = this;
    return { followers: this.followers.size, snapshots, bytesSent, maxPendingChanges: Math.max(0, ...pendingChanges) };
  }
}
