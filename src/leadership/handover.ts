/** Planned handover: a controller that is told to stop releases its roles to its successors instead of letting them expire. */
import { DELTA_GATHER_MS } from '../constants/gossip.js';
import { DRAIN_SHARE } from '../constants/leadership.js';
import type { GossipSender } from '../gossip/gossip-sender.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { RoleLeadership } from './role-leadership.js';

/** What a planned handover needs. */
export interface HandoverDependencies {
  /** ms that it may take; roles that are left then end with the store lease. */
  limitMs: number;
  leadership: RoleLeadership;
  /** Sends no more commands, and waits for the answers to those in flight, for so long at most. */
  workerManager: { drain(withinMs: number): Promise<void> };
  gossip: GossipSender;
  clock: Clock;
  log: Log;
}

/** Runs once, when the controller is told to stop. */
export class Handover {
  private hasBegun = false;

  constructor(private readonly dependencies: HandoverDependencies) {}

  /** From its start on the node acquires no role, and users and peers should use other nodes. */
  get isUnderway(): boolean {
    return this.hasBegun;
  }

  /** Resolves when all roles are released, or when the time is over. */
  async run(): Promise<void> {
    const { limitMs, leadership, gossip, clock, log } = this.dependencies;
    this.hasBegun = true;
    leadership.stopAcquiring();
    gossip.sendNow();
    await Promise.race([clock.sleep(limitMs), this.releaseRoles()]);
    log.info({ remainingPartitions: leadership.ledPartitions().length }, 'handover finished');
  }

  private async releaseRoles(): Promise<void> {
    const { limitMs, leadership, workerManager, clock } = this.dependencies;
    await workerManager.drain(limitMs * DRAIN_SHARE);
    await leadership.releaseAll('shutdown');
    // Peers are sent changed records a moment later; without that they learn of the vacant roles only by their next watch.
    await clock.sleep(2 * DELTA_GATHER_MS);
  }
}
