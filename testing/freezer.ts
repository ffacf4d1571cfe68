/** Freezes a controller at any point of its work, like a process that gets no CPU time. */
import type { Clock } from '../src/net/clock.js';
import type { HttpClient, HttpResponse } from '../src/net/http-client.js';
import type { FakeClock } from './fake-clock.js';

/** When and for how long a node freezes. */
export interface FreezeTrigger {
  /** Path of a request that it sends or answers; for requests of users: submit, poll or cancel. */
  path: RegExp;
  /** Before it sends a request, before it processes the answer, or before it sends its own answer. */
  when: 'sending' | 'answered' | 'answering';
  forMs: number;
  /** Selects requests by their body; all if absent. */
  matchesBody?: (body: unknown) => boolean;
}

/** Sits between a controller and its clock, clients and callers, and holds all of them up while it is frozen. */
export class Freezer {
  readonly triggers = new Set<FreezeTrigger>();
  /** The clock of the controller's process: no sleep ends while the process is frozen. */
  readonly processClock: Clock;
  private frozenUntil = -Infinity;

  constructor(private readonly clock: FakeClock) {
    this.processClock = {
      now: () => clock.now(),
      wall: () => clock.wall(),
      sleep: async (ms, signal) => {
        await clock.sleep(ms, signal);
        if (this.isFrozen) await this.untilThawed();
      },
    };
  }

  get isFrozen(): boolean {
    return this.clock.now() < this.frozenUntil;
  }

  freeze(forMs: number): void {
    this.frozenUntil = this.clock.now() + forMs;
  }

  async untilThawed(): Promise<void> {
    while (this.isFrozen) await this.clock.sleep(this.frozenUntil - this.clock.now());
  }

  private async pauseAt(when: FreezeTrigger['when'], path: string, body?: unknown): Promise<void> {
    const trigger = [...this.triggers].find(
      (each) =>
        each.when === when && each.path.test(path) && (each.matchesBody === undefined || each.matchesBody(body)),
    );
    if (trigger !== undefined) this.freeze(trigger.forMs);
    this.triggers.delete(trigger!);
    await this.untilThawed();
  }

  /** Wraps a client. After the process has ended, it sends no request and receives no answer. */
  wrapClient(client: HttpClient, ended: AbortSignal): HttpClient {
    const never = new Promise<HttpResponse>(() => undefined);
    return {
      // eslint-disable-next-line max-params -- the signature of HttpClient
      call: async (address, method, path, body, options) => {
        await this.pauseAt('sending', path, body);
        if (ended.aborted) return never;
        try {
          return await client.call(address, method, path, body, options);
        } finally {
          await this.pauseAt('answered', path, body);
          if (ended.aborted) await never;
        }
      },
    };
  }

  async serve<T>(path: string, answer: () => Promise<T> | T): Promise<T> {
    await this.untilThawed();
    const reply = await answer();
    await this.pauseAt('answering', path);
    return reply;
  }
}
