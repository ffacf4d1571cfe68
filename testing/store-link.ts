/** The link between one controller and the stand-in store, with the faults that can be set on it. */
import type { Clock } from '../src/net/clock.js';
import type { HttpResponse } from '../src/net/http-client.js';
import { LoopbackServer } from './loopback-server.js';
import type { RequestCopies } from './request-copies.js';

/**
 * `refused`: 503 to every request. `cut`: no request arrives. `late`: requests are executed after the link is restored, and
 * their answers are lost. `unanswered`: requests are executed at once, but their answers are lost.
 */
export type StoreLinkFault = 'refused' | 'cut' | 'late' | 'unanswered';

/** The store that is served. */
export interface StoreService {
  handle(method: string, path: string, body: unknown): Promise<HttpResponse>;
}

const UNAVAILABLE: HttpResponse = { status: 503, body: { error: 'unavailable' } };

/** Serves the store to one controller. */
export class StoreLink {
  private readonly server: LoopbackServer;
  private fault: StoreLinkFault | undefined;
  private heldRequests: (() => void)[] = [];
  /** Added to each request, ms. */
  delayMs = 0;

  constructor(
    private readonly store: StoreService,
    private readonly clock: Clock,
    private readonly copies: RequestCopies,
  ) {
    this.server = new LoopbackServer((method, path, body) => this.handle(method, path, body));
  }

  listen(): Promise<string> {
    return this.server.listen();
  }

  private async handle(method: string, path: string, body: unknown): Promise<HttpResponse> {
    if (this.delayMs > 0) await this.clock.sleep(this.delayMs);
    const { fault } = this;
    if (fault === 'refused') return UNAVAILABLE;
    if (fault === 'cut') return neverAnswered();
    if (fault === 'late') await new Promise<void>((resolve) => this.heldRequests.push(resolve));
    const reply = await this.store.handle(method, path, body);
    this.copies.answered(() => this.store.handle(method, path, body));
    return fault === undefined && this.fault !== 'cut' ? reply : neverAnswered();
  }

  setFault(fault: StoreLinkFault): void {
    this.fault = fault;
  }

  restore(): void {
    this.fault = undefined;
    for (const execute of this.heldRequests.splice(0)) execute();
  }

  close(): void {
    this.server.close();
  }
}

const neverAnswered = (): Promise<HttpResponse> => new Promise(() => undefined);
