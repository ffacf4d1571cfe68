/** Updates the catalog of machine types from the records: every node needs it for placement, but only the cluster leader queries the cloud. */
import { decodeMachineType } from '../cloud/cloud-wire-codec.js';
import type { MachineType } from '../domain/machine-type.js';
import type { Log } from '../logging/log.js';
import { MACHINE_TYPE_PREFIX } from '../records/record-keys.js';
import type { Replica } from '../store/replica.js';

/** Copies each changed machine type into the catalog. `catalog` is called for each change, since the map may be created later. */
export function followCatalog(replica: Replica, catalog: () => Map<string, MachineType>, log: Log): void {
  replica.onChange((key, { value }) => {
    if (!key.startsWith(MACHINE_TYPE_PREFIX) || value === undefined) return;
    const machineType = decodeMachineType(value);
    if (machineType === undefined) log.error({ key }, 'record unreadable');
    else catalog().set(machineType.name, machineType);
  });
}
