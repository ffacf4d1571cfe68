/**
 * The messages that controllers send each other. Plain types: how they are encoded is the message codec's concern. Instants never
 * travel, since the clocks of two nodes are unrelated: the messages carry ages in ms, which each side converts.
 */
import type { StreamMessage } from '@dewlatch/standby';

import type { MachineState } from '../domain/machine-state.js';
import type { SerializedChange } from '../store/replica.js';

/** The periodic state of one controller, sent to each of its peers. */
export interface Gossip {
  /** The sender. */
  node: string;
  /** ms since the sender first read the store; 0: not yet. */
  uptimeMs: number;
  /** ms since the store last confirmed the sender's replica, on the sender's clock. */
  replicaAgeMs: number;
  /** The store refuses the sender's requests, or doesn't answer them. */
  isWithoutStore: boolean;
  /** The sender's monotonic clock, ms. */
  clockMs: number;
  /** The receiver's monotonic clock as the sender last received it, ms, with the incarnation that it came from; null: never. */
  echo: { incarnation: number; clockMs: number } | null;
  /** The sender's process has read the store. */
  isLoaded: boolean;
  /** How many changes the sender's replica has applied. */
  version: number;
  /** Peers that the sender currently receives gossip from: their machines need not be relayed to it. */
  reachablePeers: string[];
  /** Distinguishes the sender's process from its earlier incarnations. */
  incarnation: number;
  /** Counts the messages of this incarnation to this receiver. */
  messageNumber: number;
  /** The machine updates are complete: no earlier message is needed to understand them. */
  isSnapshot: boolean;
  /** The sender has missed a message of the receiver's, and asks for a snapshot. */
  wantsSnapshot: boolean;
  /** Machines whose state has changed since the last message. */
  machines: MachineUpdate[];
  /** The sender's machines that have sent heartbeats but are otherwise unchanged: three columns of one length. */
  unchanged: UnchangedMachineColumns;
  /** Heartbeats received, here or at a node whose gossip was received, by nodes that do not lead the worker's partition. */
  misroutedHeartbeats: MisroutedHeartbeat[];
  /** Roles that the sender does not want for now, since their workers can't reach it. */
  avoidedRoles: string[];
  /** Machines that the cloud has lately confirmed terminated. */
  terminatedMachines: string[];
}

/** What a partition's leader knows of one of its machines. */
export interface MachineUpdate extends MachineState {
  /** The short number by which the sender refers to the machine in later messages; -1: it does not. */
  number: number;
  /** ms since the machine's last heartbeat. */
  heartbeatAgeMs: number;
  /** ms since the partition's leader stated this; 0 from the leader itself. */
  stateAgeMs: number;
  /** ms until the cloud takes the spot machine away; null: no notice was given. */
  spotNoticeMs: number | null;
}

/** Column by column: the same index in each array is the same machine. */
export interface UnchangedMachineColumns {
  /** As the sender assigned them in the machine's last full update. */
  numbers: number[];
  /** ms since each machine's last heartbeat, rounded. */
  heartbeatAgesMs: number[];
  /** Of each machine's last heartbeat. */
  sequences: number[];
}

/** A worker that sent its heartbeat to a node which does not lead its partition. */
export interface MisroutedHeartbeat {
  machineId: string;
  /** ms since the heartbeat. */
  ageMs: number;
}

/** A worker's heartbeat passed on to the leader of its partition, on behalf of a worker that can't reach the leader itself. */
export interface ForwardedHeartbeat {
  /** The node that forwards it, and gets the answer. */
  node: string;
  /** Pairs the answer with the request. */
  id: number;
  /** The heartbeat, JSON as the worker sent it. */
  status: string;
}

/** The leader's answer to a forwarded heartbeat. */
export interface ForwardedHeartbeatAnswer {
  node: string;
  id: number;
  /** HTTP status for the worker. */
  status: number;
  /** JSON for the worker. */
  body: string;
}

/** Records as a transaction of the sender's has just left them in the store: they arrive sooner than by a watch. */
export interface RecordDelta {
  changes: SerializedChange[];
}

/** Asks for every change since the sender's replica was complete, when the store can't be asked. */
export interface DeltaRequest {
  node: string;
  /** The revision up to which the sender's replica is complete. */
  fromRevision: number;
  /** The revision up to which it already has the receiver's changes since: one answer may need several messages. */
  afterRevision: number;
}

/** What the sender's replica holds since the revision that was asked for. */
export interface ReplicaDelta {
  node: string;
  incarnation: number;
  version: number;
  fromRevision: number;
  afterRevision: number;
  /** The revision of the last change. */
  lastRevision: number;
  /** False: there are more changes after `last`. */
  isComplete: boolean;
  /** With all the changes, a replica that was complete up to `from` is complete up to here. */
  completeRevision: number;
  changes: SerializedChange[];
}

/** Every message between controllers, distinguished by its kind. */
export type Message =
  | { kind: 'gossip'; payload: Gossip }
  | { kind: 'forwarded_heartbeat'; payload: ForwardedHeartbeat }
  | { kind: 'forwarded_heartbeat_answer'; payload: ForwardedHeartbeatAnswer }
  | { kind: 'record_delta'; payload: RecordDelta }
  | { kind: 'delta_request'; payload: DeltaRequest }
  | { kind: 'replica_delta'; payload: ReplicaDelta }
  /** Only to peers whose record in the store says that they understand it. */
  | { kind: 'standby_stream'; payload: StreamMessage };
