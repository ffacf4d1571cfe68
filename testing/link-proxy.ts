/** A TCP proxy for the link from one controller to another, which can be cut and delayed. */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';

import { parseAddress } from '../src/net/address.js';

/** Forwards connections to a target; while cut, it holds what arrives and delivers it late, in order. */
export class LinkProxy {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private heldChunks: (() => void)[] = [];
  private isCut = false;

  constructor(private readonly target: string) {
    this.server = createServer((client) => this.forward(client));
  }

  /** Listens on a free port and returns the address. */
  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  private forward(client: Socket): void {
    const upstream = connect(parseAddress(this.target));
    this.pipe(client, upstream);
    this.pipe(upstream, client);
  }

  private pipe(from: Socket, to: Socket): void {
    this.sockets.add(from);
    from.on('data', (chunk: Buffer) => this.deliver(() => to.write(chunk)));
    from.on('error', () => undefined);
    from.on('close', () => {
      this.sockets.delete(from);
      this.deliver(() => to.destroy());
    });
  }

  private deliver(action: () => void): void {
    if (this.isCut) this.heldChunks.push(action);
    else action();
  }

  /** Holds everything in both directions until `restore`. */
  cut(): void {
    this.isCut = true;
  }

  /** Delivers what was held. */
  restore(): void {
    this.isCut = false;
    for (const deliver of this.heldChunks.splice(0)) deliver();
  }

  close(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
