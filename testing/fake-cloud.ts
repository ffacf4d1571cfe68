import type { Reply } from '../src/net/http-client.js';

/** A stand-in of the cloud: a catalogue, rentals by name, returns. */
export class FakeCloud {
  readonly rentals = new Map<string, string[]>();
  readonly returned: string[] = [];
  readonly machines = new Map<
    string,
    { Flavor: string; Site: string; Reclaimable: boolean; Phase: string; HeldS: number }
  >();
  readonly full = new Set<string>();
  private next = 100;
  /** Called when a machine has been rented. */
  onHire: (machineId: string) => void = () => undefined;
  /** Called when a machine has been returned. */
  onReturn: (machineId: string) => void = () => undefined;

  constructor(readonly machineTypes: Record<string, unknown>[]) {}

  machineType(sku: string): Record<string, unknown> | undefined {
    return this.machineTypes.find((each) => each['Sku'] === sku);
  }

  handle(method: string, path: string, body: unknown): Reply {
    if (path === '/machine_types') return { status: 200, body: { Flavors: this.machineTypes } };
    if (path === '/rentals/return') {
      for (const machineId of (body as { Hosts: string[] }).Hosts) {
        this.machines.delete(machineId);
        this.returned.push(machineId);
        this.onReturn(machineId);
      }
      return { status: 200, body: {} };
    }
    if (method === 'GET') {
      const Hosts = [...this.machines]
        .sort(([a], [b]) => (a < b ? -1 : 1))
        .map(([Ref, machine]) => ({ Ref, Endpoint: `${Ref}:9000`, ...machine }));
      return { status: 200, body: { Hosts, HasNext: false } };
    }
    const rental = body as { Hire: string; Flavor: string; Site: string; Reclaimable: boolean; HowMany: number };
    const known = this.rentals.get(rental.Hire);
    if (known !== undefined) return { status: 200, body: { Hosts: known } };
    if (this.full.has(rental.Site)) return { status: 503, body: { error: 'no capacity' } };
    const machineIds = Array.from({ length: rental.HowMany }, () => `i-${String(this.next++).padStart(6, '0')}`);
    this.rentals.set(rental.Hire, machineIds);
    for (const machineId of machineIds) {
      const { Flavor, Site, Reclaimable } = rental;
      this.machines.set(machineId, { Flavor, Site, Reclaimable, Phase: 'starting', HeldS: 0 });
      this.onHire(machineId);
    }
    return { status: 200, body: { Hosts: machineIds } };
  }
}
