import { NoAnswer, type CallOptions, type HttpClient, type Reply } from '../net/http-client.js';
import type { FakeClock } from './fake-clock.js';

export interface Sender {
  from: string;
  /** When it sent the request, which may be long ago. */
  at: number;
}

export type Handler = (method: string, path: string, body: unknown, sender: Sender) => Promise<Reply> | Reply;

/** What happens to messages from one host to an address; the first fault that matches counts. */
export interface Fault {
  from?: string;
  to?: string;
  path?: RegExp;
  /**
   * refuse: never connected. lose: nothing arrives, no answer. mute: it arrives, the answer is lost.
   * hold: it arrives when `release` is called, the answer is lost.
   */
  kind: 'refuse' | 'lose' | 'mute' | 'hold' | 'status';
  status?: number;
  body?: unknown;
  /** How often; for ever if left out. */
  times?: number;
}

/** A network in memory: routes calls by address, and delays, loses, holds and repeats them as told. */
export class FakeNetwork {
  private readonly handlers = new Map<string, Handler>();
  private faults: Fault[] = [];
  private held: (() => void)[] = [];
  readonly log: { from: string; to: string; method: string; path: string; body: unknown }[] = [];

  constructor(private readonly clock: FakeClock) {}

  serve(address: string, handler: Handler): void {
    this.handlers.set(address, handler);
  }

  fault(fault: Fault): () => void {
    this.faults.push(fault);
    return () => (this.faults = this.faults.filter((each) => each !== fault));
  }

  /** Delivers what was held, late. */
  release(): void {
    for (const deliver of this.held.splice(0)) deliver();
  }

  client(from: string): HttpClient {
    return {
      call: (address, method, path, body, options) => this.call(from, address, method, path, body, options),
    };
  }

  private match(from: string, to: string, path: string): Fault | undefined {
    const found = this.faults.find(
      (fault) =>
        (fault.from === undefined || fault.from === from) &&
        (fault.to === undefined || fault.to === to) &&
        (fault.path === undefined || fault.path.test(path)),
    );
    if (found?.times !== undefined && --found.times === 0) this.faults = this.faults.filter((each) => each !== found);
    return found;
  }

  private async call(
    from: string,
    to: string,
    method: string,
    path: string,
    body: unknown,
    options: CallOptions,
  ): Promise<Reply> {
    const sender = { from, at: this.clock.now() };
    const copy: unknown = body === undefined ? undefined : JSON.parse(JSON.stringify(body));
    const fault = this.match(from, to, path);
    const handler = this.handlers.get(to);
    const what = `${method} ${to}${path}`;
    if (handler === undefined || fault?.kind === 'refuse') throw new NoAnswer(`${what}: refused`, false);
    if (fault?.kind === 'status') return { status: fault.status!, body: fault.body ?? {} };
    const deliver = () => {
      this.log.push({ from, to, method, path, body: copy });
      return handler(method, path, copy, sender);
    };
    if (fault !== undefined) {
      if (fault.kind === 'mute') void deliver();
      if (fault.kind === 'hold') this.held.push(() => void deliver());
      await this.clock.sleep(options.timeoutMs);
      throw new NoAnswer(`${what}: timeout`, true);
    }
    await this.clock.sleep(1);
    const timeout = new AbortController();
    const late = this.clock.sleep(options.timeoutMs, timeout.signal).then(() => {
      throw new NoAnswer(`${what}: timeout`, true);
    });
    late.catch(() => undefined);
    const reply = await Promise.race([Promise.resolve(deliver()), late]);
    timeout.abort();
    // A cut that began in the meantime takes the answer too.
    const since = this.match(from, to, path);
    if (since?.kind === 'lose') {
      await this.clock.sleep(options.timeoutMs);
      throw new NoAnswer(`${what}: timeout`, true);
    }
    return JSON.parse(JSON.stringify(reply)) as Reply;
  }
}
