/** The outgoing connection to one peer: opened again whenever it is lost, with gossip sent on it every period. */
import { connect, type Socket } from 'node:net';

import { GOSSIP_PERIOD_MS, MAX_GOSSIP_BYTES } from '../constants/gossip.js';
import { CONNECT_TIMEOUT_MS } from '../constants/workers.js';
import { parseAddress } from '../net/address.js';
import type { Clock } from '../net/clock.js';
import { encodeFrame } from './frames.js';
import { encodeMessage } from './message-codec.js';
import type { Gossip, Message } from './messages.js';

/** ms between two looks whether a connection attempt has succeeded. */
const CONNECT_CHECK_MS = GOSSIP_PERIOD_MS / 10;

/** ms between the loss of a connection and the next attempt. */
const RECONNECT_DELAY_MS = GOSSIP_PERIOD_MS / 2;

/** What PeerConnection works with. */
export interface PeerConnectionDependencies {
  /** The peer's 'host:port'. */
  address: string;
  clock: Clock;
  /** The gossip for this peer. */
  compose: () => Gossip;
  /** A new connection is open: what was sent on the previous one may not have arrived. */
  onConnected: () => void;
}

/** Sends to one peer; the peer's messages arrive by its own connection. */
export class PeerConnection {
  /** Set while the connection is open. */
  private socket: Socket | undefined;

  constructor(private readonly dependencies: PeerConnectionDependencies) {}

  /** Keeps the connection open until the signal fires. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.connectOnce(signal);
      await this.dependencies.clock.sleep(RECONNECT_DELAY_MS, signal);
    }
  }

  /** False: the connection is not open, or too much waits on it to be sent. */
  send(message: Message): boolean {
    const { socket } = this;
    if (socket === undefined || socket.destroyed || socket.writableLength > MAX_GOSSIP_BYTES) return false;
    socket.write(encodeFrame(encodeMessage(message)));
    return true;
  }

  /** One connection, until it is lost or the signal fires. */
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
      // During a network partition the bytes pile up: it is better to connect again than to deliver outdated messages later.
      if (socket.writableLength > 0 && !socket.connecting) return;
      if (!socket.connecting) socket.write(encodeFrame(encodeMessage({ kind: 'gossip', payload: compose() })));
      await clock.sleep(socket.connecting ? CONNECT_CHECK_MS : GOSSIP_PERIOD_MS, signal);
    }
  }
}
