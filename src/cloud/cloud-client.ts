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
  type ListedMachine,
  machineTypesOf,
  type ScaleOutRequest,
  type StoredMachineType,
} from './cloud-wire-codec.js';

/** What the cloud has answered to a request for machines. */
export type ScaleOutResult =
  /** `machineIds`: as many as were asked for, or fewer. */
  | { kind: 'rented'; machineIds: string[] }
  | { kind: 'no_capacity' }
  /** Refused for now (429, outage, no longer the leader): the same request may be sent again. */
  | { kind: 'refused' }
  /** The cloud calls the request wrong: it is of no use to send it again. */
  | { kind: 'malformed' }
  /** No response: the request may have been carried out, and the same one may be sent again. */
  | { kind: 'unknown' };

/** Calls that change something, under the names by which a standby withholds them. */
export type CloudChange = 'cloud_rent' | 'cloud_return';

/** How to reach the cloud, and when. */
export interface CloudClientOptions {
  http: HttpClient;
  /** Host and port. */
  address: string;
  /** The cloud's rate limit for all nodes together. */
  requestsPerSecond: number;
  clock: Clock;
  /**
   * May the call go out at this very moment? The cloud knows no fencing token: what a leader decided before it was paused must
   * not be sent after another node has become leader.
   */
  maySend?: (call: CloudChange) => boolean;
}

type ChangeOutcome =
  | { kind: 'answered'; reply: Reply }
  /** It did not go out. */
  | { kind: 'withheld' }
  | { kind: 'no_response' };

/** The cloud's own maximum. */
const LIST_PAGE_MACHINES = 500;

/** Mostly one node, the leader, calls; the rest is left for a new leader and the one before it. */
const RATE_SHARE = 0.7;

/** Keeps the cloud's rate limit, and distinguishes responses from their absence; no method rejects. */
export class CloudClient {
  private readonly bucket: TokenBucket;

  constructor(private readonly options: CloudClientOptions) {
    const { clock, requestsPerSecond } = options;
    this.bucket = new TokenBucket(clock, requestsPerSecond * RATE_SHARE, Math.max(1, requestsPerSecond));
  }

  /** The machine types, each in the form in which it is stored; undefined: no readable response. */
  async machineTypes(): Promise<StoredMachineType[] | undefined> {
    const reply = await this.read('/machine_types');
    const isReadable = reply?.status === 200 && decodeCatalog(reply.body) !== undefined;
    return isReadable ? machineTypesOf(reply.body) : undefined;
  }

  /** Asks for machines; idempotent by the request's rental id. */
  async scaleOut(request: ScaleOutRequest): Promise<ScaleOutResult> {
    const outcome = await this.change('cloud_rent', '/rentals', encodeScaleOutRequest(request), Priority.accept);
    switch (outcome.kind) {
      case 'answered':
        return scaleOutResultOf(outcome.reply);
      case 'withheld':
        return { kind: 'refused' };
      case 'no_response':
        return { kind: 'unknown' };
    }
  }

  /** True: the machines and everything on them have ended. False: this is not known. */
  async scaleIn(machineIds: readonly string[]): Promise<boolean> {
    const body = encodeScaleInRequest(machineIds);
    const outcome = await this.change('cloud_return', '/rentals/return', body, Priority.cancel);
    return outcome.kind === 'answered' && outcome.reply.status === 200;
  }

  /** The whole list, or undefined. It may be older than one seen before. */
  async list(): Promise<ListedMachine[] | undefined> {
    const machines: ListedMachine[] = [];
    let from = '';
    for (;;) {
      const after = from === '' ? '' : `From=${encodeURIComponent(from)}&`;
      const reply = await this.read(`/rentals?${after}Limit=${LIST_PAGE_MACHINES}`);
      if (reply?.status !== 200) return undefined;
      const page = decodeMachineList(reply.body);
      machines.push(...page.machines);
      const last = page.machines.at(-1);
      if (!page.hasMore || last === undefined) return machines;
      from = last.machineId;
    }
  }

  private async read(path: string): Promise<Reply | undefined> {
    await this.bucket.take(1, Priority.start);
    return this.send('GET', path, undefined, Priority.start);
  }

  /** A call that changes something. It is withheld if it may not go out any more when its turn has come. */
  private async change(call: CloudChange, path: string, body: unknown, priority: Priority): Promise<ChangeOutcome> {
    await this.bucket.take(1, priority);
    const { maySend } = this.options;
    if (maySend !== undefined && !maySend(call)) return { kind: 'withheld' };
    const reply = await this.send('POST', path, body, priority);
    return reply === undefined ? { kind: 'no_response' } : { kind: 'answered', reply };
  }

  /** undefined: no response, for whatever reason. */
  private async send(method: string, path: string, body: unknown, priority: Priority): Promise<Reply | undefined> {
    const { http, address } = this.options;
    try {
      const reply = await http.call(address, method, path, body, {
        timeoutMs: CLOUD_TIMEOUT_MS,
        connectMs: CLOUD_TIMEOUT_MS,
      });
      if (reply.status === 429) this.bucket.backOff(CLOUD_BUSY_PAUSE_MS, priority);
      return reply;
    } catch {
      return undefined;
    }
  }
}

function scaleOutResultOf({ status, body }: Reply): ScaleOutResult {
  if (status === 200) return { kind: 'rented', machineIds: decodeRentedMachines(body) };
  if (status === 400) return { kind: 'malformed' };
  return status === 503 && isNoCapacity(body) ? { kind: 'no_capacity' } : { kind: 'refused' };
}
