/** Planned handover: a controller that shuts down releases its roles to its successors instead of letting them expire. */
import { DELTA_BATCHING_MS } from '../constants/gossip.js';
import { DRAIN_TIME_SHARE } from '../constants/leadership.js';
import type { GossipSender } from '../gossip/gossip-sender.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { RoleLeadership } from './role-leadership.js';

/** Collaborators of a planned handover, and its time limit. */
export interface HandoverDependencies {
  /** Time limit in ms; roles not released by then become vacant when the store lease expires. */
  limitMs: number;
  leadership: RoleLeadership;
  /** Stops sending commands, and waits up to `timeoutMs` for the answers to those in flight. */
  workerManager: { drain(timeoutMs: number): Promise<void> };
  gossip: GossipSender;
  clock: Clock;
  log: Log;
}

/** Runs once, when the controller is asked to shut down. */
export class Handover {
  private hasStarted = false;

  constructor(private readonly dependencies: HandoverDependencies) {}

  /** Once the handover has started, the node acquires no role, and users and peers should use other nodes. */
  get isUnderway(): boolean {
    return this.hasStarted;
  }

  /** Resolves when all roles are released, or when the time limit is reached. */
  async run(): Promise<void> {
    const { limitMs, leadership, gossip, clock, log } = this.dependencies;
    this.hasStarted = true;
    leadership.stopAcquiring();
    gossip.sendNow();
    await Promise.race([clock.sleep(limitMs), this.releaseRoles()]);
    log.info({ remainingPartitions: leadership.ledPartitions().length }, 'handover finished');
  }

  private async releaseRoles(): Promise<void> {
    const { limitMs, leadership, workerManager, clock } = this.dependencies;
    await workerManager.drain(limitMs * DRAIN_TIME_SHARE);
    await leadership.releaseAll('shutdown');
    // Changed records reach peers only after a batching delay; otherwise they learn of the vacant roles only by their next watch.
    await clock.sleep(2 * DELTA_BATCHING_MS);
  }
}
