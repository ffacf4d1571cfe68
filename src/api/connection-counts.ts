/** Counts the open connections of the HTTP server by the kind of their latest request. */
import type { Socket } from 'node:net';

/** Who uses a connection; `unused`: no request has arrived on it yet. */
export type ConnectionKind = 'unused' | 'user' | 'worker' | 'probe';

/** The open connections by kind. */
export class ConnectionCounts {
  private readonly kinds = new Map<Socket, ConnectionKind>();
  private readonly counts: Record<ConnectionKind, number> = { unused: 0, user: 0, worker: 0, probe: 0 };

  /** To be called when a connection is opened. */
  opened(socket: Socket): void {
    this.kinds.set(socket, 'unused');
    this.counts.unused++;
    socket.once('close', () => this.closed(socket));
  }

  /** To be called at each request on the connection. */
  used(socket: Socket, kind: ConnectionKind): void {
    const former = this.kinds.get(socket);
    if (former === undefined || former === kind) return;
    this.kinds.set(socket, kind);
    this.counts[former]--;
    this.counts[kind]++;
  }

  private closed(socket: Socket): void {
    const kind = this.kinds.get(socket);
    if (kind === undefined) return;
    this.kinds.delete(socket);
    this.counts[kind]--;
  }

  /** The number of open connections of workers. */
  get workerCount(): number {
    return this.counts.worker;
  }

  /** The number of open connections of each kind. */
  current(): Readonly<Record<ConnectionKind, number>> {
    return { ...this.counts };
  }
}
