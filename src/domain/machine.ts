/** Machines, as far as it matters which tasks may run on them. */

/** What the rules need to know of a machine. */
export interface Machine {
  machineId: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  agentEpoch: number;
}
