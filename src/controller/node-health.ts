/** The health of this node: whether it can serve requests, and whether it is cut off from the store. */
import type { PeerDirectory } from '../gossip/peer-directory.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Replica } from '../store/replica.js';
import type { StoreClient } from '../store/store-client.js';

/** Why health checks are refused: the records are not loaded yet, or this node does not reach the store. */
export type HealthRefusalReason = 'records_not_loaded' | 'without_store';

/** The health of this node, as reported by its health endpoint. */
export class NodeHealth {
  constructor(
    private readonly replica: Replica,
    private readonly leadership: RoleLeadership,
    private readonly client: StoreClient,
    private readonly peerDirectory: PeerDirectory,
  ) {}

  /** undefined: this node reaches the store, or is cut off from it along with a peer, so that no other node would serve better. */
  get refusalReason(): HealthRefusalReason | undefined {
    if (!this.replica.isLoaded) return 'records_not_loaded';
    const isAsGoodAsPeers =
      this.leadership.hasRecentStoreContact || (this.isWithoutStore && this.peerDirectory.isAnyPeerWithoutStore());
    return isAsGoodAsPeers ? undefined : 'without_store';
  }

  /** Whether the store refuses this node's requests or does not respond to them. */
  get isWithoutStore(): boolean {
    return !this.leadership.hasRecentStoreContact && this.client.lastUnavailableAt > this.client.lastAnsweredAt;
  }
}
