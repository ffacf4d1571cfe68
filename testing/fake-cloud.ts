/** An in-memory fake of the cloud. */
import type { ListedMachine, ScaleOutRequest } from '../src/cloud/cloud-wire-codec.js';
import type { HttpResponse } from '../src/net/http-client.js';
import {
  type CatalogEntry,
  decodeScaleInRequest,
  decodeScaleOutRequest,
  encodeCatalog,
  encodeMachineList,
  encodeRentedMachines,
} from './fake-cloud-wire-codec.js';

/** A machine as the cloud lists it, without its id and endpoint. */
export type CloudMachine = Pick<ListedMachine, 'machineType' | 'zone' | 'isSpot' | 'state' | 'ageS'>;

/** Machine types, scale-out by idempotency key, scale-in, and a list of machines without lag. */
export class FakeCloud {
  /** Machines by the idempotency key of the scale-out request that they were rented with. */
  readonly rentals = new Map<string, string[]>();
  /** Machines that were returned, oldest first. */
  readonly returnedMachineIds: string[] = [];
  readonly machines = new Map<string, CloudMachine>();
  /** Zones without capacity. */
  readonly fullZones = new Set<string>();
  private nextMachine = 100;
  /** Called when a machine has been rented. */
  onRent: (machineId: string) => void = () => undefined;
  /** Called when a machine has been returned. */
  onReturn: (machineId: string) => void = () => undefined;

  constructor(readonly machineTypes: readonly CatalogEntry[]) {}

  machineType(name: string): CatalogEntry | undefined {
    return this.machineTypes.find((each) => each.name === name);
  }

  /** Answers a request. */
  handle(method: string, path: string, body: unknown): HttpResponse {
    if (path === '/machine_types') return { status: 200, body: encodeCatalog(this.machineTypes) };
    if (path === '/rentals/return') return this.scaleIn(decodeScaleInRequest(body));
    if (method === 'GET') return this.listMachines();
    return this.scaleOut(decodeScaleOutRequest(body));
  }

  private scaleIn(machineIds: readonly string[]): HttpResponse {
    for (const machineId of machineIds) {
      this.machines.delete(machineId);
      this.returnedMachineIds.push(machineId);
      this.onReturn(machineId);
    }
    return { status: 200, body: {} };
  }

  private listMachines(): HttpResponse {
    const machines = [...this.machines]
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([machineId, machine]) => ({ machineId, endpoint: `${machineId}:9000`, ...machine }));
    return { status: 200, body: encodeMachineList(machines) };
  }

  private scaleOut({ rentalId, machineType, zone, isSpot, count }: ScaleOutRequest): HttpResponse {
    const rented = this.rentals.get(rentalId);
    if (rented !== undefined) return { status: 200, body: encodeRentedMachines(rented) };
    if (this.fullZones.has(zone)) return { status: 503, body: { error: 'no capacity' } };
    const machineIds = Array.from({ length: count }, () => `i-${String(this.nextMachine++).padStart(6, '0')}`);
    this.rentals.set(rentalId, machineIds);
    for (const machineId of machineIds) {
      this.machines.set(machineId, { machineType, zone, isSpot, state: 'starting', ageS: 0 });
      this.onRent(machineId);
    }
    return { status: 200, body: encodeRentedMachines(machineIds) };
  }
}
