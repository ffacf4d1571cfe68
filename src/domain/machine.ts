/** The properties of machines that determine which tasks may run on them. */
import type { Count } from './count.js';

/** A machine as seen by the placement rules. */
export interface Machine {
  machineId: string;
  /** The name of its type in the cloud's catalog. */
  machineType: string;
  zone: string;
  isSpot: boolean;
  /** The epoch of the machine's agent: it grows with each lease that expires. */
  agentEpoch: Count;
}
