/** Messages between controllers. */

/** ms for which a peer's word that it has no store either counts: two gossip periods and some delay. */
export const PEER_STATE_VALID_MS = 2500;

/** ms for which a worker's visit at a node that does not own it counts as evidence: it may try all nodes in between. */
export const MISROUTED_HEARTBEAT_VALID_MS = 15_000;

/** ms to wait for the owner's answer to a relayed report: the worker waits 4 s. */
export const FORWARD_TIMEOUT_MS = 2000;

/** ms between two gossip messages to each peer. */
export const GOSSIP_PERIOD_MS = 1000;

/** ms for which one description of a node's own machines serves all peers: links tick at different moments. */
export const GOSSIP_VIEW_MS = 900;

/** ms by which a peer's copy must be newer than ours to show that only we are cut off: more than two heartbeats. */
export const PEER_LAG_MS = 2200;

/** Bytes of one message between controllers at most: a longer one ends the link, also at peers of earlier versions. */
export const MAX_GOSSIP_BYTES = 1_000_000;

/**
 * Bytes of machines told in full in one message, well below that, and bytes of each beside its texts. Thousands of machines
 * are told of in several messages after a takeover; then only what changes is.
 */
export const MACHINES_IN_GOSSIP_BYTES = 500_000;
export const MACHINE_UPDATE_BYTES = 80;

/** Machines of others by which the turn moves on from message to message, where they don't all have room: a prime. */
export const FORWARDED_MACHINES_STEP = 997;

/** ms without a message after which a peer's connection is closed. */
export const PEER_LINK_IDLE_MS = 5000;

/** ms that urgent gossip is collected before it is sent. */
export const GOSSIP_SOON_MS = 100;

/** Bytes of records in one message to a peer whose copy is brought up: a turn of some milliseconds. */
export const DELTA_BYTES = 200_000;

/** ms without gossip after which a peer's machine summaries are not used for placement. */
export const GOSSIP_STALE_MS = 4000;

/** ms that changes are collected before peers are told. */
export const DELTA_GATHER_MS = 10;
