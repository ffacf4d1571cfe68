/** The outgoing connection to one peer. Reconnects whenever the connection is lost, and sends gossip every period. */
import { connect, type Socket } from 'node:net';

import { GOSSIP_PERIOD_MS, MAX_GOSSIP_BYTES } from '../constants/gossip.js';
import { CONNECT_TIMEOUT_MS } from '../constants/workers.js';
import { parseAddress } from '../net/address.js';
import type { Clock } from '../net/clock.js';
import { encodeFrame } from './frames.js';
import { encodeMessage } from './message-codec.js';
import type { Gossip, Message } from './messages.js';

/** ms between two checks whether a connection attempt has succeeded. */
const CONNECT_CHECK_MS = GOSSIP_PERIOD_MS / 10;

/** ms between the loss of a connection and the next attempt. */
const RECONNECT_DELAY_MS = GOSSIP_PERIOD_MS / 2;

/** Dependencies of PeerConnection. */
export interface PeerConnectionDependencies {
  /** The peer's 'host:port'. */
  address: string;
  clock: Clock;
  /** Composes the gossip for this peer. */
  compose: () => Gossip;
  /** Called when a new connection is open: messages sent on the previous one may be lost. */
  onConnected: () => void;
}

/** Sends messages to one peer; the peer's messages arrive on its own connection. */
export class PeerConnection {
  /** Defined while the connection is open. */
  private socket: Socket | undefined;

  constructor(private readonly dependencies: PeerConnectionDependencies) {}

  /** Maintains the connection until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.connectOnce(signal);
      await this.dependencies.clock.sleep(RECONNECT_DELAY_MS, signal);
    }
  }

  /** Returns false if the connection is not open, or has more than MAX_GOSSIP_BYTES waiting to be sent. */
  send(message: Message): boolean {
    const { socket } = this;
    if (socket === undefined || socket.destroyed || socket.writableLength > MAX_GOSSIP_BYTES) return false;
    socket.write(encodeFrame(encodeMessage(message)));
    return true;
  }

  /** Opens one connection, and returns when it is lost or the signal aborts. */
  private async connectOnce(signal: AbortSignal): Promise<void> {
    const closed = new AbortController();
    const socket = connect(parseAddress(this.dependencies.address));
    const connectTimer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.on('connect', () => {
      clearTimeout(connectTimer);
      this.dependencies.onConnected();
      this.socket = socket;
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => closed.abort());
    socket.resume();
    await this.sendGossip(socket, AbortSignal.any([signal, closed.signal]));
    clearTimeout(connectTimer);
    this.socket = undefined;
    socket.destroy();
  }

  private async sendGossip(socket: Socket, signal: AbortSignal): Promise<void> {
    const { clock, compose } = this.dependencies;
    while (!signal.aborted) {
      // Unsent bytes accumulate during a network partition. Reconnecting avoids delivering outdated messages afterwards.
      if (socket.writableLength > 0 && !socket.connecting) return;
      if (!socket.connecting) socket.write(encodeFrame(encodeMessage({ kind: 'gossip', payload: compose() })));
      await clock.sleep(socket.connecting ? CONNECT_CHECK_MS : GOSSIP_PERIOD_MS, signal);
    }
  }
}
