/** What nodes know about a machine; shared by heartbeats, gossip and placement. */
import type { Count } from './count.js';

/** How a machine identifies itself in each of its heartbeats. */
export interface MachineIdentity {
  machineId: string;
  /** 'host:port' where its agent takes commands. */
  endpoint: string;
  /** The name of its type in the cloud's catalog. */
  machineType: string;
  zone: string;
  isSpot: boolean;
  /** The epoch of the machine's agent: it grows with each lease that expires. */
  agentEpoch: Count;
  /** The sequence number of the newest heartbeat received: heartbeats with lower numbers are late copies. */
  sequence: Count;
}

/** The state of a machine as reported by the leader of its partition. */
export interface MachineState extends MachineIdentity {
  /** Tasks of several jobs have failed on it. */
  isQuarantined: boolean;
  /** It refused a start, and gets no others for a while. */
  isBackingOff: boolean;
  /** There is no evidence that responses reach it. */
  isUnreached: boolean;
  /** Its tasks run longer than those of other machines. */
  isSlow: boolean;
  /** Its heartbeats arrive, but responses have not reached it for the duration of a lease. */
  isMute: boolean;
  /** Names of the images in its cache. */
  images: string[];
  /** Ids of the jobs whose tasks have recently failed on it. */
  failedJobs: string[];
  /** The node that reports this state, as the leader of the machine's partition. */
  partitionLeader: string;
}

/** A machine as known to a node, either from the heartbeats of its own workers or from the leader's gossip. */
export interface MachineInfo extends MachineState {
  /** Arrival of its last heartbeat, monotonic ms of this node's clock. */
  lastHeartbeatAt: number;
  /** When the cloud terminates the spot machine, monotonic ms of this node's clock; null: no notice was given. */
  spotTerminationAt: number | null;
}

/** A report of a machine whose state is unchanged except for a newer heartbeat. */
export interface MachineRefresh {
  machineId: string;
  partitionLeader: string;
  /** Monotonic ms of this node's clock. */
  lastHeartbeatAt: number;
  sequence: Count;
}
