/** Maintains the store lease of this process, under which it holds its roles. */
import { STORE_LEASE_TTL_MS } from '../constants/leadership.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { StoreClient } from '../store/store-client.js';
import type { HeldRoles } from './held-roles.js';
import type { SuccessionPolicy } from './succession-policy.js';

/** Collaborators of the renewal of the store lease. */
export interface StoreLeaseRenewalDependencies {
  client: StoreClient;
  heldRoles: HeldRoles;
  succession: () => SuccessionPolicy;
  /** Called synchronously after the store has confirmed the lease; `renew` waits for it. */
  leaseConfirmed: () => Promise<void>;
  clock: Clock;
  log: Log;
}

/** Replaces a lease that the store no longer renews by a new one, under which no role is held yet. */
export class StoreLeaseRenewal {
  constructor(private readonly dependencies: StoreLeaseRenewalDependencies) {}

  /** Renews the lease, or creates a new one if it has expired; rejects if the store does not answer. */
  async renew(): Promise<void> {
    const { client, heldRoles, succession, leaseConfirmed, clock, log } = this.dependencies;
    let sentAt = clock.now();
    const leaseId = heldRoles.storeLeaseId;
    const isRenewed = leaseId === undefined ? false : await client.renewLease(leaseId);
    if (!isRenewed) {
      if (leaseId !== undefined) log.info({ leaseId }, 'store lease expired');
      heldRoles.endLease();
      sentAt = clock.now();
      heldRoles.startLease(await client.createLease(STORE_LEASE_TTL_MS));
    }
    succession().recordLeaseConfirmation(sentAt);
    await leaseConfirmed();
  }
}
