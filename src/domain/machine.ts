/** Machines, as far as it matters which tasks may run on them. */

/** What the placement rules need to know of a machine. */
export interface Machine {
  machineId: string;
  /** The name of its type in the cloud's catalogue. */
  machineType: string;
  zone: string;
  isSpot: boolean;
  /** The epoch of the machine's agent: it grows with each lease that expires. */
  agentEpoch: number;
}
