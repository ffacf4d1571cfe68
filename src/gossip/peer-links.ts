import { connect, createServer, type Socket } from 'node:net';
import { CONNECT_TIMEOUT_MS } from '../constants/workers.js';
import { GOSSIP_PERIOD_MS, MAX_GOSSIP_BYTES, PEER_LINK_IDLE_MS } from '../constants/gossip.js';
import type { Settings } from '../domain/settings.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import { FrameDecoder, encodeFrame } from './frames.js';
import { decodeMessage, encodeMessage } from './message-codec.js';
import type { Gossip, Message } from './messages.js';
import { isStreamMessage } from './stream-codec.js';

/** Links to the other controllers: each node connects to each peer and sends there; answers come by the peer's own link. */
export class PeerLinks {
  private readonly links = new Map<string, Socket>();

  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
    private readonly log: Log,
    private readonly compose: (node: string) => Gossip,
    private readonly receive: (message: Message) => void,
    /** A new link to the node: what went by the old one may not have come. */
    private readonly renewed: (node: string) => void,
  ) {}

  async run(signal: AbortSignal): Promise<void> {
    this.listen(signal);
    await Promise.all(this.settings.peers.map((peer) => this.link(peer.node, peer.address, signal)));
  }

  private listen(signal: AbortSignal): void {
    const sockets = new Set<Socket>();
    const server = createServer((socket) => {
      sockets.add(socket);
      const frames = new FrameDecoder(MAX_GOSSIP_BYTES);
      socket.setTimeout(PEER_LINK_IDLE_MS, () => socket.destroy());
      socket.on('error', () => socket.destroy());
      socket.on('close', () => sockets.delete(socket));
      socket.on('data', (part) => {
        try {
          for (const message of frames.push(part)) this.take(message);
        } catch (error) {
          this.log.info({ from: socket.remoteAddress, error: String(error) }, 'peer message does not decode');
          socket.destroy();
        }
      });
    });
    server.maxConnections = this.settings.peers.length * 4;
    server.on('error', (error) => this.log.error({ error: String(error) }, 'mesh server'));
    const [host, port] = splitAddress(this.settings.gossipAddress);
    server.listen(port, host);
    signal.addEventListener('abort', () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    });
  }

  /** An unreadable message ends the link; one of the standby's stream is passed over, and asked for once more. */
  private take(bytes: Buffer): void {
    if (!isStreamMessage(bytes)) return this.receive(decodeMessage(bytes));
    let message: Message;
    try {
      message = decodeMessage(bytes);
    } catch (error) {
      this.log.info({ bytes: bytes.length, error: String(error) }, 'stream message does not decode');
      return;
    }
    this.receive(message);
  }

  /** False: there is no link to the node just now. */
  send(node: string, message: Message): boolean {
    const socket = this.links.get(node);
    if (socket === undefined || socket.destroyed || socket.writableLength > MAX_GOSSIP_BYTES) return false;
    socket.write(encodeFrame(encodeMessage(message)));
    return true;
  }

  private async link(node: string, address: string, signal: AbortSignal): Promise<void> {
    const [host, port] = splitAddress(address);
    while (!signal.aborted) {
      const broken = new AbortController();
      const socket = connect({ host, port });
      const connecting = setTimeout(() => socket.destroy(), CONNECT_TIMEOUT_MS);
      socket.on('connect', () => {
        clearTimeout(connecting);
        this.renewed(node);
        this.links.set(node, socket);
      });
      socket.on('error', () => socket.destroy());
      socket.on('close', () => broken.abort());
      socket.resume();
      const either = AbortSignal.any([signal, broken.signal]);
      while (!either.aborted) {
        // Behind a cut the bytes pile up: better to start anew than to deliver old news later.
        if (socket.writableLength > 0 && !socket.connecting) {
          socket.destroy();
          break;
        }
        if (!socket.connecting)
          socket.write(encodeFrame(encodeMessage({ kind: 'gossip', payload: this.compose(node) })));
        await this.clock.sleep(socket.connecting ? GOSSIP_PERIOD_MS / 10 : GOSSIP_PERIOD_MS, either);
      }
      clearTimeout(connecting);
      this.links.delete(node);
      socket.destroy();
      await this.clock.sleep(GOSSIP_PERIOD_MS / 2, signal);
    }
  }
}

export function splitAddress(address: string): [string, number] {
  const colon = address.lastIndexOf(':');
  return [address.slice(0, colon), Number(address.slice(colon + 1))];
}
