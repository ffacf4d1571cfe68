/** Whether this node serves requests, and whether it is the one that the store refuses. */
import type { PeerDirectory } from '../gossip/peer-directory.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Replica } from '../store/replica.js';
import type { StoreClient } from '../store/store-client.js';

/** Whether this node can serve, as its health endpoint answers. */
export class NodeHealth {
  constructor(
    private readonly replica: Replica,
    private readonly leadership: RoleLeadership,
    private readonly client: StoreClient,
    private readonly peerDirectory: PeerDirectory,
  ) {}

  /** Requests are really served here, or nobody could serve them better. */
  get isServing(): boolean {
    if (!this.replica.isLoaded) return false;
    return this.leadership.hasRecentStoreContact || (this.isWithoutStore && this.peerDirectory.isAnyWithoutStore());
  }

  /** The store refuses, or doesn't answer, this node. */
  get isWithoutStore(): boolean {
    return !this.leadership.hasRecentStoreContact && this.client.lastRefusedAt > this.client.lastAnsweredAt;
  }
}
