import type { StreamMessage } from '@dewlatch/standby';
import type { SerializedChange } from '../store/replica.js';
import type { MachineState } from '../domain/machine-state.js';

/** What each controller tells the others every second. */
export interface Gossip {
  node: string;
  /** ms since the node read the store for the first time; 0: not yet. */
  upMs: number;
  /** ms since the store last confirmed the node's copy; the sender's clock. */
  freshAgeMs: number;
  /** The store refuses, or doesn't answer, this node. */
  isWithoutStore: boolean;
  /** The sender's steady clock, ms, and the receiver's as it last told it, with the life that told it. */
  clock: number;
  echo: { incarnation: number; clock: number } | null;
  /** The sender's process has read the store. */
  isLoaded: boolean;
  /** How many changes the sender's copy has taken in. */
  version: number;
  /** Nodes that the sender hears just now: what they own need not be passed on to it. */
  reachablePeers: string[];
  /** Tells the sender's process from its former lives; messages to one peer are counted. */
  incarnation: number;
  messageNumber: number;
  /** Nothing that was told before is needed to understand this. */
  isSnapshot: boolean;
  /** The sender has missed something that the receiver told it, and wants to be told all. */
  wantsSnapshot: boolean;
  /** What has changed. */
  machines: MachineUpdate[];
  /** Machines of the sender's of which nothing has changed since it was told, but that they were heard. */
  unchanged: { numbers: number[]; heardAgesMs: number[]; sequences: number[] };
  /** Workers that asked, here or at a node heard of, though another node owns them. */
  misroutedHeartbeats: { machineId: string; ageMs: number }[];
  /** Roles that the node does not want for now, since the workers can't reach it. */
  avoidedRoles: string[];
  /** Machines that the cloud has lately confirmed gone. */
  terminated: string[];
}

export interface MachineUpdate extends MachineState {
  /** By which the sender speaks of it from now on; -1: not at all. */
  number: number;
  heardAgeMs: number;
  /** ms since the machine's owner said this; 0 from the owner itself. */
  knownAgeMs: number;
  /** ms until the cloud takes it, or null. */
  spotNoticeMs: number | null;
}

/** A worker's report that came to a node which does not own it, on behalf of a worker that can't reach its owner. */
export interface ForwardedHeartbeat {
  node: string;
  id: number;
  /** The report, JSON as the worker sent it. */
  status: string;
}

/** The owner's answer to a relayed report. */
export interface ForwardedHeartbeatAnswer {
  node: string;
  id: number;
  status: number;
  /** JSON for the worker. */
  body: string;
}

/** Records as a transaction of the sender's has just left them in the store: known sooner than by a watch. */
export interface RecordDelta {
  changes: SerializedChange[];
}

/** Asks for all that has changed since the sender's copy was complete, when the store can't be asked. */
export interface DeltaRequest {
  node: string;
  /** The revision up to which the sender's copy is complete. */
  from: number;
  /** The revision up to which it has been told what the receiver holds since: more than one message may be needed. */
  after: number;
}

/** What the sender's copy holds since the revision that was asked for. */
export interface ReplicaDelta {
  node: string;
  incarnation: number;
  version: number;
  from: number;
  after: number;
  /** The revision of the last change. */
  last: number;
  /** False: there is more after `last`. */
  isComplete: boolean;
  /** With all of it, a copy that was complete up to `from` is complete up to here. */
  upTo: number;
  changes: SerializedChange[];
}

export type Message =
  | { gossip: Gossip }
  | { relay: ForwardedHeartbeat }
  | { relayAnswer: ForwardedHeartbeatAnswer }
  | { news: RecordDelta }
  | { ask: DeltaRequest }
  | { delta: ReplicaDelta }
  /** Only to peers that have said in the store that they read it. */
  | { stream: StreamMessage };
