/** Finds the machines that were requested and are expected to come up. */
import type { ListedMachine } from '../cloud/cloud-wire-codec.js';
import type { MachineType } from '../domain/machine-type.js';
import type { RentalRecord } from '../records/records.js';
import type { MachineOffer } from './scale-out-decision.js';

/** Multiple of the boot time after which a machine no longer counts; it is kept a while in case it still comes up. */
const EXPECTED_BOOT_TIME_FACTOR = 2;

/** The snapshot that booting machines are derived from. */
export interface BootingMachinesInput {
  rentals: readonly RentalRecord[];
  listedMachines: Iterable<ListedMachine>;
  catalog: ReadonlyMap<string, MachineType>;
  /** Whether the machine has come up or been terminated. */
  isUpOrTerminated: (machineId: string) => boolean;
  /** Current wall-clock time. */
  wallMs: number;
}

interface ExpectedMachine {
  machineId: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  /** ms since its request. */
  ageMs: number;
}

/** Counts each machine once, although both its rental and the cloud's list may contain it. */
export function findBootingMachines(input: BootingMachinesInput): MachineOffer[] {
  const { catalog, isUpOrTerminated } = input;
  const booting: MachineOffer[] = [];
  const countedMachineIds = new Set<string>();
  for (const { machineId, machineType: name, zone, isSpot, ageMs } of expectedMachines(input)) {
    const machineType = catalog.get(name);
    if (machineType === undefined || countedMachineIds.has(machineId) || isUpOrTerminated(machineId)) continue;
    if (ageMs > machineType.bootS * 1000 * EXPECTED_BOOT_TIME_FACTOR) continue;
    countedMachineIds.add(machineId);
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
