/** How long the replica rests between two watches of the store. */
import { WATCH_HEARD_PAUSE_MS, WATCH_PAUSE_MS } from '../constants/store.js';
import type { PeerDirectory } from './peer-directory.js';

/** ms; while all peers are heard, each tells at once what it has changed, and the watch may rest for longer. */
export const watchPauseMs = (peerDirectory: PeerDirectory): number =>
  peerDirectory.reachesAllPeers ? WATCH_HEARD_PAUSE_MS : WATCH_PAUSE_MS;
