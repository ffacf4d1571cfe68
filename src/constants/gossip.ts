/** Messages between controllers. */

/** ms for which a peer's statement counts that it does not reach the store either: two gossip periods and some delay. */
export const PEER_STATE_VALID_MS = 2500;

/** ms for which a misrouted heartbeat counts as evidence that a worker is alive: it may try all nodes in between. */
export const MISROUTED_HEARTBEAT_VALID_MS = 15_000;

/** ms to wait for the leader's answer to a forwarded heartbeat: the worker waits 4 s. */
export const FORWARD_TIMEOUT_MS = 2000;

/** ms between two gossip messages to each peer. */
export const GOSSIP_PERIOD_MS = 1000;

/** ms for which one summary of a node's own machines serves all peers, whose links send at different moments. */
export const GOSSIP_VIEW_MS = 900;

/** ms by which a peer's replica must be fresher than ours to show that only we are cut off: more than two lease renewals. */
export const PEER_LAG_MS = 2200;

/** Bytes of one message between controllers at most: a longer one ends the link, also at peers of earlier versions. */
export const MAX_GOSSIP_BYTES = 1_000_000;

/**
 * Bytes of full machine summaries in one message, well below that, and bytes of each beside its texts. After a failover,
 * thousands of machines take several messages; from then on only changes are sent.
 */
export const MACHINES_IN_GOSSIP_BYTES = 500_000;
export const MACHINE_UPDATE_BYTES = 80;

/** Step from message to message through other nodes' machines, where they don't all fit into one: a prime, to reach all. */
export const FORWARDED_MACHINES_STEP = 997;

/** ms without a message after which a peer's connection is closed. */
export const PEER_LINK_IDLE_MS = 5000;

/** ms that urgent gossip is collected before it is sent. */
export const GOSSIP_SOON_MS = 100;

/** Bytes of records in one delta to a peer whose replica lags: some milliseconds of processor time. */
export const DELTA_BYTES = 200_000;

/** ms without gossip after which a peer's machine summaries are not used for placement. */
export const GOSSIP_STALE_MS = 4000;

/** ms that changes are collected before peers are told. */
export const DELTA_GATHER_MS = 10;
