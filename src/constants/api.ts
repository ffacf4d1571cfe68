/** Limits and deadlines of users' requests, and of the HTTP server. */

/** ms after which a submission is refused with 503: users give up after 5 s, and a refusal lets them go elsewhere. */
export const SUBMIT_DEADLINE_MS = 1800;

/** ms after which a poll is refused: users wait 2 s for it. */
export const POLL_DEADLINE_MS = 1500;

/**
 * ms that polls are collected before one comparing transaction answers them all: users wait 2 s, and some hundred of them
 * who poll every 5 s would otherwise take one store request each.
 */
export const POLL_GATHER_MS = 250;

/** Attempts of a comparing transaction for one poll, after each of which the records that differed are read again. */
export const POLL_COMPARISONS = 3;

/** Users' requests in progress at once; beyond, a node answers 429 at once, so that memory stays bounded. */
export const MAX_OPEN_REQUESTS = 200;

/** s in `Retry-After` when a request can't be accepted: the protocol's shortest wait. */
export const RETRY_AFTER_S = 1;

/** s in `Retry-After` at most: users follow no longer times. */
export const MAX_RETRY_AFTER_S = 30;

/** Bytes of a request body: the protocol's limit. */
export const MAX_BODY_BYTES = 65_536;

/** ms an idle connection of a user or worker is kept open: several heartbeats or polls. */
export const KEEP_ALIVE_MS = 30_000;

/** ms within which a request must have arrived in full. */
export const REQUEST_TIMEOUT_MS = 5000;

/**
 * Of the sockets that the platform allows, the shares for users and workers, and for calls to the store, the cloud and workers;
 * the rest is for the other controllers.
 */
export const HTTP_SERVER_SOCKET_SHARE = 0.6;
export const HTTP_CLIENT_SOCKET_SHARE = 0.25;
