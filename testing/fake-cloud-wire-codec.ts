/** The cloud's side of its wire format: decodes requests and encodes answers. */
import type { ListedMachine, ScaleOutRequest } from '../src/cloud/cloud-wire-codec.js';
import type { MachineType } from '../src/domain/machine-type.js';

/** A machine type in the catalog; fields with a default may be absent. */
export type CatalogEntry = Partial<MachineType>;

/** Wire names of the fields; entries are encoded in their own field order. */
const WIRE_NAMES: Record<keyof MachineType, string> = {
  name: 'Sku',
  cpus: 'Cpus',
  gpus: 'Cards',
  memoryGb: 'MemGb',
  imageCacheGb: 'LocalGb',
  fetchGbPerS: 'FetchGbPerS',
  hourlyPrice: 'Hourly',
  spotHourlyPrice: 'LowPrice',
  bootS: 'BootS',
  zones: 'Sites',
};

const encodeMachineType = (entry: CatalogEntry): object =>
  Object.fromEntries(Object.entries(entry).map(([name, value]) => [WIRE_NAMES[name as keyof MachineType], value]));

export const encodeCatalog = (entries: readonly CatalogEntry[]): unknown => ({
  Flavors: entries.map(encodeMachineType),
});

interface WireScaleOutRequest {
  Hire: string;
  Flavor: string;
  Site: string;
  Reclaimable: boolean;
  HowMany: number;
}

export function decodeScaleOutRequest(body: unknown): ScaleOutRequest {
  const wire = body as WireScaleOutRequest;
  return {
    rentalId: wire.Hire,
    machineType: wire.Flavor,
    zone: wire.Site,
    isSpot: wire.Reclaimable,
    count: wire.HowMany,
  };
}

/** The machines that a scale-in request gives back. */
export const decodeScaleInRequest = (body: unknown): string[] => (body as { Hosts: string[] }).Hosts;

/** The answer to a scale-out request: the machines that were rented. */
export const encodeRentedMachines = (machineIds: readonly string[]): unknown => ({ Hosts: machineIds });

/** The list of machines, on a single page. */
export const encodeMachineList = (machines: readonly ListedMachine[]): unknown => ({
  Hosts: machines.map(({ machineId, endpoint, machineType, zone, isSpot, state, ageS }) => ({
    Ref: machineId,
    Endpoint: endpoint,
    Flavor: machineType,
    Site: zone,
    Reclaimable: isSpot,
    Phase: state,
    HeldS: ageS,
  })),
  HasNext: false,
});
