/** Accepts the connections of the other controllers and decodes their messages. */
import { createServer, type Socket } from 'node:net';

import { MAX_GOSSIP_BYTES, PEER_LINK_IDLE_MS } from '../constants/gossip.js';
import type { Log } from '../logging/log.js';
import { parseAddress } from '../net/address.js';
import { encodeFrame, FrameDecoder } from './frames.js';
import { decodeMessage } from './message-codec.js';
import type { Message } from './messages.js';
import { encodeAbilities } from './peer-abilities.js';
import { isStreamMessage } from './stream-codec.js';

/** Connections accepted for each peer: old ones may still be open when a peer reconnects. */
const CONNECTIONS_PER_PEER = 4;

/** Dependencies of PeerServer. */
export interface PeerServerDependencies {
  /** The 'host:port' to listen on. */
  address: string;
  peerCount: number;
  log: Log;
  receive: (message: Message) => void;
}

/** The receiving side of the connections between controllers. */
export class PeerServer {
  private readonly sockets = new Set<Socket>();

  constructor(private readonly dependencies: PeerServerDependencies) {}

  /** Listens until the signal aborts; then closes all connections too. */
  listen(signal: AbortSignal): void {
    const { address, peerCount, log } = this.dependencies;
    const server = createServer((socket) => this.accept(socket));
    server.maxConnections = peerCount * CONNECTIONS_PER_PEER;
    server.on('error', (error) => log.error({ error: String(error) }, 'gossip server failed'));
    const { host, port } = parseAddress(address);
    server.listen(port, host);
    signal.addEventListener('abort', () => {
      server.close();
      for (const socket of this.sockets) socket.destroy();
    });
  }

  private accept(socket: Socket): void {
    this.sockets.add(socket);
    const frames = new FrameDecoder(MAX_GOSSIP_BYTES);
    socket.setTimeout(PEER_LINK_IDLE_MS, () => socket.destroy());
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (chunk) => this.readChunk(socket, frames, chunk));
    socket.write(encodeFrame(encodeAbilities()));
  }

  /** A message that can't be decoded closes the connection, since the bytes after it may be misread as well. */
  private readChunk(socket: Socket, frames: FrameDecoder, chunk: Buffer): void {
    try {
      for (const bytes of frames.push(chunk)) this.receiveBytes(bytes);
    } catch (error) {
      this.dependencies.log.info({ from: socket.remoteAddress, error: String(error) }, 'peer message rejected');
      socket.destroy();
    }
  }

  /** A stream message of the standby that can't be decoded is skipped: its receiver detects the gap and requests it again. */
  private receiveBytes(bytes: Buffer): void {
    const { log, receive } = this.dependencies;
    if (!isStreamMessage(bytes)) {
      receive(decodeMessage(bytes));
      return;
    }
    let message: Message;
    try {
      message = decodeMessage(bytes);
    } catch (error) {
      log.info({ bytes: bytes.length, error: String(error) }, 'stream message rejected');
      return;
    }
    receive(message);
  }
}
