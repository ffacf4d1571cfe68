/** Turns of long work on the event loop. */

/** ms after which long work lets the event loop handle requests: a tenth of the load balancer's time limit of a health check. */
export const MAX_WORK_TURN_MS = 100;

/** Minimum pause between two turns, ms: a new connection, its request and a response of the store each take an iteration. */
export const WORK_TURN_PAUSE_MS = 20;

/** Maximum time for which a pause is extended while connections and requests wait, ms: long work keeps a fifth of the time. */
export const MAX_SERVING_BETWEEN_TURNS_MS = 400;

/** Maximum time for which requests wait while connections are accepted, ms. */
export const MAX_ACCEPTING_MS = 50;

/** Time for which requests are served before connections are accepted again, ms. */
export const MAX_SERVING_MS = 20;

/** Duration of a turn that violates an invariant, ms: the load balancer's time limit of a health check. */
export const MAX_ALLOWED_TURN_MS = 1000;
