/** What is known of a machine, whichever node states it: shared by heartbeats, gossip and placement. */

/** How a machine identifies itself in each of its heartbeats. */
export interface MachineIdentity {
  machineId: string;
  /** 'host:port' where its agent takes commands. */
  endpoint: string;
  /** The name of its type in the cloud's catalogue. */
  machineType: string;
  zone: string;
  isSpot: boolean;
  /** The epoch of the machine's agent: it grows with each lease that expires. */
  agentEpoch: number;
  /** The sequence number of the newest heartbeat received: those with older numbers are late copies. */
  sequence: number;
}

/** What the leader of a machine's partition states of it. */
export interface MachineState extends MachineIdentity {
  /** Tasks of several jobs have failed on it. */
  isQuarantined: boolean;
  /** It refused a start, and gets no other one for a while. */
  isBackingOff: boolean;
  /** Nothing shows that responses reach it. */
  isUnreached: boolean;
  /** Its tasks run longer than they do elsewhere. */
  isSlow: boolean;
  /** Its heartbeats arrive, but responses have not reached it for a lease. */
  isMute: boolean;
  /** Images in its cache. */
  images: string[];
  /** Ids of the jobs whose tasks have lately failed on it. */
  failedJobs: string[];
  /** The node that states this, as the leader of the machine's partition. */
  partitionLeader: string;
}

/** A machine as each node may know it: from its own workers' heartbeats or from the leader's gossip. */
export interface MachineInfo extends MachineState {
  /** When its last heartbeat arrived, monotonic ms of this node's clock. */
  lastHeartbeatAt: number;
  /** When the cloud takes the spot machine away, monotonic ms of this node's clock; null: no notice was given. */
  spotTerminationAt: number | null;
}

/** A machine of which its leader has stated no more than the last heartbeat. */
export interface MachineRefresh {
  machineId: string;
  partitionLeader: string;
  /** Monotonic ms of this node's clock. */
  lastHeartbeatAt: number;
  sequence: number;
}
