import {
  RATE_CHECK_PERIOD_MS,
  RATE_DECREASE,
  RATE_INCREASE,
  URGENT_RETRY_SHARE,
  URGENT_RESERVE_SHARE,
  BATCH_PATIENCE_MS,
} from '../constants/store.js';
import type { Clock } from './clock.js';

/**
 * Waiters of a lower number go first. `start` is for services and gangs, and what makes room for them; `record` for the
 * exits of batch work, and for reads; `background` for the starts of batch work.
 */
export const Priority = { lease: 0, cancel: 1, accept: 2, start: 3, record: 4, background: 5 } as const;
export type Priority = (typeof Priority)[keyof typeof Priority];

/**
 * The turn of a waiter. Exits and starts of batch work take turns as they come: while exits went first, a wave of them kept all
 * starts waiting for tens of seconds in a cluster with room.
 */
const turnOf = (priority: Priority): number => Math.min(priority, Priority.record);

/** Work that may wait: exits and starts of batch tasks, and reads. */
export const isBatch = (priority: Priority): boolean => priority >= Priority.record;

interface Waiter {
  priority: Priority;
  cost: number;
  /** Steady ms. */
  since: number;
  go: () => void;
}

/** A rate limit shared by all callers of one service: tokens, a queue by priority, and a pause after a 429. */
export class TokenBucket {
  private tokens: number;
  private last: number;
  /** Steady ms before which nothing, and before which no batch work, is let through. */
  private blockedUntil = 0;
  private batchBlockedUntil = 0;
  private waiters: Waiter[] = [];
  private pumping = false;
  /** Tokens a second at present, between `least` and `most`. */
  private rate: number;

  /**
   * The limit is shared by all nodes, which are rarely all busy: each goes up to `most` by itself, and after a 429 down
   * towards `least`, its even share.
   */
  constructor(
    private readonly clock: Clock,
    private readonly most: number,
    private readonly burst: number,
    private readonly least: number = most,
  ) {
    this.rate = most;
    this.tokens = burst;
    this.last = clock.now();
  }

  /**
   * The service said that the limit, which all nodes share, is reached. Batch work then stays away for that long, in every
   * node that hears so; what is urgent tries again much sooner, and so finds what the others leave.
   */
  backOff(ms: number, priority: Priority): void {
    const now = this.clock.now();
    if (isBatch(priority)) this.batchBlockedUntil = Math.max(this.batchBlockedUntil, now + ms);
    else this.blockedUntil = Math.max(this.blockedUntil, now + ms * URGENT_RETRY_SHARE);
    this.rate = Math.max(this.least, this.rate * RATE_DECREASE);
  }

  take(cost: number, priority: Priority): Promise<void> {
    this.refill();
    // What is urgent does not stand behind batch work that the bucket has too little for.
    const first = this.waiters.length === 0 || turnOf(this.waiters[0]!.priority) > turnOf(priority);
    if (first && this.missing(cost, priority, this.last) <= 0 && this.blockedFor(priority) <= 0) {
      this.tokens -= cost;
      return Promise.resolve();
    }
    return new Promise((go) => {
      let at = this.waiters.length;
      while (at > 0 && turnOf(this.waiters[at - 1]!.priority) > turnOf(priority)) at--;
      this.waiters.splice(at, 0, { priority, cost, since: this.last, go });
      void this.pump();
    });
  }

  private refill(): void {
    const now = this.clock.now();
    const seconds = (now - this.last) / 1000;
    this.tokens = Math.min(this.burst, this.tokens + seconds * this.rate);
    this.rate = Math.min(this.most, this.rate + seconds * this.most * RATE_INCREASE);
    this.last = now;
  }

  /**
   * Batch work leaves some tokens, so that what is urgent finds them at once; less the longer it has waited, since under
   * steady load the bucket never fills up, and it would wait for ever.
   */
  private missing(cost: number, priority: Priority, since: number): number {
    const patience = Math.max(0, 1 - (this.last - since) / BATCH_PATIENCE_MS);
    const left = isBatch(priority) ? this.burst * URGENT_RESERVE_SHARE * patience : 0;
    return Math.min(cost + left, this.burst) - this.tokens;
  }

  private blockedFor(priority: Priority): number {
    const until = isBatch(priority) ? Math.max(this.blockedUntil, this.batchBlockedUntil) : this.blockedUntil;
    return until - this.clock.now();
  }

  private async pump(): Promise<void> {
    if (this.pumping) return;
    this.pumping = true;
    while (this.waiters.length > 0) {
      this.refill();
      const next = this.waiters[0]!;
      const missing = this.missing(next.cost, next.priority, next.since);
      const wait = Math.max(this.blockedFor(next.priority), (missing * 1000) / this.rate);
      if (wait > 0) {
        // Somebody more urgent may come in the meantime, and need less.
        await this.clock.sleep(Math.min(RATE_CHECK_PERIOD_MS, Math.max(1, Math.ceil(wait))));
        continue;
      }
      this.waiters.shift();
      this.tokens -= next.cost;
      next.go();
    }
    this.pumping = false;
  }
}
