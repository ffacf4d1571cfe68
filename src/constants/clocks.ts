/** Bounds on the difference between clocks, and so between leases, of different machines. */

/** Relative drift between two steady clocks: each may be off by 0.05 %, taken twice for the pair. */
export const CLOCK_DRIFT = 0.001;

/** ms added to every proof of a lease expiry: timer resolution and scheduling delay of the worker. */
export const LEASE_MARGIN_MS = 300;
