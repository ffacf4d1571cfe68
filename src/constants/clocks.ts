/** Bounds on what clocks and leases of different machines may differ by. */

/** Relative drift between two steady clocks: each may run fast by 0.05 %, taken twice for the pair. */
export const CLOCK_DRIFT = 0.001;

/** ms added to every proof that a lease is over: timer steps, scheduling delay of the worker. */
export const LEASE_MARGIN_MS = 300;
