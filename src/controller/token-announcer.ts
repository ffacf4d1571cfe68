/** Tells this node's fencing token to workers that have not been heard since it took their partition over. */
import type { Book } from '../ledger/book.js';
import type { Claims } from './claims.js';
import type { Fleet } from './fleet.js';
import type { Leader } from './leader.js';
import type { Owner } from './owner.js';

export interface WorkerGreeterDependencies {
  claims: Claims;
  book: Book;
  owner: Owner;
  fleet: Fleet;
  leader: Leader;
}

export class TokenAnnouncer {
  constructor(private readonly dependencies: WorkerGreeterDependencies) {}

  announce(): void {
    const { claims, book, owner } = this.dependencies;
    if (!claims.inTouch) return;
    for (const host of book.hostsInUse()) {
      if (owner.workers.has(host) || claims.holding(owner.roleOf(host)) === undefined) continue;
      const endpoint = this.endpointOf(host);
      if (endpoint === undefined) continue;
      let tenure = 0;
      for (const place of book.placesOn(host)) tenure = Math.max(tenure, place.slot.tenure);
      void owner.announceToken(host, endpoint, tenure);
    }
  }

  private endpointOf(host: string): string | undefined {
    const { fleet, leader } = this.dependencies;
    return fleet.known(host)?.endpoint ?? leader.listing.get(host)?.endpoint;
  }
}
