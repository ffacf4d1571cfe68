/** Counts users' requests in progress by kind, so that memory is bounded and submissions never take the places of queries. */
import { MAX_OPEN_REQUEST_SHARE } from '../constants/api.js';
import type { UserRequestKind } from './routes.js';

/** Users' requests that are being read or handled. */
export class OpenRequests {
  private readonly counts: Record<UserRequestKind, number> = { query: 0, change: 0 };

  constructor(
    /** Connections of the server; the limit of each kind is a share of them. */
    private readonly maxConnections: number,
  ) {}

  /** Whether no further request of the kind is accepted. */
  isFull(kind: UserRequestKind): boolean {
    return this.counts[kind] >= Math.floor(this.maxConnections * MAX_OPEN_REQUEST_SHARE[kind]);
  }

  /** Counts a request as open until the returned function is called. */
  begin(kind: UserRequestKind): () => void {
    let isOpen = true;
    this.counts[kind]++;
    return () => {
      if (isOpen) this.counts[kind]--;
      isOpen = false;
    };
  }

  /** The number of open requests of each kind. */
  current(): Readonly<Record<UserRequestKind, number>> {
    return { ...this.counts };
  }
}
