/** A planned handover: a controller that is told to stop gives its roles to its successors instead of letting them expire. */
import { DRAIN_SHARE } from '../constants.js';
import type { Clock } from '../net/clock.js';
import type { Claims } from './claims.js';
import type { GossipSender } from './gossip-sender.js';
import type { Log } from './log.js';
import type { Owner } from './owner.js';

export interface HandoverDependencies {
  /** ms that it may take; what is left then ends with the hold. */
  limitMs: number;
  claims: Claims;
  owner: Owner;
  gossip: GossipSender;
  clock: Clock;
  log: Log;
}

export class Handover {
  private hasBegun = false;

  constructor(private readonly dependencies: HandoverDependencies) {}

  /** From then on the node takes no role, and users and peers should go elsewhere. */
  get isUnderway(): boolean {
    return this.hasBegun;
  }

  /** Resolves when all roles are given up, or when the time is over. */
  async run(): Promise<void> {
    const { limitMs, claims, owner, gossip, clock, log } = this.dependencies;
    this.hasBegun = true;
    claims.leave();
    gossip.now();
    const givenUp = owner.drain(limitMs * DRAIN_SHARE).then(() => claims.cedeAll('told to stop'));
    await Promise.race([clock.sleep(limitMs), givenUp]);
    log.info({ left: claims.ownedPartitions().length }, 'handover is over');
  }
}
