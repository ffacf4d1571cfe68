/** The open connections of the HTTP server, by the kind of their latest request, and which of them give way to new ones. */
import type { Socket } from 'node:net';

import { KEEP_ALIVE_CONNECTION_SHARE, OCCUPIED_CONNECTION_SHARE } from '../constants/api.js';

/** Who uses a connection; `unused`: no request has arrived on it yet. */
export type ConnectionKind = 'unused' | 'user' | 'worker' | 'probe';

/** The kinds whose idle connections give way to new ones, first those that give way first. */
const KINDS_THAT_GIVE_WAY = ['worker', 'user'] as const;

/**
 * An idle connection only saves its client the next connect, so it never keeps another client out: when connections become
 * scarce, those of workers are closed first, then those of users, and health checks always find room.
 */
export class ConnectionTable {
  private readonly kinds = new Map<Socket, ConnectionKind>();
  private readonly counts: Record<ConnectionKind, number> = { unused: 0, user: 0, worker: 0, probe: 0 };
  /** Connections without a request in progress, longest idle first. */
  private readonly idle = { worker: new Set<Socket>(), user: new Set<Socket>() };
  private closedIdleCount = 0;

  constructor(
    /** Limit on open connections; more are refused by the server. */
    private readonly maxConnections: number,
  ) {}

  /** To be called when a connection is opened; closes an idle one if few are left. */
  opened(socket: Socket): void {
    this.kinds.set(socket, 'unused');
    this.counts.unused++;
    socket.once('close', () => this.closed(socket));
    if (this.kinds.size > this.maxConnections * OCCUPIED_CONNECTION_SHARE) this.closeLongestIdle();
  }

  /** To be called at each request on the connection. */
  requestReceived(socket: Socket, kind: ConnectionKind): void {
    const former = this.kinds.get(socket);
    if (former === undefined) return;
    this.removeIdle(socket);
    if (former === kind) return;
    this.kinds.set(socket, kind);
    this.counts[former]--;
    this.counts[kind]++;
  }

  /** To be called before each answer: whether the connection may stay open for another request. */
  mayKeepAlive(kind: ConnectionKind): boolean {
    const share = kind === 'worker' || kind === 'user' ? KEEP_ALIVE_CONNECTION_SHARE[kind] : OCCUPIED_CONNECTION_SHARE;
    return this.kinds.size <= this.maxConnections * share;
  }

  /** To be called after each answer. */
  answered(socket: Socket): void {
    const kind = this.kinds.get(socket);
    if (kind === 'worker' || kind === 'user') this.idle[kind].add(socket);
  }

  private closeLongestIdle(): void {
    for (const kind of KINDS_THAT_GIVE_WAY) {
      const [socket] = this.idle[kind];
      if (socket === undefined) continue;
      this.closedIdleCount++;
      this.closed(socket);
      socket.destroy();
      return;
    }
  }

  private removeIdle(socket: Socket): void {
    this.idle.worker.delete(socket);
    this.idle.user.delete(socket);
  }

  private closed(socket: Socket): void {
    const kind = this.kinds.get(socket);
    if (kind === undefined) return;
    this.removeIdle(socket);
    this.kinds.delete(socket);
    this.counts[kind]--;
  }

  /** The number of open connections of each kind. */
  current(): Readonly<Record<ConnectionKind, number>> {
    return { ...this.counts };
  }

  /** The number of idle connections that were closed to make room since the last call. */
  takeClosedIdleCount(): number {
    const count = this.closedIdleCount;
    this.closedIdleCount = 0;
    return count;
  }
}
