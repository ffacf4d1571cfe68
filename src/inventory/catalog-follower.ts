/** Keeps the catalogue of machine types as the records have it: every node places by it, and only the leader asks the cloud. */
import { decodeMachineType } from '../cloud/cloud-wire-codec.js';
import type { MachineType } from '../domain/machine-type.js';
import { MACHINE_TYPE_PREFIX } from '../records/record-keys.js';
import type { Replica } from '../store/replica.js';
import type { Log } from '../logging/log.js';

export function followCatalog(replica: Replica, catalog: () => Map<string, MachineType>, log: Log): void {
  replica.onChange((key, { value }) => {
    if (!key.startsWith(MACHINE_TYPE_PREFIX) || value === undefined) return;
    const machineType = decodeMachineType(value);
    if (machineType === undefined) log.error({ key }, 'record can not be read');
    else catalog().set(machineType.name, machineType);
  });
}
