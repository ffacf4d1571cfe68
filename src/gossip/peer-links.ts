/** The connections between controllers. Each node connects to each peer to send; the peer's messages arrive on its own connection. */
import type { Settings } from '../domain/settings.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { Gossip, Message } from './messages.js';
import { PeerConnection } from './peer-connection.js';
import { PeerServer } from './peer-server.js';

/** Dependencies of PeerLinks. */
export interface PeerLinksDependencies {
  settings: Settings;
  clock: Clock;
  log: Log;
  /** Composes the gossip for one peer. */
  compose: (node: string) => Gossip;
  receive: (message: Message) => void;
  /** Called when a new connection to the node is open: messages sent on the previous one may be lost. */
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
        log,
        compose: () => compose(node),
        onConnected: () => onConnected(node),
      });
      this.connections.set(node, connection);
    }
  }

  /** Listens, and maintains the connections to all peers, until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.server.listen(signal);
    await Promise.all([...this.connections.values()].map((connection) => connection.run(signal)));
  }

  /** Returns false if the connection to the node is not open, or has too many bytes waiting to be sent. */
  send(node: string, message: Message): boolean {
    return this.connections.get(node)?.send(message) ?? false;
  }
}
