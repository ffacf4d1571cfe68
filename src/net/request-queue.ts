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

/** A request that waits; all times are monotonic ms. */
interface WaitingRequest {
  addedAtMs: number;
  handle: () => void;
}

/** Requests of users and workers that have been read and are not handled yet. */
export class RequestQueue {
  private readonly waiting: Readonly<Record<WaitingClient, WaitingRequest[]>> = { user: [], worker: [] };
  /** Whose turn it is next if both wait. */
  private nextClient: WaitingClient = 'user';
  private isServing = false;
  private acceptedCount = 0;
  /** `acceptedCount` when the requests were last due. */
  private acceptedBefore = 0;
  /** Monotonic ms at which requests were last served, or began to wait. */
  private servedAtMs = -Infinity;
  private longestWaitMs = 0;

  constructor(private readonly clock: Clock) {}

  /** To be called for each accepted connection. */
  connectionAccepted(): void {
    this.acceptedCount++;
  }

  /** Calls `handle` once it is the request's turn. */
  add(client: WaitingClient, handle: () => void): void {
    const addedAtMs = this.clock.now();
    this.waiting[client].push({ addedAtMs, handle });
    if (this.isServing) return;
    this.isServing = true;
    this.servedAtMs = addedAtMs;
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

  /** Returns the longest wait of a request since the last call, ms. */
  takeLongestWaitMs(): number {
    const { longestWaitMs } = this;
    this.longestWaitMs = 0;
    return longestWaitMs;
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
    for (let request = this.take(); request !== undefined; request = this.take()) {
      this.longestWaitMs = Math.max(this.longestWaitMs, this.clock.now() - request.addedAtMs);
      request.handle();
      if (this.clock.now() >= endsAtMs) return;
    }
  }

  /** Users and workers take turns, so that neither waits for a burst of the other. */
  private take(): WaitingRequest | undefined {
    const client = this.nextClient;
    const other = client === 'user' ? 'worker' : 'user';
    this.nextClient = other;
    return this.waiting[client].shift() ?? this.waiting[other].shift();
  }
}
