/** The cloud's list of this cluster's machines, as last read. */
import type { CloudClient } from '../cloud/cloud-client.js';
import type { ListedMachine } from '../cloud/cloud-wire-codec.js';

/** Reads the list and keeps the last one that was readable. The list lags behind what the cloud has done. */
export class MachineListReader {
  private listed = new Map<string, ListedMachine>();

  constructor(private readonly cloud: CloudClient) {}

  /** By machine id; empty until the first successful read. */
  get machines(): ReadonlyMap<string, ListedMachine> {
    return this.listed;
  }

  /** Replaces the list; a read that failed leaves it as it is. */
  async read(): Promise<void> {
    const list = await this.cloud.list();
    if (list === undefined) return;
    this.listed = new Map(list.map((machine) => [machine.machineId, machine]));
  }

  /** Removes a machine that is known to be terminated before the list shows it. */
  remove(machineId: string): void {
    this.listed.delete(machineId);
  }
}
