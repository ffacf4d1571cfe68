/** The cloud's list of this cluster's machines, as of the last successful read. */
import type { CloudClient } from '../cloud/cloud-client.js';
import type { ListedMachine } from '../cloud/cloud-wire-codec.js';

/** Reads the list and keeps the last one read successfully. The list lags behind the cloud's actual state. */
export class MachineListReader {
  private listed = new Map<string, ListedMachine>();

  constructor(private readonly cloud: CloudClient) {}

  /** By machine id; empty until the first successful read. */
  get machines(): ReadonlyMap<string, ListedMachine> {
    return this.listed;
  }

  /** Reads the list; after a failed read, the previous list is kept. */
  async read(): Promise<void> {
    const list = await this.cloud.list();
    if (list === undefined) return;
    this.listed = new Map(list.map((machine) => [machine.machineId, machine]));
  }

  /** Removes a terminated machine, which the list may still contain for a while. */
  remove(machineId: string): void {
    this.listed.delete(machineId);
  }
}
