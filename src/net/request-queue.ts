/**
 * The order in which one event loop serves its clients: new connections first, any of which may be a health check, then the
 * requests that wait, and only then further turns of long work. An iteration of the loop accepts at most one connection, so
 * without this order the connections that wait to be accepted would take turns with requests and with turns of long work.
 */
import { MAX_ACCEPTING_MS, MAX_SERVING_BETWEEN_TURNS_MS, MAX_SERVING_MS } from '../constants/work-turns.js';
import type { Clock } from './clock.js';

/** Who sent a request that may wait. */
export type WaitingClient = 'user' | 'worker';

const nextIteration = (): Promise<void> => new Promise((resolve) => setImmediate(resolve));

/** Requests of users and workers that have been read and are not handled yet. */
export class RequestQueue {
  private readonly waiting: Readonly<Record<WaitingClient, (() => void)[]>> = { user: [], worker: [] };
  /** Whose turn it is next if both wait. */
  private nextClient: WaitingClient = 'user';
  private isServing = false;
  private acceptedCount = 0;
  /** `acceptedCount` when the requests were last due. */
  private acceptedBefore = 0;
  /** Monotonic ms at which requests were last served, or began to wait. */
  private servedAtMs = -Infinity;

  constructor(private readonly clock: Clock) {}

  /** To be called for each accepted connection. */
  connectionAccepted(): void {
    this.acceptedCount++;
  }

  /** Calls `handle` once it is the request's turn. */
  add(client: WaitingClient, handle: () => void): void {
    this.waiting[client].push(handle);
    if (this.isServing) return;
    this.isServing = true;
    this.servedAtMs = this.clock.now();
    setImmediate(() => this.serve());
  }

  /** Resolves when no connection and no request waits, or after a limit that leaves time for other work under overload. */
  async untilServed(): Promise<void> {
    if (this.acceptedCount === 0) return;
    const endsAtMs = this.clock.now() + MAX_SERVING_BETWEEN_TURNS_MS;
    let acceptedBefore: number;
    do {
      acceptedBefore = this.acceptedCount;
      await nextIteration();
    } while ((this.acceptedCount !== acceptedBefore || this.isServing) && this.clock.now() < endsAtMs);
  }

  /** Runs once in an iteration of the event loop while requests wait. */
  private serve(): void {
    const now = this.clock.now();
    const mayMoreWait = this.acceptedCount !== this.acceptedBefore;
    this.acceptedBefore = this.acceptedCount;
    if (!mayMoreWait || now - this.servedAtMs >= MAX_ACCEPTING_MS) {
      this.serveUntil(now + MAX_SERVING_MS);
      this.servedAtMs = this.clock.now();
    }
    this.isServing = this.waiting.user.length + this.waiting.worker.length > 0;
    if (this.isServing) setImmediate(() => this.serve());
  }

  private serveUntil(endsAtMs: number): void {
    for (let handle = this.take(); handle !== undefined; handle = this.take()) {
      handle();
      if (this.clock.now() >= endsAtMs) return;
    }
  }

  /** Users and workers take turns, so that neither waits for a burst of the other. */
  private take(): (() => void) | undefined {
    const client = this.nextClient;
    const other = client === 'user' ? 'worker' : 'user';
    this.nextClient = other;
    return this.waiting[client].shift() ?? this.waiting[other].shift();
  }
}
