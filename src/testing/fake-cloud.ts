import type { Reply } from '../net/http-client.js';

/** A stand-in of the cloud: a catalogue, rentals by name, returns. */
export class FakeCloud {
  readonly hires = new Map<string, string[]>();
  readonly returned: string[] = [];
  readonly machines = new Map<
    string,
    { Flavor: string; Site: string; Reclaimable: boolean; Phase: string; HeldS: number }
  >();
  readonly full = new Set<string>();
  private next = 100;
  /** Called when a machine has been rented. */
  onHire: (host: string) => void = () => undefined;
  /** Called when a machine has been returned. */
  onReturn: (host: string) => void = () => undefined;

  constructor(readonly flavors: Record<string, unknown>[]) {}

  flavor(sku: string): Record<string, unknown> | undefined {
    return this.flavors.find((each) => each['Sku'] === sku);
  }

  handle(method: string, path: string, body: unknown): Reply {
    if (path === '/machine_types') return { status: 200, body: { Flavors: this.flavors } };
    if (path === '/rentals/return') {
      for (const host of (body as { Hosts: string[] }).Hosts) {
        this.machines.delete(host);
        this.returned.push(host);
        this.onReturn(host);
      }
      return { status: 200, body: {} };
    }
    if (method === 'GET') {
      const Hosts = [...this.machines]
        .sort(([a], [b]) => (a < b ? -1 : 1))
        .map(([Ref, machine]) => ({ Ref, Endpoint: `${Ref}:9000`, ...machine }));
      return { status: 200, body: { Hosts, HasNext: false } };
    }
    const hire = body as { Hire: string; Flavor: string; Site: string; Reclaimable: boolean; HowMany: number };
    const known = this.hires.get(hire.Hire);
    if (known !== undefined) return { status: 200, body: { Hosts: known } };
    if (this.full.has(hire.Site)) return { status: 503, body: { error: 'no capacity' } };
    const hosts = Array.from({ length: hire.HowMany }, () => `i-${String(this.next++).padStart(6, '0')}`);
    this.hires.set(hire.Hire, hosts);
    for (const host of hosts) {
      const { Flavor, Site, Reclaimable } = hire;
      this.machines.set(host, { Flavor, Site, Reclaimable, Phase: 'starting', HeldS: 0 });
      this.onHire(host);
    }
    return { status: 200, body: { Hosts: hosts } };
  }
}
