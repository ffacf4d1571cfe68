/** What is said of a machine whatever the speaker's clock: shared by reports, gossip and placement. */

/** How a machine presents itself, in each of its reports. */
export interface MachineIdentity {
  host: string;
  endpoint: string;
  flavor: string;
  site: string;
  reclaimable: boolean;
  /** The worker's session: it grows with each lease that runs out. */
  tenure: number;
  /** The sequence number of the newest report heard: older ones are late copies. */
  tick: number;
}

/** What the owner of a machine's partition says of it. */
export interface MachineState extends MachineIdentity {
  sick: boolean;
  cooling: boolean;
  /** Nothing shows that answers reach it. */
  unreached: boolean;
  slow: boolean;
  /** Its reports arrive, but answers have not reached it for a lease. */
  mute: boolean;
  images: string[];
  failedJobs: string[];
  /** The node that says so, as the owner of the machine's partition. */
  owner: string;
}
