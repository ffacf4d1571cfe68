/** Messages between controllers. */

/** ms for which a peer's gossiped state, such as whether it reaches the store, stays valid: two gossip periods and some delay. */
export const PEER_STATE_VALID_MS = 2500;

/** ms for which a misrouted heartbeat shows that a worker is alive: the worker may try all nodes before the next heartbeat. */
export const MISROUTED_HEARTBEAT_VALID_MS = 15_000;

/** ms to wait for the leader's response to a forwarded heartbeat: the worker waits 4 s. */
export const FORWARD_TIMEOUT_MS = 2000;

/** ms between gossip messages to each peer. */
export const GOSSIP_PERIOD_MS = 1000;

/** ms for which a summary of a node's own machines is reused for all peers, whose links send at different times. */
export const GOSSIP_SUMMARY_REUSE_MS = 900;

/** ms by which a peer's replica must be fresher to show that only this node is cut off: more than two lease renewals. */
export const PEER_LAG_MS = 2200;

/** Maximum size of a message between controllers, bytes: a longer one closes the link, also at peers of earlier versions. */
export const MAX_GOSSIP_BYTES = 1_000_000;

/**
 * Maximum size of all full machine summaries in one message, well below `MAX_GOSSIP_BYTES`, and the size of each without its
 * strings, in bytes. After a failover, thousands of machines take several messages; from then on only changes are sent.
 */
export const MACHINES_IN_GOSSIP_BYTES = 500_000;
export const MACHINE_UPDATE_BYTES = 80;

/**
 * Step between the positions at which consecutive messages start in the list of other nodes' machines, if one message can't hold
 * all; a prime, so that the positions cover the whole list.
 */
export const RELAYED_MACHINES_STEP = 997;

/** ms without a message after which a peer's connection is closed. */
export const PEER_LINK_IDLE_MS = 5000;

/** ms for which urgent gossip is collected before it is sent. */
export const URGENT_GOSSIP_BATCHING_MS = 100;

/** Maximum size of the records in one delta to a peer whose replica lags, bytes: they take a few milliseconds of CPU time. */
export const DELTA_BYTES = 200_000;

/** ms without gossip from a peer after which its machine summaries are no longer used for placement. */
export const GOSSIP_STALE_MS = 4000;

/** ms for which changes are collected before they are sent to peers. */
export const DELTA_BATCHING_MS = 10;
