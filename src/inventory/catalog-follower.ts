/** Keeps the catalogue of machine types as the records have it: every node places tasks by it, but only the leader asks the cloud. */
import { decodeMachineType } from '../cloud/cloud-wire-codec.js';
import type { MachineType } from '../domain/machine-type.js';
import type { Log } from '../logging/log.js';
import { MACHINE_TYPE_PREFIX } from '../records/record-keys.js';
import type { Replica } from '../store/replica.js';

/** Copies each changed machine type into the catalogue, which is asked for anew each time since it may be created later. */
export function followCatalog(replica: Replica, catalog: () => Map<string, MachineType>, log: Log): void {
  replica.onChange((key, { value }) => {
    if (!key.startsWith(MACHINE_TYPE_PREFIX) || value === undefined) return;
    const machineType = decodeMachineType(value);
    if (machineType === undefined) log.error({ key }, 'record unreadable');
    else catalog().set(machineType.name, machineType);
  });
}
