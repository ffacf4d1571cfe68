/**
 * The messages that controllers send each other; the message codec encodes them. Since the clocks of two nodes are unrelated, times
 * are sent as ages in ms, which each node converts from and to its own clock.
 */
import type { StreamMessage } from '@dewlatch/standby';

import type { Count } from '../domain/count.js';
import type { MachineState } from '../domain/machine-state.js';
import type { SerializedChange } from '../store/replica.js';

/** The periodic state of one controller, sent to each of its peers. */
export interface Gossip {
  /** The sender. */
  node: string;
  /** ms since the sender's process first read the store; 0 if it has not. */
  uptimeMs: number;
  /** ms since the store last confirmed the sender's replica, measured by the sender's clock. */
  replicaAgeMs: number;
  /** The store rejects the sender's requests or doesn't answer them. */
  isWithoutStore: boolean;
  /** The sender's monotonic clock, ms. */
  clockMs: number;
  /** The receiver's `clockMs` and incarnation as the sender last received them; null if it never has. */
  echo: { incarnation: number; clockMs: number } | null;
  /** The sender's process has read the store. */
  isLoaded: boolean;
  /** The number of changes that the sender's replica has applied. */
  version: number;
  /** Peers from which the sender currently receives gossip; their machines need not be relayed to it. */
  reachablePeers: string[];
  /** Distinguishes the sender's process from earlier processes of the node. */
  incarnation: number;
  /** Sequence number of the message among those of this incarnation to this receiver. */
  messageNumber: number;
  /** The machine updates do not build on an earlier message. */
  isSnapshot: boolean;
  /** The sender has missed a message from the receiver and requests a snapshot. */
  wantsSnapshot: boolean;
  /** Full updates of the sender's machines that have changed, and of machines relayed from other nodes. */
  machines: MachineUpdate[];
  /** The sender's machines of which only the last heartbeat may have changed. */
  unchanged: UnchangedMachineColumns;
  /** Heartbeats received by a node that does not lead the worker's partition: the sender, or a node whose gossip it relays. */
  misroutedHeartbeats: MisroutedHeartbeat[];
  /** Roles that the sender currently does not acquire: it has recently released them, or is shutting down. */
  avoidedRoles: string[];
  /** Machines that the cloud has recently confirmed terminated. */
  terminatedMachines: string[];
}

/** The full state of a machine as its partition's leader reports it. */
export interface MachineUpdate extends MachineState {
  /** The number that identifies the machine in the sender's later messages; -1 if it has none. */
  number: number;
  /** ms since the machine's last heartbeat. */
  heartbeatAgeMs: number;
  /** ms since the partition's leader described the machine. */
  stateAgeMs: number;
  /** ms until the cloud reclaims the spot machine; null without a spot notice. */
  spotNoticeMs: number | null;
}

/** Three arrays of equal length; the same index in each refers to the same machine. */
export interface UnchangedMachineColumns {
  /** The number that the sender assigned in each machine's last full update. */
  numbers: number[];
  /** ms since each machine's last heartbeat, rounded. */
  heartbeatAgesMs: number[];
  /** The sequence number of each machine's last heartbeat. */
  sequences: Count[];
}

/** A heartbeat that a worker sent to a node that does not lead its partition. */
export interface MisroutedHeartbeat {
  machineId: string;
  /** ms since the heartbeat. */
  ageMs: number;
}

/** A heartbeat forwarded to the leader of the worker's partition, since the worker can't reach the leader itself. */
export interface ForwardedHeartbeat {
  /** The node that forwards the heartbeat and receives the answer. */
  node: string;
  /** Matches the answer to the request. */
  id: number;
  /** The heartbeat as JSON, in the worker's format. */
  status: string;
}

/** The leader's answer to a forwarded heartbeat. */
export interface ForwardedHeartbeatAnswer {
  node: string;
  id: number;
  /** HTTP status of the response to the worker. */
  status: number;
  /** JSON body of the response to the worker. */
  body: string;
}

/** Records that the sender's transactions have just changed; peers receive them sooner than through their watches. */
export interface RecordDelta {
  changes: SerializedChange[];
}

/** Requests all changes after the revision up to which the sender's replica is complete, while the store can't be read. */
export interface DeltaRequest {
  node: string;
  /** The revision up to which the sender's replica is complete. */
  fromRevision: Count;
  /** The revision up to which the sender already has the receiver's later changes, since an answer may take several messages. */
  afterRevision: Count;
}

/** The changes in the sender's replica after the requested revision, as many as fit in one message. */
export interface ReplicaDelta {
  node: string;
  incarnation: number;
  version: number;
  fromRevision: Count;
  afterRevision: Count;
  /** The revision of the last change. */
  lastRevision: Count;
  /** False if there are more changes after `lastRevision`. */
  isComplete: boolean;
  /** A replica complete up to `fromRevision` is complete up to this revision once it has applied all the changes. */
  completeRevision: Count;
  changes: SerializedChange[];
}

/** Any message between controllers, discriminated by `kind`. */
export type Message =
  | { kind: 'gossip'; payload: Gossip }
  | { kind: 'forwarded_heartbeat'; payload: ForwardedHeartbeat }
  | { kind: 'forwarded_heartbeat_answer'; payload: ForwardedHeartbeatAnswer }
  | { kind: 'record_delta'; payload: RecordDelta }
  | { kind: 'delta_request'; payload: DeltaRequest }
  | { kind: 'replica_delta'; payload: ReplicaDelta }
  /** Sent only to peers whose record in the store announces support for it. */
  | { kind: 'standby_stream'; payload: StreamMessage };
