// A TCP proxy for a link between two controllers. While it is cut it holds what arrives, as an interrupted network does.
import { connect, createServer } from 'node:net';

export class Link {
  constructor(target) {
    const [host, port] = target.split(':');
    this.sockets = new Set();
    this.isCut = false;
    this.server = createServer((client) => {
      const upstream = connect(Number(port), host);
      this.join(client, upstream);
      this.join(upstream, client);
    });
  }

  async listen() {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${this.server.address().port}`;
  }

  join(from, to) {
    this.sockets.add(from);
    if (this.isCut) from.pause();
    from.on('data', (chunk) => to.write(chunk));
    from.on('error', () => undefined);
    from.on('close', () => {
      this.sockets.delete(from);
      if (!this.isCut) to.destroy();
    });
  }

  cut() {
    this.isCut = true;
    for (const socket of this.sockets) socket.pause();
  }

  restore() {
    this.isCut = false;
    for (const socket of this.sockets) socket.resume();
  }

  close() {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }
}
