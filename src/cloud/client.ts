import * as v from 'valibot';
import { CLOUD_BUSY_PAUSE_MS, CLOUD_TIMEOUT_MS } from '../constants.js';
import type { Flavor } from '../controller/fleet.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient, Reply } from '../net/http-client.js';
import { TokenBucket, type Priority } from '../net/token-bucket.js';

export interface ListedMachine {
  host: string;
  endpoint: string;
  flavor: string;
  site: string;
  reclaimable: boolean;
  phase: 'starting' | 'running' | 'failed';
  heldS: number;
}

const FlavorSchema = v.object({
  Sku: v.string(),
  Cpus: v.number(),
  Cards: v.optional(v.nullable(v.number()), 0),
  MemGb: v.number(),
  LocalGb: v.optional(v.nullable(v.number()), 0),
  FetchGbPerS: v.optional(v.nullable(v.number()), 1),
  Hourly: v.optional(v.nullable(v.number()), 0),
  LowPrice: v.optional(v.nullable(v.number()), 0),
  BootS: v.optional(v.nullable(v.number()), 60),
  Sites: v.optional(v.nullable(v.array(v.string())), []),
});
const CatalogSchema = v.object({ Flavors: v.array(FlavorSchema) });

/** The catalogue as the cloud gives it, and as it is kept in the store; undefined: unreadable. */
export function decodeCatalog(body: unknown): Map<string, Flavor> | undefined {
  const result = v.safeParse(CatalogSchema, body);
  if (!result.success) return undefined;
  const catalog = new Map<string, Flavor>();
  for (const raw of result.output.Flavors) {
    catalog.set(raw.Sku, {
      sku: raw.Sku,
      cpus: raw.Cpus,
      cards: raw.Cards ?? 0,
      memGb: raw.MemGb,
      localGb: raw.LocalGb ?? 0,
      fetchGbPerS: raw.FetchGbPerS ?? 1,
      hourly: raw.Hourly ?? 0,
      lowPrice: raw.LowPrice ?? 0,
      bootS: raw.BootS ?? 60,
      sites: raw.Sites ?? [],
    });
  }
  return catalog;
}

export interface Hire {
  name: string;
  flavor: string;
  site: string;
  reclaimable: boolean;
  count: number;
}

export type HireResult =
  | { kind: 'rented'; hosts: string[] }
  | { kind: 'no_capacity' }
  /** Refused for now (429, outage): the same request may be sent again. */
  | { kind: 'refused' }
  | { kind: 'malformed' }
  | { kind: 'unknown' };

/** The only place that knows the cloud's wire format; keeps its rate. */
export class CloudClient {
  private readonly bucket: TokenBucket;

  constructor(
    private readonly http: HttpClient,
    private readonly address: string,
    rps: number,
    clock: Clock,
    /**
     * May the call go out at this very moment? The cloud knows no token: what a leader decided before it stood still must not be
     * sent after somebody else has become leader.
     */
    private readonly maySend: (call: 'cloud_rent' | 'cloud_return') => boolean = () => true,
  ) {
    // Mostly one node, the leader, calls; the rest is left for a new leader and its predecessor.
    this.bucket = new TokenBucket(clock, rps * 0.7, Math.max(1, rps));
  }

  private async call(method: string, path: string, body: unknown, priority: Priority): Promise<Reply | undefined> {
    await this.bucket.take(1, priority);
    return this.send(method, path, body, priority);
  }

  /** A call that changes something. It is withheld if it may not go out any more when its turn has come. */
  private async change(
    call: 'cloud_rent' | 'cloud_return',
    path: string,
    body: unknown,
    priority: Priority,
  ): Promise<Reply | 'withheld' | undefined> {
    await this.bucket.take(1, priority);
    if (!this.maySend(call)) return 'withheld';
    return this.send('POST', path, body, priority);
  }

  private async send(method: string, path: string, body: unknown, priority: Priority): Promise<Reply | undefined> {
    try {
      const reply = await this.http.call(this.address, method, path, body, {
        timeoutMs: CLOUD_TIMEOUT_MS,
        connectMs: CLOUD_TIMEOUT_MS,
      });
      if (reply.status === 429) this.bucket.backOff(CLOUD_BUSY_PAUSE_MS, priority);
      return reply;
    } catch {
      return undefined;
    }
  }

  /** The catalogue's body, as it is to be kept. */
  async machineTypes(): Promise<unknown> {
    const reply = await this.call('GET', '/machine_types', undefined, 3);
    return reply?.status === 200 && decodeCatalog(reply.body) !== undefined ? reply.body : undefined;
  }

  async rent(hire: Hire): Promise<HireResult> {
    const body = {
      Hire: hire.name,
      Flavor: hire.flavor,
      Site: hire.site,
      Reclaimable: hire.reclaimable,
      HowMany: hire.count,
    };
    const reply = await this.change('cloud_rent', '/rentals', body, 2);
    if (reply === 'withheld') return { kind: 'refused' };
    if (reply === undefined) return { kind: 'unknown' };
    if (reply.status === 200) return { kind: 'rented', hosts: (reply.body as { Hosts?: string[] })?.Hosts ?? [] };
    if (reply.status === 400) return { kind: 'malformed' };
    const error = (reply.body as { error?: string } | undefined)?.error;
    return reply.status === 503 && error === 'no capacity' ? { kind: 'no_capacity' } : { kind: 'refused' };
  }

  /** True: the machines and everything on them are gone. */
  async giveBack(hosts: string[]): Promise<boolean> {
    const body = { Hosts: hosts };
    const reply = await this.change('cloud_return', '/rentals/return', body, 1);
    return reply !== 'withheld' && reply?.status === 200;
  }

  /** The whole list, or undefined. It may be older than one seen before. */
  async list(): Promise<ListedMachine[] | undefined> {
    const machines: ListedMachine[] = [];
    let from = '';
    for (;;) {
      const after = from === '' ? '' : `From=${encodeURIComponent(from)}&`;
      const reply = await this.call('GET', `/rentals?${after}Limit=500`, undefined, 3);
      if (reply?.status !== 200) return undefined;
      const body = reply.body as {
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
      };
      for (const raw of body.Hosts) {
        machines.push({
          host: raw.Ref,
          endpoint: raw.Endpoint,
          flavor: raw.Flavor,
          site: raw.Site,
          reclaimable: raw.Reclaimable === true,
          phase: raw.Phase === 'failed' ? 'failed' : raw.Phase === 'starting' ? 'starting' : 'running',
          heldS: raw.HeldS,
        });
      }
      if (body.HasNext !== true || body.Hosts.length === 0) return machines;
      from = body.Hosts[body.Hosts.length - 1]!.Ref;
    }
  }
}
