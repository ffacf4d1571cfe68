/** The outgoing connection to one peer. Reconnects whenever the connection is lost, and sends gossip every period. */
import { connect, type Socket } from 'node:net';

import { GOSSIP_PERIOD_MS, MAX_GOSSIP_BYTES } from '../constants/gossip.js';
import { CONNECT_TIMEOUT_MS } from '../constants/workers.js';
import type { Log } from '../logging/log.js';
import { parseAddress } from '../net/address.js';
import type { Clock } from '../net/clock.js';
import { encodeFrame, FrameDecoder } from './frames.js';
import { hasLargeAgentEpoch } from './large-counts.js';
import { EARLIER_VERSION, encodeMessage, type ReceiverAbilities } from './message-codec.js';
import type { Gossip, Message } from './messages.js';
import { decodeAbilities } from './peer-abilities.js';

/** Maximum size of the message in which a peer tells its abilities, bytes. */
const MAX_ABILITIES_BYTES = 4096;

/** ms between two checks whether a connection attempt has succeeded. */
const CONNECT_CHECK_MS = GOSSIP_PERIOD_MS / 10;

/** ms between the loss of a connection and the next attempt. */
const RECONNECT_DELAY_MS = GOSSIP_PERIOD_MS / 2;

/** Dependencies of PeerConnection. */
export interface PeerConnectionDependencies {
  /** The peer's 'host:port'. */
  address: string;
  clock: Clock;
  log: Log;
  /** Composes the gossip for this peer. */
  compose: () => Gossip;
  /** Called when a new connection is open: messages sent on the previous one may be lost. */
  onConnected: () => void;
}

/** Sends messages to one peer; the peer's messages arrive on its own connection, except for the one that tells its abilities. */
export class PeerConnection {
  /** Defined while the connection is open. */
  private socket: Socket | undefined;
  /** What the peer has told on this connection. */
  private abilities: ReceiverAbilities = EARLIER_VERSION;
  /** Machines were left out of gossip on this connection, because the peer had not told its abilities. */
  private hasOmittedMachines = false;

  constructor(private readonly dependencies: PeerConnectionDependencies) {}

  /** Maintains the connection until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.connectOnce(signal);
      await this.dependencies.clock.sleep(RECONNECT_DELAY_MS, signal);
    }
  }

  /** Returns false if the connection is not open or has more than MAX_GOSSIP_BYTES waiting to be sent, or the message has no encoding. */
  send(message: Message): boolean {
    const { socket } = this;
    if (socket === undefined || socket.destroyed || socket.writableLength > MAX_GOSSIP_BYTES) return false;
    return this.write(socket, message);
  }

  /** A message without an encoding is not sent: the others must still arrive. */
  private write(socket: Socket, message: Message): boolean {
    const { address, log } = this.dependencies;
    const { readsLargeCounts } = this.abilities;
    try {
      socket.write(encodeFrame(encodeMessage(message, this.abilities)));
    } catch (error) {
      log.error({ peer: address, kind: message.kind, readsLargeCounts, error: String(error) }, 'peer message not sent');
      return false;
    }
    if (!readsLargeCounts && message.kind === 'gossip') this.hasOmittedMachines ||= hasLargeAgentEpoch(message.payload);
    return true;
  }

  /** Reads what the peer tells on this connection; peers of earlier versions send nothing here. */
  private readAbilities(socket: Socket, frames: FrameDecoder, chunk: Buffer): void {
    try {
      for (const bytes of frames.push(chunk)) this.applyAbilities(decodeAbilities(bytes));
    } catch (error) {
      this.dependencies.log.info({ peer: this.dependencies.address, error: String(error) }, 'peer abilities rejected');
      socket.destroy();
    }
  }

  private applyAbilities(abilities: ReceiverAbilities): void {
    this.abilities = abilities;
    if (!abilities.readsLargeCounts || !this.hasOmittedMachines) return;
    this.hasOmittedMachines = false;
    this.dependencies.onConnected();
  }

  /** Opens one connection, and returns when it is lost or the signal aborts. */
  private async connectOnce(signal: AbortSignal): Promise<void> {
    const closed = new AbortController();
    const socket = connect(parseAddress(this.dependencies.address));
    const frames = new FrameDecoder(MAX_ABILITIES_BYTES);
    this.abilities = EARLIER_VERSION;
    this.hasOmittedMachines = false;
    const connectTimer = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
    socket.on('connect', () => {
      clearTimeout(connectTimer);
      this.dependencies.onConnected();
      this.socket = socket;
    });
    socket.on('error', () => socket.destroy());
    socket.on('close', () => closed.abort());
    socket.on('data', (chunk) => this.readAbilities(socket, frames, chunk));
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
      if (!socket.connecting) this.write(socket, { kind: 'gossip', payload: compose() });
      await clock.sleep(socket.connecting ? CONNECT_CHECK_MS : GOSSIP_PERIOD_MS, signal);
    }
  }
}
