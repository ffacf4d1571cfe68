/** Both ends of the advisory stream: this node as the sender to its followers, and as a follower of other nodes. */
import {
  type AdvisoryLog,
  type FollowRequest,
  type StandbySettings,
  type StreamBatch,
  StreamFollower,
  type StreamMessage,
  StreamSender,
  type StreamStatus,
} from '@dewlatch/standby';

import { FOLLOWER_TIMEOUT_MS } from '../constants/standby.js';
import type { PeerDirectory } from '../gossip/peer-directory.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import { decodeStandbyRecord } from '../records/record-codecs.js';
import { standbyKey } from '../records/record-keys.js';
import type { Replica } from '../store/replica.js';

/** Identity of this node, and what it needs to exchange messages with its peers. */
export interface AdvisoryStreamDependencies {
  node: string;
  incarnation: number;
  standby: StandbySettings;
  advisoryLog: AdvisoryLog;
  peerDirectory: PeerDirectory;
  replica: Replica;
  clock: Clock;
  log: Log;
  send: (node: string, message: { kind: 'standby_stream'; payload: StreamMessage }) => void;
}

/** Holds one sender for all followers of this node, and one `StreamFollower` per node that this node is to succeed. */
export class AdvisoryStream {
  private readonly sender: StreamSender;
  /** Keyed by the followed node. */
  private readonly followers = new Map<string, StreamFollower>();

  constructor(private readonly dependencies: AdvisoryStreamDependencies) {
    const { node, incarnation, standby, advisoryLog, clock } = dependencies;
    const limits = {
      bytesPerSecond: standby.streamBytesPerS,
      messageBytes: standby.messageBytes,
      unacknowledgedBytes: standby.unacknowledgedBytes,
      followerTimeoutMs: FOLLOWER_TIMEOUT_MS,
    };
    this.sender = new StreamSender({ node, incarnation, log: advisoryLog, limits, now: () => clock.now() });
  }

  receive(message: StreamMessage): void {
    if ('follow' in message) this.receiveRequest(message.follow);
    else this.receiveBatch(message.batch);
  }

  private receiveRequest(request: FollowRequest): void {
    this.sender.receiveRequest(request);
    this.sendChanges();
  }

  private receiveBatch(batch: StreamBatch): void {
    const outcome = this.followers.get(batch.node)?.receive(batch);
    if (outcome?.kind !== 'refused') return;
    this.dependencies.log.info({ from: batch.node, reason: outcome.reason }, 'stream message rejected');
    if (outcome.reason === 'gap') this.request(batch.node);
  }

  /** Sends pending changes to the followers, within the configured limits. */
  sendChanges(): void {
    for (const [node, batches] of this.sender.composeBatches())
      for (const batch of batches) this.dependencies.send(node, { kind: 'standby_stream', payload: { batch } });
  }

  /** Requests changes from these nodes. */
  requestFrom(nodes: Iterable<string>): void {
    const { node: ownNode, incarnation, standby, clock } = this.dependencies;
    for (const node of nodes) {
      if (!this.followers.has(node)) {
        const follower = new StreamFollower(ownNode, incarnation, standby.maxLagMs, () => clock.now());
        this.followers.set(node, follower);
      }
      this.request(node);
    }
  }

  private request(node: string): void {
    const follower = this.followers.get(node);
    if (follower === undefined || !this.canReadStream(node)) return;
    this.dependencies.send(node, { kind: 'standby_stream', payload: { follow: follower.request() } });
  }

  /** Whether the incarnation of the node that is known from gossip has announced in the store that it reads the stream. */
  private canReadStream(node: string): boolean {
    const { replica, peerDirectory } = this.dependencies;
    const record = decodeStandbyRecord(replica.get(standbyKey(node)).value);
    return record !== undefined && record.incarnation === peerDirectory.incarnationOf(node);
  }

  /** The streamed advisory state of a node; undefined: it was never followed. */
  followerOf(node: string): StreamFollower | undefined {
    return this.followers.get(node);
  }

  get senderStatus(): StreamStatus {
    return this.sender.status;
  }

  /** Lag in ms behind each followed node that has answered. */
  followedLagsMs(): Record<string, number> {
    const lags = [...this.followers].map(([node, { lagMs }]) => [node, Math.round(lagMs)] as const);
    return Object.fromEntries(lags.filter(([, lagMs]) => Number.isFinite(lagMs)));
  }
}
