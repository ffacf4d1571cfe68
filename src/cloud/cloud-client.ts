/** Client of the cloud's API: catalog, list of machines, scale-out and scale-in. */
import { CLOUD_BUSY_PAUSE_MS, CLOUD_TIMEOUT_MS } from '../constants/autoscaling.js';
import type { Clock } from '../net/clock.js';
import type { HttpClient, HttpResponse } from '../net/http-client.js';
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

/** The outcome of a request for machines. */
export type ScaleOutResult =
  /** `machineIds`: as many as were requested, or fewer. */
  | { kind: 'rented'; machineIds: string[] }
  | { kind: 'no_capacity' }
  /** Refused temporarily (429, outage, no longer the leader): the same request may be retried. */
  | { kind: 'refused' }
  /** The cloud rejects the request as invalid: a retry is pointless. */
  | { kind: 'malformed' }
  /** No response: the request may have been carried out, and the same request may be retried. */
  | { kind: 'unknown' };

/** Calls with side effects, by the names that the standby package uses to decide whether to withhold them. */
export type CloudChange = 'cloud_rent' | 'cloud_return';

/** How to reach the cloud, its rate limit, and when a call may be sent. */
export interface CloudClientOptions {
  http: HttpClient;
  /** Host and port. */
  address: string;
  /** The cloud's rate limit for all nodes together. */
  requestsPerSecond: number;
  clock: Clock;
  /**
   * Whether the call may be sent right now. The cloud checks no fencing token: a call that a leader decided on before it
   * was paused must not be sent after another node has become leader.
   */
  maySend?: (call: CloudChange) => boolean;
}

type ChangeOutcome =
  | { kind: 'answered'; reply: HttpResponse }
  /** The call was not sent. */
  | { kind: 'withheld' }
  | { kind: 'no_response' };

/** Machines per page; the cloud's maximum. */
const LIST_PAGE_SIZE = 500;

/** Usually only the leader calls; the rest of the limit is left for the overlap of a former and a new leader. */
const RATE_SHARE = 0.7;

/** Keeps within the cloud's rate limit, and reports a missing response as a result: no method rejects because of it. */
export class CloudClient {
  private readonly bucket: TokenBucket;

  constructor(private readonly options: CloudClientOptions) {
    const { clock, requestsPerSecond } = options;
    this.bucket = new TokenBucket(clock, requestsPerSecond * RATE_SHARE, Math.max(1, requestsPerSecond));
  }

  /** The machine types, each in its stored form; undefined: no readable response. */
  async machineTypes(): Promise<StoredMachineType[] | undefined> {
    const reply = await this.read('/machine_types');
    const isReadable = reply?.status === 200 && decodeCatalog(reply.body) !== undefined;
    return isReadable ? machineTypesOf(reply.body) : undefined;
  }

  /** Requests machines; idempotent by the request's rental id. */
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

  /** Resolves to true once the machines and all tasks on them have ended, and to false if the outcome is unknown. */
  async scaleIn(machineIds: readonly string[]): Promise<boolean> {
    const body = encodeScaleInRequest(machineIds);
    const outcome = await this.change('cloud_return', '/rentals/return', body, Priority.cancel);
    return outcome.kind === 'answered' && outcome.reply.status === 200;
  }

  /** The whole list; undefined: a page could not be read. The list may be older than one read before. */
  async list(): Promise<ListedMachine[] | undefined> {
    const machines: ListedMachine[] = [];
    let afterMachineId = '';
    for (;;) {
      const fromParameter = afterMachineId === '' ? '' : `From=${encodeURIComponent(afterMachineId)}&`;
      const reply = await this.read(`/rentals?${fromParameter}Limit=${LIST_PAGE_SIZE}`);
      if (reply?.status !== 200) return undefined;
      const page = decodeMachineList(reply.body);
      machines.push(...page.machines);
      const lastMachine = page.machines.at(-1);
      if (!page.hasMore || lastMachine === undefined) return machines;
      afterMachineId = lastMachine.machineId;
    }
  }

  private async read(path: string): Promise<HttpResponse | undefined> {
    await this.bucket.take(1, Priority.start);
    return this.send('GET', path, undefined, Priority.start);
  }

  /** Sends a call with side effects, unless it may no longer be sent once the rate limit admits it. */
  private async change(call: CloudChange, path: string, body: unknown, priority: Priority): Promise<ChangeOutcome> {
    await this.bucket.take(1, priority);
    const { maySend } = this.options;
    if (maySend !== undefined && !maySend(call)) return { kind: 'withheld' };
    const reply = await this.send('POST', path, body, priority);
    return reply === undefined ? { kind: 'no_response' } : { kind: 'answered', reply };
  }

  /** Resolves to undefined if there was no response, whatever the reason. */
  private async send(
    method: string,
    path: string,
    body: unknown,
    priority: Priority,
  ): Promise<HttpResponse | undefined> {
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

function scaleOutResultOf({ status, body }: HttpResponse): ScaleOutResult {
  if (status === 200) return { kind: 'rented', machineIds: decodeRentedMachines(body) };
  if (status === 400) return { kind: 'malformed' };
  return status === 503 && isNoCapacity(body) ? { kind: 'no_capacity' } : { kind: 'refused' };
}
