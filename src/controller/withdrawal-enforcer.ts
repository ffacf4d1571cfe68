import { TOKEN_ANNOUNCE_AGAIN_MS, MAX_TOKEN_ANNOUNCEMENTS } from '../constants.js';
import type { Book } from '../ledger/book.js';
import { shardName } from '../ledger/records.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient } from '../net/http-client.js';
import { sendCommands } from '../workers/commands.js';
import type { Order } from '../workers/report.js';
import { partitionRole, type Claims } from './claims.js';
import type { Fleet } from './fleet.js';
import type { Log } from './log.js';

/**
 * Stops what is left of withdrawn jobs on machines whose owner is without the store, and so may not know of the withdrawal,
 * also while this node is, and can't tell.
 * A withdrawal is final, and a worker takes orders from any node under its owner's token: nothing of the owner's is decided
 * here, and it learns of the exits by the next report. That the tasks go in time does not rest on this; it only stops them
 * sooner.
 */
export class WithdrawalEnforcer {
  private readonly sentAt = new Map<string, number>();
  private sending = 0;

  constructor(
    private readonly claims: Claims,
    private readonly book: Book,
    private readonly fleet: Fleet,
    private readonly peers: { saysWithoutStore(node: string): boolean },
    private readonly http: HttpClient,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  sweep(): void {
    const now = this.clock.now();
    for (const [host, at] of this.sentAt) if (now - at > TOKEN_ANNOUNCE_AGAIN_MS) this.sentAt.delete(host);
    for (const [host, { fence, tenure, orders }] of this.leftOver()) {
      const endpoint = this.fleet.get(host)?.endpoint;
      if (endpoint === undefined || this.sentAt.has(host) || this.sending >= MAX_TOKEN_ANNOUNCEMENTS) continue;
      this.sentAt.set(host, now);
      this.sending++;
      this.log.info({ machine: host, tasks: orders.length }, 'tasks of withdrawn jobs stopped for their owner');
      void sendCommands(this.http, endpoint, fence, tenure, orders).finally(() => this.sending--);
    }
  }

  /** By machine; the places of one machine have one session, or the older ones are over. */
  private leftOver(): Map<string, { fence: number; tenure: number; orders: Order[] }> {
    const left = new Map<string, { fence: number; tenure: number; orders: Order[] }>();
    for (const view of this.book.jobs.values()) {
      if (view.record.phase !== 'withdrawn' || view.placed === 0) continue;
      for (const [shard, slot] of view.known()) {
        if (slot.kind !== 'placed') continue;
        const role = partitionRole(this.claims.partitionOf(slot.host));
        const claim = this.book.claims.get(role);
        if (claim === undefined || this.claims.holding(role) !== undefined) continue;
        // An owner that is only busy, or whose partition others will take over, needs no help.
        if (this.claims.inTouch && !this.peers.saysWithoutStore(claim.record.node)) continue;
        let here = left.get(slot.host);
        if (here === undefined || here.tenure < slot.tenure) {
          left.set(slot.host, (here = { fence: claim.stamp, tenure: slot.tenure, orders: [] }));
        }
        if (here.tenure !== slot.tenure) continue;
        here.orders.push({ verb: 'kill', shard: shardName(view.ref, shard), attempt: slot.attempt, grace: 0 });
      }
    }
    return left;
  }
}
