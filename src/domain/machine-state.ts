/** What is said of a machine whatever the speaker's clock: shared by reports, gossip and placement. */

/** How a machine presents itself, in each of its reports. */
export interface MachineIdentity {
  machineId: string;
  endpoint: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  /** The worker's session: it grows with each lease that runs out. */
  agentEpoch: number;
  /** The sequence number of the newest report heard: older ones are late copies. */
  sequence: number;
}

/** What the owner of a machine's partition says of it. */
export interface MachineState extends MachineIdentity {
  isQuarantined: boolean;
  isBackingOff: boolean;
  /** Nothing shows that answers reach it. */
  isUnreached: boolean;
  isSlow: boolean;
  /** Its reports arrive, but answers have not reached it for a lease. */
  isMute: boolean;
  images: string[];
  failedJobs: string[];
  /** The node that says so, as the owner of the machine's partition. */
  partitionLeader: string;
}

/** A machine as every node may know it: from its own workers' reports or from the owner's gossip. */
export interface MachineInfo extends MachineState {
  /** Steady ms, this node's clock. */
  heardAt: number;
  /** Steady ms when the cloud takes it away, or null. */
  spotNoticeUntil: number | null;
}
