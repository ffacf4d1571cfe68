/** A planned handover: a controller that is told to stop gives its roles to its successors instead of letting them expire. */
import { DRAIN_SHARE } from '../constants/leadership.js';
import { DELTA_GATHER_MS } from '../constants/gossip.js';
import type { Clock } from '../net/clock.js';
import type { RoleLeadership } from './role-leadership.js';
import type { GossipSender } from '../gossip/gossip-sender.js';
import type { Log } from '../logging/log.js';

export interface HandoverDependencies {
  /** ms that it may take; what is left then ends with the hold. */
  limitMs: number;
  leadership: RoleLeadership;
  /** Sends no more commands, and waits for the answers to those that are out, for so long at most. */
  workerManager: { drain(withinMs: number): Promise<void> };
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
    const { limitMs, leadership, gossip, clock, log } = this.dependencies;
    this.hasBegun = true;
    leadership.stopAcquiring();
    gossip.sendNow();
    await Promise.race([clock.sleep(limitMs), this.giveUp()]);
    log.info({ left: leadership.ledPartitions().length }, 'handover is over');
  }

  private async giveUp(): Promise<void> {
    const { limitMs, leadership, workerManager, clock } = this.dependencies;
    await workerManager.drain(limitMs * DRAIN_SHARE);
    await leadership.releaseAll('told to stop');
    // Peers are told of changed records a moment later; without that they learn of the vacant roles by their next watch.
    await clock.sleep(2 * DELTA_GATHER_MS);
  }
}
