/** Keeps the store lease of this process, under which its roles are led. */
import { STORE_LEASE_TTL_MS } from '../constants/leadership.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { StoreClient } from '../store/store-client.js';
import type { HeldRoles } from './held-roles.js';
import type { SuccessionPolicy } from './succession-policy.js';

/** What renewing the store lease needs. */
export interface StoreLeaseRenewalDependencies {
  client: StoreClient;
  heldRoles: HeldRoles;
  succession: () => SuccessionPolicy;
  /** Called in the same step in which the store has confirmed the lease; the renewal ends with it. */
  leaseConfirmed: () => Promise<void>;
  clock: Clock;
  log: Log;
}

/** A lease that the store does not renew any more is replaced by a new one, under which no role is led yet. */
export class StoreLeaseRenewal {
  constructor(private readonly dependencies: StoreLeaseRenewalDependencies) {}

  /** Renews the lease, or creates one if there is none any more; fails if the store does not answer. */
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
    succession().confirm(sentAt);
    await leaseConfirmed();
  }
}
