/** Limits and deadlines of user requests, and of the HTTP server. */

/** ms after which a submission is refused with 503: users give up after 5 s, and this leaves them time to try another node. */
export const SUBMIT_DEADLINE_MS = 1800;

/** ms after which a poll that could not be decided is refused: users wait 2 s for a response. */
export const POLL_DEADLINE_MS = 1800;

/**
 * ms for which polls are collected before one request to the store serves them all: users wait 2 s, and about a hundred
 * users who poll every 5 s would otherwise cost one store request for each poll.
 */
export const POLL_BATCHING_MS = 250;

/** Maximum attempts to confirm the records of a poll by a transaction of conditions; records that have changed are read again. */
export const MAX_POLL_ATTEMPTS = 3;

/** Maximum of user requests in progress: more are refused with 429 at once, which bounds memory. */
export const MAX_OPEN_REQUESTS = 200;

/** Seconds in `Retry-After` when a request can't be accepted: the shortest wait that the protocol allows. */
export const RETRY_AFTER_S = 1;

/** Maximum of `Retry-After` in seconds: users ignore longer waits. */
export const MAX_RETRY_AFTER_S = 30;

/** ms for which an idle connection of a user or worker is kept open: several heartbeat or poll intervals. */
export const KEEP_ALIVE_MS = 30_000;

/** ms within which a request must be received completely. */
export const REQUEST_TIMEOUT_MS = 5000;

/**
 * Shares of the sockets that the platform allows: the first for connections from users and workers, the second for calls to the
 * store, the cloud and workers. The rest is left for connections with other controllers.
 */
export const HTTP_SERVER_SOCKET_SHARE = 0.6;
export const HTTP_CLIENT_SOCKET_SHARE = 0.25;

/**
 * Shares of the server's connections up to which an answered request leaves its connection open, by who sent it: beyond them
 * workers connect for each heartbeat, and users for each request.
 */
export const KEEP_ALIVE_CONNECTION_SHARE = { worker: 0.7, user: 0.85 } as const;

/** Share of the server's connections beyond which a new one closes an idle one. */
export const OCCUPIED_CONNECTION_SHARE = 0.95;

/** Connections that the system may hold for the server until it accepts them: a few thousand workers that reconnect at once. */
export const LISTEN_BACKLOG = 4096;
