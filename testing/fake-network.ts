/** A stand-in of the network between all hosts of a cluster. */
import { type CallOptions, type HttpClient, NoResponseError, type Reply } from '../src/net/http-client.js';
import { Random } from '../src/net/random.js';
import type { FakeClock } from './fake-clock.js';

/** Who sent a request, and when. */
export interface Sender {
  from: string;
  /** When it sent the request, which may be long ago. */
  at: number;
  /** Nobody waits for the answer any more. */
  late?: boolean;
}

/** Answers the requests to an address. */
export type Handler = (method: string, path: string, body: unknown, sender: Sender) => Promise<Reply> | Reply;

/** What happens to messages from one host to an address; the first fault that matches counts. */
export interface NetworkFault {
  from?: string;
  to?: string;
  path?: RegExp;
  /** Which requests, by their body. */
  where?: (body: unknown) => boolean;
  /**
   * refuse: never connected. lose: nothing arrives, no answer. answerLost: it arrives, the answer is lost.
   * hold: it arrives when released, in order, and the answer too if somebody still waits for it.
   * late: it arrives after `lateMs`, when newer ones have, and there is no answer.
   */
  kind: 'refuse' | 'lose' | 'answerLost' | 'hold' | 'late' | 'status';
  status?: number;
  body?: unknown;
  /** The least and the most that a message is late, ms. */
  lateMs?: [number, number];
  /** How many of the messages it hits; all if left out. */
  share?: number;
  /** How often; for ever if left out. */
  times?: number;
}

/** A host's name without the port. */
const nameOf = (address: string) => address.split(':')[0]!;

/** A network in memory: routes calls by address, and delays, loses, holds and repeats them. */
export class FakeNetwork {
  private readonly handlers = new Map<string, Handler>();
  private faults: NetworkFault[] = [];
  private held: { fault: NetworkFault; go: () => void }[] = [];
  private readonly splits = new Map<NetworkFault, Set<string>>();
  private readonly random: Random;
  /** All that was sent, whether it arrived or not. */
  readonly log: { from: string; to: string; method: string; path: string; body: unknown }[] = [];
  /** Further faults, for whoever knows the hosts. */
  lastingFault: (from: string, to: string) => NetworkFault['kind'] | undefined = () => undefined;

  constructor(
    private readonly clock: FakeClock,
    seed = 1,
  ) {
    this.random = new Random(seed);
  }

  serve(address: string, handler: Handler): void {
    this.handlers.set(address, handler);
  }

  unserve(address: string): void {
    this.handlers.delete(address);
  }

  /** Returns what ends it; what it holds stays held until `release`. */
  fault(fault: NetworkFault): () => void {
    this.faults.push(fault);
    return () => (this.faults = this.faults.filter((each) => each !== fault));
  }

  /** Ends all faults; what is held stays held. */
  heal(): void {
    this.faults = [];
  }

  /** A cut that holds messages. Returns what ends it and delivers them. */
  cut(where: { from?: string; to?: string; path?: RegExp }): () => void {
    const fault: NetworkFault = { ...where, kind: 'hold' };
    const heal = this.fault(fault);
    return () => {
      heal();
      this.release(fault);
    };
  }

  /** Cuts these hosts off from all others; inside all goes on. Returns what ends it and delivers what was held. */
  split(inside: Iterable<string>): () => void {
    const fault: NetworkFault = { kind: 'hold' };
    this.splits.set(fault, new Set(inside));
    return () => {
      this.splits.delete(fault);
      this.release(fault);
    };
  }

  /** Delivers what was held, late and in order. */
  release(by?: NetworkFault): void {
    const freed = this.held.filter(({ fault }) => by === undefined || fault === by);
    this.held = this.held.filter((each) => !freed.includes(each));
    for (const { go } of freed) go();
  }

  client(from: string): HttpClient {
    return {
      // eslint-disable-next-line max-params -- the signature of HttpClient
      call: (address, method, path, body, options) => this.call(from, address, method, path, body, options),
    };
  }

  /** Carries a message that has no answer, at once unless a fault is in the way. */
  post(from: string, to: string, deliver: () => void): void {
    const fault = this.match(from, to, '', undefined);
    if (fault === undefined) deliver();
    else if (fault.kind === 'hold') this.held.push({ fault, go: deliver });
    else if (fault.kind === 'late') void this.clock.sleep(this.lateness(fault)).then(deliver);
  }

  private lateness({ lateMs: [least, most] = [2000, 12_000] }: NetworkFault): number {
    return least + this.random.float() * (most - least);
  }

  private match(from: string, to: string, path: string, body: unknown): NetworkFault | undefined {
    const found = this.faults.find(
      (fault) =>
        (fault.from === undefined || fault.from === from) &&
        (fault.to === undefined || fault.to === to) &&
        (fault.path === undefined || fault.path.test(path)) &&
        (fault.where === undefined || fault.where(body)) &&
        (fault.share === undefined || this.random.float() < fault.share),
    );
    if (found?.times !== undefined && --found.times === 0) this.faults = this.faults.filter((each) => each !== found);
    return found ?? this.lasting(from, to);
  }

  private lasting(from: string, to: string): NetworkFault | undefined {
    for (const [fault, inside] of this.splits) if (inside.has(nameOf(from)) !== inside.has(nameOf(to))) return fault;
    const kind = this.lastingFault(from, to);
    return kind === undefined ? undefined : { kind };
  }

  /** Is there a cut that takes or holds an answer, one that began after the request? */
  private onAnswer(from: string, to: string, path: string): NetworkFault | undefined {
    const cut = this.faults.find(
      (fault) =>
        (fault.kind === 'lose' || fault.kind === 'hold') &&
        fault.share === undefined &&
        fault.where === undefined &&
        (fault.from === undefined || fault.from === from) &&
        (fault.to === undefined || fault.to === to) &&
        (fault.path === undefined || fault.path.test(path)),
    );
    return cut ?? this.lasting(from, to);
  }

  private untilReleased(fault: NetworkFault): Promise<void> {
    return new Promise((resolve) => this.held.push({ fault, go: resolve }));
  }

  /** Whether nobody gets the answer; the message itself arrives at once, late or never. */
  private carriesNoAnswer(fault: NetworkFault, deliver: (late?: boolean) => Promise<Reply>): boolean {
    const ignore = (arrived: Promise<Reply>) => void arrived.catch(() => undefined);
    if (fault.kind === 'answerLost') ignore(deliver());
    if (fault.kind === 'late') ignore(this.clock.sleep(this.lateness(fault)).then(() => deliver(true)));
    return fault.kind === 'answerLost' || fault.kind === 'late' || fault.kind === 'lose';
  }

  // eslint-disable-next-line max-params -- the signature of HttpClient and the sender
  private async call(
    from: string,
    to: string,
    method: string,
    path: string,
    body: unknown,
    options: CallOptions,
  ): Promise<Reply> {
    const sender: Sender = { from, at: this.clock.now() };
    const copy: unknown = body === undefined ? undefined : JSON.parse(JSON.stringify(body));
    const fault = this.match(from, to, path, copy);
    const what = `${method} ${to}${path}`;
    if (!this.handlers.has(to) || fault?.kind === 'refuse') throw new NoResponseError(`${what}: refused`, false);
    if (fault?.kind === 'status') return { status: fault.status!, body: fault.body ?? {} };
    this.log.push({ from, to, method, path, body: copy });
    const deliver = async (late = false): Promise<Reply> => {
      const handler = this.handlers.get(to);
      if (handler === undefined) throw new NoResponseError(`${what}: refused`, false);
      return handler(method, path, copy, late ? { ...sender, late } : sender);
    };
    let cancel: () => void = () => undefined;
    const timedOut = new Promise<Reply>((_, reject) => {
      cancel = this.clock.after(options.timeoutMs, () => reject(new NoResponseError(`${what}: timeout`, true)));
    });
    if (fault !== undefined && this.carriesNoAnswer(fault, deliver)) return timedOut;
    const answer = async (): Promise<Reply> => {
      if (fault === undefined) await this.clock.sleep(1);
      else await this.untilReleased(fault);
      const reply = await deliver(this.clock.now() - sender.at >= options.timeoutMs);
      // A cut that began in the meantime takes the answer too.
      const since = this.onAnswer(from, to, path);
      if (since?.kind === 'hold') await this.untilReleased(since);
      return since?.kind === 'lose' || since?.kind === 'answerLost' ? timedOut : reply;
    };
    const reply = answer();
    timedOut.catch(() => undefined);
    reply.catch(() => undefined);
    try {
      return JSON.parse(JSON.stringify(await Promise.race([reply, timedOut]))) as Reply;
    } finally {
      cancel();
    }
  }
}
