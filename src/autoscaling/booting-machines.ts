/** Which machines have been asked for and are expected to come up. */
import type { ListedMachine } from '../cloud/cloud-wire-codec.js';
import type { MachineType } from '../domain/machine-type.js';
import type { RentalRecord } from '../records/records.js';
import type { MachineOffer } from './scale-out-decision.js';

/** Times its boot time after which a machine is not counted on any more; it is kept a while in case it comes. */
const EXPECTED_BOOT_TIMES = 2;

/** The snapshot that booting machines are found in. */
export interface BootingMachinesInput {
  rentals: readonly RentalRecord[];
  listedMachines: Iterable<ListedMachine>;
  catalog: ReadonlyMap<string, MachineType>;
  /** Has the machine come up, or is it terminated? */
  isSettled: (machineId: string) => boolean;
  /** Time of day. */
  wallMs: number;
}

interface ExpectedMachine {
  machineId: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  /** ms since it was asked for. */
  ageMs: number;
}

/** Each machine counts once, though both its rental and the cloud's list may show it. */
export function findBootingMachines(input: BootingMachinesInput): MachineOffer[] {
  const { catalog, isSettled } = input;
  const booting: MachineOffer[] = [];
  const counted = new Set<string>();
  for (const { machineId, machineType: name, zone, isSpot, ageMs } of expectedMachines(input)) {
    const machineType = catalog.get(name);
    if (machineType === undefined || counted.has(machineId) || isSettled(machineId)) continue;
    if (ageMs > machineType.bootS * 1000 * EXPECTED_BOOT_TIMES) continue;
    counted.add(machineId);
    booting.push({ machineType, zone, isSpot });
  }
  return booting;
}

function* expectedMachines({ rentals, listedMachines, wallMs }: BootingMachinesInput): Iterable<ExpectedMachine> {
  for (const { machineIds, machineType, zone, isSpot, requestedAtMs } of rentals) {
    const ageMs = wallMs - requestedAtMs;
    for (const machineId of machineIds ?? []) yield { machineId, machineType, zone, isSpot, ageMs };
  }
  for (const { machineId, machineType, zone, isSpot, state, ageS } of listedMachines) {
    if (state !== 'failed') yield { machineId, machineType, zone, isSpot, ageMs: ageS * 1000 };
  }
}
