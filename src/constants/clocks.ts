/** Bounds on the differences between the clocks of different machines, on which the safety of leases depends. */

/** Maximum relative drift between two monotonic clocks: each may be off by 0.05 %, which counts twice for a pair. */
export const CLOCK_DRIFT = 0.001;

/** ms added to every proof of a lease expiry, for the worker's timer resolution and scheduling delay. */
export const LEASE_MARGIN_MS = 300;
