/** Turns of long work on the event loop. */

/** ms after which long work lets the event loop handle requests: a tenth of the load balancer's time limit of a health check. */
export const MAX_WORK_TURN_MS = 100;

/** Pause between two turns, ms: a new connection, its request and a response of the store each take an iteration. */
export const WORK_TURN_PAUSE_MS = 20;

/** Duration of a turn that violates an invariant, ms: the load balancer's time limit of a health check. */
export const MAX_ALLOWED_TURN_MS = 1000;
