/** The connections between controllers: each node connects to each peer and sends there; answers come by the peer's own connection. */
import type { Settings } from '../domain/settings.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { Gossip, Message } from './messages.js';
import { PeerConnection } from './peer-connection.js';
import { PeerServer } from './peer-server.js';

/** What PeerLinks works with. */
export interface PeerLinksDependencies {
  settings: Settings;
  clock: Clock;
  log: Log;
  /** The gossip for one peer. */
  compose: (node: string) => Gossip;
  receive: (message: Message) => void;
  /** A new connection to the node is open: what was sent on the previous one may not have arrived. */
  onConnected: (node: string) => void;
}

/** Sends messages to the other controllers and receives theirs. */
export class PeerLinks {
  private readonly server: PeerServer;
  private readonly connections = new Map<string, PeerConnection>();

  constructor({ settings, clock, log, compose, receive, onConnected }: PeerLinksDependencies) {
    const { gossipAddress, peers } = settings;
    this.server = new PeerServer({ address: gossipAddress, peerCount: peers.length, log, receive });
    for (const { node, address } of peers) {
      const connection = new PeerConnection({
        address,
        clock,
        compose: () => compose(node),
        onConnected: () => onConnected(node),
      });
      this.connections.set(node, connection);
    }
  }

  /** Listens and keeps the connections to all peers open until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    this.server.listen(signal);
    await Promise.all([...this.connections.values()].map((connection) => connection.run(signal)));
  }

  /** False: there is no open connection to the node. */
  send(node: string, message: Message): boolean {
    return this.connections.get(node)?.send(message) ?? false;
  }
}
