/** The leader's side of the stream: sends changes or snapshots to each follower within the limits. */
import type { AdvisoryLog } from './advisory-log.js';
import { ByteRateLimiter } from './byte-rate-limiter.js';
import { batchBytes, entryBytes, type FollowRequest, type SentEntry, type StreamBatch } from './stream-messages.js';

/** Resource limits of the stream. */
export interface StreamLimits {
  readonly bytesPerSecond: number;
  readonly messageBytes: number;
  /** Unacknowledged bytes from which a follower is sent nothing more; its pending changes are later replaced by a snapshot. */
  readonly unacknowledgedBytes: number;
  /** ms after its last request at which a follower is dropped. */
  readonly followerTimeoutMs: number;
}

/** The log to send, and the identity of its sender. */
export interface StreamSenderOptions {
  readonly node: string;
  /** Distinguishes this process from its former incarnations. */
  readonly incarnation: number;
  readonly log: AdvisoryLog;
  readonly limits: StreamLimits;
  /** Monotonic ms. */
  readonly now: () => number;
}

/** Number of further requests of a follower after which an unacknowledged update counts as lost. */
const LOST_AFTER_REQUESTS = 2;

interface UnacknowledgedUpdate {
  readonly upTo: number;
  readonly bytes: number;
  /** Requests received from the follower since the update was sent. */
  requests: number;
}

interface Follower {
  request: FollowRequest;
  /** Monotonic ms of the last request. */
  requestedAt: number;
  /** Sequence number up to which changes have been sent. */
  sentUpTo: number;
  needsSnapshot: boolean;
  unacknowledged: UnacknowledgedUpdate[];
}

/** Statistics for the log. */
export interface StreamStatus {
  readonly followers: number;
  readonly snapshots: number;
  readonly bytesSent: number;
  /** Unacknowledged changes of the slowest follower. */
  readonly maxPendingChanges: number;
}

/** Serves all followers of this node from one log, so that memory does not grow with their lag. */
export class StreamSender {
  private readonly followers = new Map<string, Follower>();
  private readonly rateLimiter: ByteRateLimiter;
  private snapshots = 0;
  private bytesSent = 0;

  constructor(private readonly options: StreamSenderOptions) {
    this.rateLimiter = new ByteRateLimiter(options.limits.bytesPerSecond, options.now);
  }

  /** Processes a request, which also acknowledges what the follower has applied. */
  receiveRequest(request: FollowRequest): void {
    const follower = this.followers.get(request.node);
    if (follower?.request.incarnation === request.incarnation) this.processRequest(follower, request);
    else this.addFollower(request);
  }

  private addFollower(request: FollowRequest): void {
    const requestedAt = this.options.now();
    const follower: Follower = { request, requestedAt, sentUpTo: 0, needsSnapshot: true, unacknowledged: [] };
    this.resumeFromRequest(follower);
    this.followers.set(request.node, follower);
  }

  private processRequest(follower: Follower, request: FollowRequest): void {
    follower.request = request;
    follower.requestedAt = this.options.now();
    const followsThisIncarnation = request.followedIncarnation === this.options.incarnation;
    follower.unacknowledged = follower.unacknowledged.filter(
      ({ upTo }) => !followsThisIncarnation || upTo > request.upTo,
    );
    for (const update of follower.unacknowledged) update.requests++;
    const isLost = follower.unacknowledged.some(({ requests }) => requests >= LOST_AFTER_REQUESTS);
    const isUpToDate = followsThisIncarnation && request.upTo === follower.sentUpTo;
    if (isLost || (follower.unacknowledged.length === 0 && !isUpToDate)) this.resumeFromRequest(follower);
  }

  /** Continues from the sequence number in the request of the follower, or with a snapshot. */
  private resumeFromRequest(follower: Follower): void {
    const { incarnation, log } = this.options;
    const { followedIncarnation, upTo } = follower.request;
    const canContinue = followedIncarnation === incarnation && log.retainsChangesSince(upTo);
    follower.needsSnapshot = !canContinue;
    follower.sentUpTo = canContinue ? upTo : 0;
    follower.unacknowledged = [];
  }

  /** Composes the batches to send now, by follower. Must be called after changes and periodically. */
  composeBatches(): Map<string, StreamBatch[]> {
    const { limits, now } = this.options;
    this.rateLimiter.refill();
    const messages = new Map<string, StreamBatch[]>();
    for (const [node, follower] of this.followers) {
      if (now() - follower.requestedAt > limits.followerTimeoutMs) {
        this.followers.delete(node);
        continue;
      }
      const batches = this.composeFor(follower);
      if (batches.length > 0) messages.set(node, batches);
    }
    return messages;
  }

  private composeFor(follower: Follower): StreamBatch[] {
    const { log } = this.options;
    if (!this.canSendTo(follower)) return [];
    if (!log.retainsChangesSince(follower.sentUpTo)) follower.needsSnapshot = true;
    const isSnapshot = follower.needsSnapshot;
    const after = isSnapshot ? 0 : follower.sentUpTo;
    if (!isSnapshot && after === log.sequence) return [];
    const changes = log.changesSince(after).map(({ entry }) => entry);
    const entries = isSnapshot ? changes.filter(({ isRemoved }) => !isRemoved) : changes;
    const batches = this.splitIntoBatches(entries, { after, isSnapshot, request: follower.request });
    const bytes = batches.reduce((sum, batch) => sum + batchBytes(batch), 0);
    // All parts or none, since a follower can't apply a single part.
    if (!this.rateLimiter.trySpend(bytes)) return [];
    this.bytesSent += bytes;
    if (isSnapshot) this.snapshots++;
    follower.needsSnapshot = false;
    follower.sentUpTo = log.sequence;
    follower.unacknowledged.push({ upTo: log.sequence, bytes, requests: 0 });
    return batches;
  }

  /** A follower at the limit of unacknowledged bytes is sent nothing; its pending changes are replaced by a snapshot. */
  private canSendTo(follower: Follower): boolean {
    const unacknowledgedBytes = follower.unacknowledged.reduce((sum, { bytes }) => sum + bytes, 0);
    if (unacknowledgedBytes < this.options.limits.unacknowledgedBytes) return true;
    follower.needsSnapshot = true;
    return false;
  }

  private splitIntoBatches(
    entries: readonly SentEntry[],
    { after, isSnapshot, request }: { after: number; isSnapshot: boolean; request: FollowRequest },
  ): StreamBatch[] {
    const { node, incarnation, log, limits } = this.options;
    const groups = groupByBytes(entries, limits.messageBytes);
    return groups.map((group, part) => ({
      node,
      incarnation,
      after,
      upTo: log.sequence,
      isSnapshot,
      part,
      parts: groups.length,
      echo: { incarnation: request.incarnation, clock: request.clock },
      entries: group,
    }));
  }

  get status(): StreamStatus {
    const { incarnation, log } = this.options;
    const pendingChanges = [...this.followers.values()].map(({ request }) =>
      request.followedIncarnation === incarnation ? log.sequence - request.upTo : log.sequence,
    );
    const { snapshots, bytesSent } = this;
    return { followers: this.followers.size, snapshots, bytesSent, maxPendingChanges: Math.max(0, ...pendingChanges) };
  }
}

/** Splits entries, in order, into groups of at most `limitBytes`. Returns at least one group; a larger entry gets its own. */
function groupByBytes(entries: readonly SentEntry[], limitBytes: number): SentEntry[][] {
  const groups: SentEntry[][] = [[]];
  let groupBytes = 0;
  for (const entry of entries) {
    const bytes = entryBytes(entry);
    if (groupBytes + bytes > limitBytes && groups.at(-1)!.length > 0) {
      groups.push([]);
      groupBytes = 0;
    }
    groups.at(-1)!.push(entry);
    groupBytes += bytes;
  }
  return groups;
}
