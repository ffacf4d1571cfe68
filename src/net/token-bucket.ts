/** A rate limit shared by all callers of one service: tokens, a queue by priority, and a pause after a 429. */
import {
  BATCH_PATIENCE_MS,
  RATE_CHECK_PERIOD_MS,
  RATE_DECREASE,
  RATE_INCREASE,
  URGENT_RESERVE_SHARE,
  URGENT_RETRY_SHARE,
} from '../constants/store.js';
import type { Clock } from './clock.js';

/**
 * Waiters of a lower number go first. `start` is for services and gangs, and what makes room for them; `record` for the
 * exits of batch work, and for reads; `background` for the starts of batch work.
 */
export const Priority = { lease: 0, cancel: 1, accept: 2, start: 3, record: 4, background: 5 } as const;
/** One of the priorities. */
export type Priority = (typeof Priority)[keyof typeof Priority];

/**
 * The queue position of a priority. Exits and starts of batch work take turns as they come: while exits went first, a burst of
 * them kept all starts waiting for tens of seconds in a cluster with free resources.
 */
const queueRankOf = (priority: Priority): number => Math.min(priority, Priority.record);

/** Work that may wait: exits and starts of batch tasks, and reads. */
export const isBatch = (priority: Priority): boolean => priority >= Priority.record;

interface Waiter {
  priority: Priority;
  /** Tokens. */
  cost: number;
  /** Monotonic ms. */
  waitingSince: number;
  grant: () => void;
}

/** Grants tokens in the order of priority, at a rate that adapts to the service's 429s. */
export class TokenBucket {
  private tokens: number;
  /** Monotonic ms of the last refill. */
  private refilledAt: number;
  /** Monotonic ms before which nothing, and before which no batch work, is let through. */
  private blockedUntil = 0;
  private batchBlockedUntil = 0;
  /** By rank, and within a rank in the order of arrival. */
  private waiters: Waiter[] = [];
  private isGranting = false;
  /** Tokens a second at present, between `minRate` and `maxRate`. */
  private rate: number;

  /**
   * The limit is shared by all nodes, which are rarely all busy: each goes up to `maxRate` by itself, and after a 429 down
   * towards `minRate`, its even share. Rates in tokens a second, `burst` in tokens.
   */
  constructor(
    private readonly clock: Clock,
    private readonly maxRate: number,
    private readonly burst: number,
    private readonly minRate: number = maxRate,
  ) {
    this.rate = maxRate;
    this.tokens = burst;
    this.refilledAt = clock.now();
  }

  /**
   * The service responded that the limit, which all nodes share, is reached. Batch work then pauses for `ms`, in every node that gets
   * such a response; urgent work tries again much sooner, and so finds what the others leave.
   */
  backOff(ms: number, priority: Priority): void {
    const now = this.clock.now();
    if (isBatch(priority)) this.batchBlockedUntil = Math.max(this.batchBlockedUntil, now + ms);
    else this.blockedUntil = Math.max(this.blockedUntil, now + ms * URGENT_RETRY_SHARE);
    this.rate = Math.max(this.minRate, this.rate * RATE_DECREASE);
  }

  /** Resolves when `cost` tokens have been taken. */
  take(cost: number, priority: Priority): Promise<void> {
    this.refill();
    // Urgent work does not wait behind batch work that the bucket has too little for.
    const rank = queueRankOf(priority);
    const isFirst = this.waiters.length === 0 || queueRankOf(this.waiters[0]!.priority) > rank;
    if (isFirst && this.missingTokens(cost, priority, this.refilledAt) <= 0 && this.blockedMs(priority) <= 0) {
      this.tokens -= cost;
      return Promise.resolve();
    }
    return new Promise((grant) => {
      this.enqueue({ priority, cost, waitingSince: this.refilledAt, grant });
      void this.grantInOrder();
    });
  }

  private enqueue(waiter: Waiter): void {
    const rank = queueRankOf(waiter.priority);
    let index = this.waiters.length;
    while (index > 0 && queueRankOf(this.waiters[index - 1]!.priority) > rank) index--;
    this.waiters.splice(index, 0, waiter);
  }

  private refill(): void {
    const now = this.clock.now();
    const seconds = (now - this.refilledAt) / 1000;
    this.tokens = Math.min(this.burst, this.tokens + seconds * this.rate);
    this.rate = Math.min(this.maxRate, this.rate + seconds * this.maxRate * RATE_INCREASE);
    this.refilledAt = now;
  }

  /**
   * Batch work leaves some tokens, so that urgent work finds them at once; fewer the longer it has waited, since under steady load the
   * bucket never fills up, and it would wait for ever.
   */
  private missingTokens(cost: number, priority: Priority, waitingSince: number): number {
    const reserveShare = Math.max(0, 1 - (this.refilledAt - waitingSince) / BATCH_PATIENCE_MS);
    const reserve = isBatch(priority) ? this.burst * URGENT_RESERVE_SHARE * reserveShare : 0;
    return Math.min(cost + reserve, this.burst) - this.tokens;
  }

  /** ms for which the priority is still blocked; 0 or less: it isn't. */
  private blockedMs(priority: Priority): number {
    const until = isBatch(priority) ? Math.max(this.blockedUntil, this.batchBlockedUntil) : this.blockedUntil;
    return until - this.clock.now();
  }

  private async grantInOrder(): Promise<void> {
    if (this.isGranting) return;
    this.isGranting = true;
    while (this.waiters.length > 0) {
      this.refill();
      const next = this.waiters[0]!;
      const missing = this.missingTokens(next.cost, next.priority, next.waitingSince);
      const waitMs = Math.max(this.blockedMs(next.priority), (missing * 1000) / this.rate);
      if (waitMs > 0) {
        // More urgent work may arrive in the meantime, and need less.
        await this.clock.sleep(Math.min(RATE_CHECK_PERIOD_MS, Math.max(1, Math.ceil(waitMs))));
        continue;
      }
      this.waiters.shift();
      this.tokens -= next.cost;
      next.grant();
    }
    this.isGranting = false;
  }
}
