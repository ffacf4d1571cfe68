/** Calls to the cloud: its catalogue, its list of machines, scale out and scale in. */
import { CLOUD_BUSY_PAUSE_MS, CLOUD_TIMEOUT_MS } from '../constants/autoscaling.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient, Reply } from '../net/http-client.js';
import { Priority, TokenBucket } from '../net/token-bucket.js';
import {
  decodeCatalog,
  decodeMachineList,
  decodeRentedMachines,
  encodeScaleInRequest,
  encodeScaleOutRequest,
  isNoCapacity,
  machineTypesOf,
  type ListedMachine,
  type ScaleOutRequest,
} from './cloud-wire-codec.js';

export type ScaleOutResult =
  | { kind: 'rented'; machineIds: string[] }
  | { kind: 'no_capacity' }
  /** Refused for now (429, outage): the same request may be sent again. */
  | { kind: 'refused' }
  | { kind: 'malformed' }
  | { kind: 'unknown' };

/** The cloud's own maximum. */
const LIST_PAGE_MACHINES = 500;

/** Keeps the cloud's rate limit, and tells answers from silence. */
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

  /** The machine types, each in the form in which it is stored; undefined: no readable answer. */
  async machineTypes(): Promise<unknown[] | undefined> {
    const reply = await this.call('GET', '/machine_types', undefined, Priority.start);
    const isReadable = reply?.status === 200 && decodeCatalog(reply.body) !== undefined;
    return isReadable ? machineTypesOf(reply.body) : undefined;
  }

  async scaleOut(request: ScaleOutRequest): Promise<ScaleOutResult> {
    const reply = await this.change('cloud_rent', '/rentals', encodeScaleOutRequest(request), Priority.accept);
    if (reply === 'withheld') return { kind: 'refused' };
    if (reply === undefined) return { kind: 'unknown' };
    if (reply.status === 200) return { kind: 'rented', machineIds: decodeRentedMachines(reply.body) };
    if (reply.status === 400) return { kind: 'malformed' };
    return reply.status === 503 && isNoCapacity(reply.body) ? { kind: 'no_capacity' } : { kind: 'refused' };
  }

  /** True: the machines and everything on them are gone. */
  async scaleIn(machineIds: readonly string[]): Promise<boolean> {
    const reply = await this.change(
      'cloud_return',
      '/rentals/return',
      encodeScaleInRequest(machineIds),
      Priority.cancel,
    );
    return reply !== 'withheld' && reply?.status === 200;
  }

  /** The whole list, or undefined. It may be older than one seen before. */
  async list(): Promise<ListedMachine[] | undefined> {
    const machines: ListedMachine[] = [];
    let from = '';
    for (;;) {
      const after = from === '' ? '' : `From=${encodeURIComponent(from)}&`;
      const reply = await this.call('GET', `/rentals?${after}Limit=${LIST_PAGE_MACHINES}`, undefined, Priority.start);
      if (reply?.status !== 200) return undefined;
      const page = decodeMachineList(reply.body);
      machines.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.hasMore || last === undefined) return machines;
      from = last.machineId;
    }
  }
}
