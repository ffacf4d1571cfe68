/** Encodes and decodes the cloud's wire format of machine types, rentals and the list of machines. */
import * as v from 'valibot';

import { MachineType } from '../domain/machine-type.js';

/** A machine in the cloud's list, which lags behind the cloud's actual state. */
export interface ListedMachine {
  machineId: string;
  endpoint: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  state: 'starting' | 'running' | 'failed';
  /** s between the rental request and the time that the list describes. */
  ageS: number;
}

/** A request for machines, retried with the same id until it is answered; the cloud answers all retries alike. */
export interface ScaleOutRequest {
  /** Idempotency key: never reused for a different request. */
  rentalId: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  count: number;
}

/** A machine type in the cloud's wire format, in which it is also stored. */
export type StoredMachineType = Readonly<Record<string, unknown>>;

const DEFAULT_FETCH_GB_PER_S = 1;
const DEFAULT_BOOT_S = 60;

const WireMachineTypeSchema = v.object({
  Sku: v.string(),
  Cpus: v.number(),
  Cards: v.optional(v.nullable(v.number()), 0),
  MemGb: v.number(),
  LocalGb: v.optional(v.nullable(v.number()), 0),
  FetchGbPerS: v.optional(v.nullable(v.number()), DEFAULT_FETCH_GB_PER_S),
  Hourly: v.optional(v.nullable(v.number()), 0),
  LowPrice: v.optional(v.nullable(v.number()), 0),
  BootS: v.optional(v.nullable(v.number()), DEFAULT_BOOT_S),
  Sites: v.optional(v.nullable(v.array(v.string())), []),
});
const WireCatalogSchema = v.object({ Flavors: v.array(WireMachineTypeSchema) });

/** The catalog by machine type name; undefined: the body is unreadable. */
export function decodeCatalog(body: unknown): Map<string, MachineType> | undefined {
  const result = v.safeParse(WireCatalogSchema, body);
  if (!result.success) return undefined;
  const catalog = new Map<string, MachineType>();
  for (const wire of result.output.Flavors) {
    catalog.set(wire.Sku, {
      name: wire.Sku,
      cpus: wire.Cpus,
      gpus: wire.Cards ?? 0,
      memoryGb: wire.MemGb,
      imageCacheGb: wire.LocalGb ?? 0,
      fetchGbPerS: wire.FetchGbPerS ?? DEFAULT_FETCH_GB_PER_S,
      hourlyPrice: wire.Hourly ?? 0,
      spotHourlyPrice: wire.LowPrice ?? 0,
      bootS: wire.BootS ?? DEFAULT_BOOT_S,
      zones: wire.Sites ?? [],
    });
  }
  return catalog;
}

/** Decodes a machine type from its record in the store, which is in the cloud's wire format; undefined: unreadable. */
export const decodeMachineType = (wire: unknown): MachineType | undefined => {
  const [machineType] = decodeCatalog({ Flavors: [wire] })?.values() ?? [];
  return machineType;
};

/** The machine types of a readable catalog, each in its stored form. */
export const machineTypesOf = (body: unknown): StoredMachineType[] =>
  (body as { Flavors: StoredMachineType[] }).Flavors;

/** The body of a request for machines. */
export const encodeScaleOutRequest = (request: ScaleOutRequest): unknown => ({
  Hire: request.rentalId,
  Flavor: request.machineType,
  Site: request.zone,
  Reclaimable: request.isSpot,
  HowMany: request.count,
});

/** The body of a request to return machines. */
export const encodeScaleInRequest = (machineIds: readonly string[]): unknown => ({ Hosts: machineIds });

/** Ids of the machines granted to a scale-out request. */
export const decodeRentedMachines = (body: unknown): string[] =>
  (body as { Hosts?: string[] } | undefined)?.Hosts ?? [];

const NO_CAPACITY = 'no capacity';

/** Whether the body of a 503 states a lack of capacity for the offer, rather than another failure of the cloud. */
export const isNoCapacity = (body: unknown): boolean => (body as { error?: string } | undefined)?.error === NO_CAPACITY;

interface WireMachineList {
  Hosts: {
    Ref: string;
    Endpoint: string;
    Flavor: string;
    Site: string;
    Reclaimable?: boolean;
    Phase: string;
    HeldS: number;
  }[];
  HasNext?: boolean;
}

const stateOfPhase = (phase: string): ListedMachine['state'] =>
  phase === 'failed' || phase === 'starting' ? phase : 'running';

/** One page of the list; `hasMore`: the next page starts after its last machine. */
export function decodeMachineList(body: unknown): { machines: ListedMachine[]; hasMore: boolean } {
  const { Hosts, HasNext } = body as WireMachineList;
  const machines = Hosts.map((wire) => ({
    machineId: wire.Ref,
    endpoint: wire.Endpoint,
    machineType: wire.Flavor,
    zone: wire.Site,
    isSpot: wire.Reclaimable === true,
    state: stateOfPhase(wire.Phase),
    ageS: wire.HeldS,
  }));
  return { machines, hasMore: HasNext === true };
}
