/** An in-memory fake of the network between all hosts of a cluster. */
import { type CallOptions, type HttpClient, type HttpResponse, NoResponseError } from '../src/net/http-client.js';
import { parseJson, stringifyJson } from '../src/net/json.js';
import { Random } from '../src/net/random.js';
import type { FakeClock } from './fake-clock.js';

/** The origin of a request. */
export interface Sender {
  from: string;
  /** When the request was sent; a delayed one may arrive long after. */
  sentAt: number;
  /** The sender has stopped waiting for the answer. */
  isLate?: boolean;
  /** A copy of a request that was carried out and answered before. */
  isCopy?: boolean;
}

/** Handles the requests to an address. */
export type RequestHandler = (
  method: string,
  path: string,
  body: unknown,
  sender: Sender,
) => Promise<HttpResponse> | HttpResponse;

/** A fault of the messages that match all its fields; of several faults, the first that matches applies. */
export interface NetworkFault {
  from?: string;
  to?: string;
  path?: RegExp;
  /** Selects requests by their body. */
  matchesBody?: (body: unknown) => boolean;
  /**
   * refuse: the connection is refused. lose: the message does not arrive. answerLost: it arrives, its answer is lost.
   * hold: it is delivered on release, in order, and its answer too if the sender still waits for it.
   * late: it arrives after a delay of `lateMs`, behind newer messages, and gets no answer.
   * copy: it is delivered and answered as usual, and a copy that nobody waits for arrives `lateMs` after the answer.
   * status: the sender gets `status` and `body` as the answer, and the message does not arrive.
   */
  kind: 'refuse' | 'lose' | 'answerLost' | 'hold' | 'late' | 'copy' | 'status';
  status?: number;
  body?: unknown;
  /** Shortest and longest delay of a late message or copy, ms. */
  lateMs?: [number, number];
  /** Share of the messages that are affected; all if absent. */
  share?: number;
  /** Number of messages that are affected; unlimited if absent. */
  times?: number;
}

/** Where a message comes from and goes to; the path is empty for one-way messages. */
interface Route {
  from: string;
  to: string;
  path: string;
}

const isOnRoute = (fault: NetworkFault, { from, to, path }: Route): boolean =>
  (fault.from === undefined || fault.from === from) &&
  (fault.to === undefined || fault.to === to) &&
  (fault.path === undefined || fault.path.test(path));

/** Delivers a request to its handler. */
type Deliver = (delivery?: Pick<Sender, 'isLate' | 'isCopy'>) => Promise<HttpResponse>;

const ignoreOutcome = (delivered: Promise<HttpResponse>): void => void delivered.catch(() => undefined);

/** The host name of an address. */
const hostName = (address: string) => address.split(':')[0]!;

/** Routes calls by address, and delays, loses or holds them. */
export class FakeNetwork {
  private readonly handlers = new Map<string, RequestHandler>();
  private faults: NetworkFault[] = [];
  private held: { fault: NetworkFault; resume: () => void }[] = [];
  private readonly partitions = new Map<NetworkFault, Set<string>>();
  private readonly random: Random;
  /** All requests that were sent, also those that did not arrive, but not those refused or answered by a fault. */
  readonly log: { from: string; to: string; method: string; path: string; body: unknown }[] = [];
  /** The kind of the lasting fault between two hosts, if any, in addition to faults and partitions. */
  linkFaultKind: (from: string, to: string) => NetworkFault['kind'] | undefined = () => undefined;

  constructor(
    private readonly clock: FakeClock,
    seed = 1,
  ) {
    this.random = new Random(seed);
  }

  serve(address: string, handler: RequestHandler): void {
    this.handlers.set(address, handler);
  }

  stopServing(address: string): void {
    this.handlers.delete(address);
  }

  /** Adds a fault. Returns a function that ends it; messages that it holds stay held until they are delivered. */
  addFault(fault: NetworkFault): () => void {
    this.faults.push(fault);
    return () => (this.faults = this.faults.filter((each) => each !== fault));
  }

  /** Ends all faults; held messages stay held. */
  clearFaults(): void {
    this.faults = [];
  }

  /** Holds the messages that match. Returns a function that ends this and delivers them. */
  holdMessages(where: { from?: string; to?: string; path?: RegExp }): () => void {
    const fault: NetworkFault = { ...where, kind: 'hold' };
    const endFault = this.addFault(fault);
    return () => {
      endFault();
      this.deliverHeld(fault);
    };
  }

  /**
   * Partitions these hosts from all others. Returns a function that ends the partition and delivers the held messages.
   */
  partition(inside: Iterable<string>): () => void {
    const fault: NetworkFault = { kind: 'hold' };
    this.partitions.set(fault, new Set(inside));
    return () => {
      this.partitions.delete(fault);
      this.deliverHeld(fault);
    };
  }

  /** Delivers the held messages in order, or only those that the given fault holds. */
  deliverHeld(by?: NetworkFault): void {
    const released = this.held.filter(({ fault }) => by === undefined || fault === by);
    this.held = this.held.filter((each) => !released.includes(each));
    for (const { resume } of released) resume();
  }

  client(from: string): HttpClient {
    return {
      // eslint-disable-next-line max-params -- the signature of HttpClient
      call: (address, method, path, body, options) => this.call(from, address, method, path, body, options),
    };
  }

  /** Delivers a one-way message, at once unless a fault applies. */
  sendOneWay(from: string, to: string, deliver: () => void): void {
    const { fault, copyFault } = this.faultsOf({ from, to, path: '' }, undefined);
    if (fault === undefined) deliver();
    else if (fault.kind === 'hold') this.held.push({ fault, resume: deliver });
    else if (fault.kind === 'late') this.deliverLater(fault, deliver);
    if (fault === undefined && copyFault !== undefined) this.deliverLater(copyFault, deliver);
  }

  private deliverLater(fault: NetworkFault, deliver: () => void): void {
    void this.clock.sleep(this.delayMs(fault)).then(deliver);
  }

  private delayMs({ lateMs: [min, max] = [2000, 12_000] }: NetworkFault): number {
    return min + this.random.float() * (max - min);
  }

  private findFault(route: Route, body: unknown, isCopy: boolean): NetworkFault | undefined {
    const found = this.faults.find(
      (fault) =>
        (fault.kind === 'copy') === isCopy &&
        isOnRoute(fault, route) &&
        (fault.matchesBody === undefined || fault.matchesBody(body)) &&
        (fault.share === undefined || this.random.float() < fault.share),
    );
    if (found?.times !== undefined && --found.times === 0) this.faults = this.faults.filter((each) => each !== found);
    return found;
  }

  /** The fault of a message; `copyFault` does not affect the message itself. */
  private faultsOf(
    route: Route,
    body: unknown,
  ): { fault: NetworkFault | undefined; copyFault: NetworkFault | undefined } {
    return {
      fault: this.findFault(route, body, false) ?? this.linkFault(route.from, route.to),
      copyFault: this.findFault(route, body, true),
    };
  }

  /** Returns `deliver`, except that after each answered delivery a copy follows later, if there is such a fault. */
  private copyingWith(copyFault: NetworkFault | undefined, deliver: Deliver): Deliver {
    if (copyFault === undefined) return deliver;
    return async (delivery) => {
      const reply = await deliver(delivery);
      this.deliverLater(copyFault, () => ignoreOutcome(deliver({ isLate: true, isCopy: true })));
      return reply;
    };
  }

  private linkFault(from: string, to: string): NetworkFault | undefined {
    for (const [fault, inside] of this.partitions)
      if (inside.has(hostName(from)) !== inside.has(hostName(to))) return fault;
    const kind = this.linkFaultKind(from, to);
    return kind === undefined ? undefined : { kind };
  }

  /** A fault that loses or holds an answer, though the request went through: it began in the meantime. */
  private faultOnAnswer(route: Route): NetworkFault | undefined {
    const answerFault = this.faults.find(
      (fault) =>
        (fault.kind === 'lose' || fault.kind === 'hold') &&
        fault.share === undefined &&
        fault.matchesBody === undefined &&
        isOnRoute(fault, route),
    );
    return answerFault ?? this.linkFault(route.from, route.to);
  }

  private untilReleased(fault: NetworkFault): Promise<void> {
    return new Promise((resolve) => this.held.push({ fault, resume: resolve }));
  }

  /** Does the fault lose the answer? If so, also delivers the request itself at once, late or never. */
  private losesAnswer(fault: NetworkFault, deliver: Deliver): boolean {
    if (fault.kind === 'answerLost') ignoreOutcome(deliver());
    if (fault.kind === 'late') this.deliverLater(fault, () => ignoreOutcome(deliver({ isLate: true })));
    return fault.kind === 'answerLost' || fault.kind === 'late' || fault.kind === 'lose';
  }

  // eslint-disable-next-line max-params -- the signature of HttpClient plus the sender
  private async call(
    from: string,
    to: string,
    method: string,
    path: string,
    body: unknown,
    options: CallOptions,
  ): Promise<HttpResponse> {
    const sender: Sender = { from, sentAt: this.clock.now() };
    const copy: unknown = body === undefined ? undefined : parseJson(stringifyJson(body));
    const { fault, copyFault } = this.faultsOf({ from, to, path }, copy);
    const description = `${method} ${to}${path}`;
    if (!this.handlers.has(to) || fault?.kind === 'refuse') throw new NoResponseError(`${description}: refused`, false);
    if (fault?.kind === 'status') return { status: fault.status!, body: fault.body ?? {} };
    this.log.push({ from, to, method, path, body: copy });
    const deliver = this.copyingWith(copyFault, async (delivery = {}) => {
      const handler = this.handlers.get(to);
      if (handler === undefined) throw new NoResponseError(`${description}: refused`, false);
      return handler(method, path, copy, { ...sender, ...delivery });
    });
    let cancel: () => void = () => undefined;
    const timedOut = new Promise<HttpResponse>((_, reject) => {
      cancel = this.clock.after(options.timeoutMs, () => reject(new NoResponseError(`${description}: timeout`, true)));
    });
    if (fault !== undefined && this.losesAnswer(fault, deliver)) return timedOut;
    const answer = async (): Promise<HttpResponse> => {
      if (fault === undefined) await this.clock.sleep(1);
      else await this.untilReleased(fault);
      const reply = await deliver({ isLate: this.clock.now() - sender.sentAt >= options.timeoutMs });
      // A fault that began in the meantime applies to the answer too.
      const answerFault = this.faultOnAnswer({ from, to, path });
      if (answerFault?.kind === 'hold') await this.untilReleased(answerFault);
      return answerFault?.kind === 'lose' || answerFault?.kind === 'answerLost' ? timedOut : reply;
    };
    const reply = answer();
    timedOut.catch(() => undefined);
    reply.catch(() => undefined);
    try {
      return parseJson(stringifyJson(await Promise.race([reply, timedOut]))) as HttpResponse;
    } finally {
      cancel();
    }
  }
}
