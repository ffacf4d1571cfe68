/** How long the replica pauses between two watch requests to the store. */
import { GOSSIP_WATCH_PAUSE_MS, WATCH_PAUSE_MS } from '../constants/store.js';
import type { PeerDirectory } from './peer-directory.js';

/** ms; while all peers are reachable, each sends its changes at once, so the watch may pause for longer. */
export const watchPauseMs = (peerDirectory: PeerDirectory): number =>
  peerDirectory.reachesAllPeers ? GOSSIP_WATCH_PAUSE_MS : WATCH_PAUSE_MS;
