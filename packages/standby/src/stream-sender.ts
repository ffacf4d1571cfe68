/** The leader's side of the stream: what each follower is sent, within limits. */
import type { AdvisoryLog } from './advisory-log.js';
import { ByteAllowance } from './byte-allowance.js';
import { batchBytes, entryBytes, type FollowRequest, type SentEntry, type StreamBatch } from './stream-messages.js';

/** What the stream may cost. */
export interface StreamLimits {
  readonly bytesPerSecond: number;
  readonly messageBytes: number;
  /** Bytes sent but not acknowledged, from which on a follower is sent nothing but, later, a snapshot. */
  readonly unacknowledgedBytes: number;
  /** ms after which a follower that has not asked again is sent nothing. */
  readonly followerTimeoutMs: number;
}

/** The log that is sent, and by whom. */
export interface StreamSenderOptions {
  readonly node: string;
  /** Tells this process from its former incarnations. */
  readonly incarnation: number;
  readonly log: AdvisoryLog;
  readonly limits: StreamLimits;
  /** Steady ms. */
  readonly now: () => number;
}

/** Requests of a follower after which what it has not acknowledged counts as lost. */
const LOST_AFTER_REQUESTS = 2;

interface UnacknowledgedUpdate {
  readonly upTo: number;
  readonly bytes: number;
  /** Requests of the follower since it was sent. */
  requests: number;
}

interface Follower {
  request: FollowRequest;
  /** Steady ms of the last request. */
  requestedAt: number;
  /** Sequence number up to which it has been sent changes. */
  sentUpTo: number;
  needsSnapshot: boolean;
  unacknowledged: UnacknowledgedUpdate[];
}

/** How well followers are served, for the log. */
export interface StreamStatus {
  readonly followers: number;
  readonly snapshots: number;
  readonly bytesSent: number;
  /** Changes that the slowest follower has not acknowledged. */
  readonly maxPendingChanges: number;
}

/** Serves all followers of this node from one log, so its memory does not grow with their lag. */
export class StreamSender {
  private readonly followers = new Map<string, Follower>();
  private readonly allowance: ByteAllowance;
  private snapshots = 0;
  private bytesSent = 0;

  constructor(private readonly options: StreamSenderOptions) {
    this.allowance = new ByteAllowance(options.limits.bytesPerSecond, options.now);
  }

  /** Takes in how far a follower has come. */
  receiveRequest(request: FollowRequest): void {
    const follower = this.followers.get(request.node);
    if (follower?.request.incarnation === request.incarnation) this.acknowledge(follower, request);
    else this.addFollower(request);
  }

  private addFollower(request: FollowRequest): void {
    const requestedAt = this.options.now();
    const follower: Follower = { request, requestedAt, sentUpTo: 0, needsSnapshot: true, unacknowledged: [] };
    this.resume(follower);
    this.followers.set(request.node, follower);
  }

  private acknowledge(follower: Follower, request: FollowRequest): void {
    follower.request = request;
    follower.requestedAt = this.options.now();
    const hasFollowed = request.followedIncarnation === this.options.incarnation;
    follower.unacknowledged = follower.unacknowledged.filter(({ upTo }) => !hasFollowed || upTo > request.upTo);
    for (const update of follower.unacknowledged) update.requests++;
    const isLost = follower.unacknowledged.some(({ requests }) => requests >= LOST_AFTER_REQUESTS);
    const isUpToDate = hasFollowed && request.upTo === follower.sentUpTo;
    if (isLost || (follower.unacknowledged.length === 0 && !isUpToDate)) this.resume(follower);
  }

  /** Goes on from where the follower says it is. */
  private resume(follower: Follower): void {
    const { incarnation, log } = this.options;
    const { followedIncarnation, upTo } = follower.request;
    const canContinue = followedIncarnation === incarnation && log.hasChangesSince(upTo);
    follower.needsSnapshot = !canContinue;
    follower.sentUpTo = canContinue ? upTo : 0;
    follower.unacknowledged = [];
  }

  /** What is to be sent now, by follower. To be called whenever something changed, and now and then. */
  composeBatches(): Map<string, StreamBatch[]> {
    const { limits, now } = this.options;
    this.allowance.refill();
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
    if (!log.hasChangesSince(follower.sentUpTo)) follower.needsSnapshot = true;
    const isSnapshot = follower.needsSnapshot;
    const after = isSnapshot ? 0 : follower.sentUpTo;
    if (!isSnapshot && after === log.sequence) return [];
    const changes = log.changesSince(after).map(({ entry }) => entry);
    const entries = isSnapshot ? changes.filter(({ isRemoved }) => !isRemoved) : changes;
    const batches = this.split(entries, { after, isSnapshot, request: follower.request });
    const bytes = batches.reduce((sum, batch) => sum + batchBytes(batch), 0);
    // All or nothing, since a part alone is of no use.
    if (!this.allowance.trySpend(bytes)) return [];
    this.bytesSent += bytes;
    if (isSnapshot) this.snapshots++;
    follower.needsSnapshot = false;
    follower.sentUpTo = log.sequence;
    follower.unacknowledged.push({ upTo: log.sequence, bytes, requests: 0 });
    return batches;
  }

  /** A follower with too much unacknowledged is sent nothing; its pending changes are dropped in favour of a snapshot. */
  private canSendTo(follower: Follower): boolean {
    const unacknowledgedBytes = follower.unacknowledged.reduce((sum, { bytes }) => sum + bytes, 0);
    if (unacknowledgedBytes < this.options.limits.unacknowledgedBytes) return true;
    follower.needsSnapshot = true;
    return false;
  }

  private split(
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

/** Groups of at most so many bytes, in order; one group at least, and one entry in each if there is any. */
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
