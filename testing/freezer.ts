/** Lets a controller stand still in the middle of anything, as a process does that gets no share of its core. */
import type { Clock } from '../src/net/clock.js';
import type { HttpClient, Reply } from '../src/net/http-client.js';
import type { FakeClock } from './fake-clock.js';

/** When and for how long a node stands still. */
export interface Trap {
  /** Of a request that it sends or answers; for users: submit, poll or cancel. */
  path: RegExp;
  /** Before it sends a request, before it takes in the answer, or before its own answer goes out. */
  when: 'sending' | 'answered' | 'answering';
  forMs: number;
  /** Which requests, by their body; all if left out. */
  where?: (body: unknown) => boolean;
}

/** Stands between a controller and the rest, so that it can stand still in the middle of anything. */
export class Freezer {
  readonly traps = new Set<Trap>();
  /** The clock as the controller sees it: no wait of a frozen process ends. */
  readonly thawed: Clock;
  private until = -Infinity;

  constructor(private readonly clock: FakeClock) {
    this.thawed = {
      now: () => clock.now(),
      wall: () => clock.wall(),
      sleep: async (ms, signal) => {
        await clock.sleep(ms, signal);
        if (this.isFrozen) await this.pass();
      },
    };
  }

  get isFrozen(): boolean {
    return this.clock.now() < this.until;
  }

  freeze(forMs: number): void {
    this.until = this.clock.now() + forMs;
  }

  async pass(): Promise<void> {
    while (this.isFrozen) await this.clock.sleep(this.until - this.clock.now());
  }

  private async pause(when: Trap['when'], path: string, body?: unknown): Promise<void> {
    const trap = [...this.traps].find(
      (each) => each.when === when && each.path.test(path) && (each.where === undefined || each.where(body)),
    );
    if (trap !== undefined) this.freeze(trap.forMs);
    this.traps.delete(trap!);
    await this.pass();
  }

  /** Requests of a process that has ended are never sent, and answers to it never heard. */
  client(client: HttpClient, ended: AbortSignal): HttpClient {
    const never = new Promise<Reply>(() => undefined);
    return {
      // eslint-disable-next-line max-params -- the signature of HttpClient
      call: async (address, method, path, body, options) => {
        await this.pause('sending', path, body);
        if (ended.aborted) return never;
        try {
          return await client.call(address, method, path, body, options);
        } finally {
          await this.pause('answered', path, body);
          if (ended.aborted) await never;
        }
      },
    };
  }

  async serve<T>(path: string, answer: () => Promise<T> | T): Promise<T> {
    await this.pass();
    const reply = await answer();
    await this.pause('answering', path);
    return reply;
  }
}
