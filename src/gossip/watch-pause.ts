/** The pause of the replica between two watch requests to the store. */
import { GOSSIP_WATCH_PAUSE_MS, WATCH_PAUSE_MS } from '../constants/store.js';
import type { PeerDirectory } from './peer-directory.js';

/** The pause in ms. It is longer while all peers are reachable, since each of them then sends its changes directly. */
export const watchPauseMs = (peerDirectory: PeerDirectory): number =>
  peerDirectory.reachesAllPeers ? GOSSIP_WATCH_PAUSE_MS : WATCH_PAUSE_MS;
