/** A rate limiter shared by all callers of one service: a token bucket with a priority queue, and a pause after each 429. */
import {
  BATCH_RESERVE_DECAY_MS,
  RATE_CHECK_PERIOD_MS,
  RATE_DECREASE_FACTOR,
  RATE_RECOVERY_SHARE,
  URGENT_RESERVE_SHARE,
  URGENT_RETRY_SHARE,
} from '../constants/store.js';
import type { Clock } from './clock.js';

/**
 * Priorities of requests: lower numbers go first, except as stated at `queueRankOf`. `accept` is for accepting submissions;
 * `start` for starting services and gangs, and for the evictions that make room for them; `record` for exits of batch tasks, and
 * for reads; `background` for starts of batch tasks.
 */
export const Priority = { lease: 0, cancel: 1, accept: 2, start: 3, record: 4, background: 5 } as const;
/** One of the priorities. */
export type Priority = (typeof Priority)[keyof typeof Priority];

/**
 * The rank of a priority in the queue. Exits and starts of batch tasks share a rank and are served in order of arrival: if exits
 * went first, a burst of them could delay all starts for tens of seconds in a cluster with free resources.
 */
const queueRankOf = (priority: Priority): number => Math.min(priority, Priority.record);

/** Whether requests of the priority may wait: exits and starts of batch tasks, and reads. */
export const isBatch = (priority: Priority): boolean => priority >= Priority.record;

interface Waiter {
  priority: Priority;
  /** Number of tokens to take. */
  cost: number;
  /** Arrival of the request, monotonic ms. */
  waitingSince: number;
  grant: () => void;
}

/** Grants tokens in order of priority, at a rate that adapts to the service's 429 responses. */
export class TokenBucket {
  private tokens: number;
  /** Monotonic ms of the last refill. */
  private refilledAt: number;
  /** Monotonic ms before which no request, and no batch request, is granted. */
  private blockedUntil = 0;
  private batchBlockedUntil = 0;
  /** Ordered by rank, and within a rank by arrival. */
  private waiters: Waiter[] = [];
  private isGranting = false;
  /** The longest waits of granted requests since the last report, ms, by priority. */
  private longestWaits = new Map<Priority, number>();
  /** Current tokens per second, between `minRate` and `maxRate`. */
  private rate: number;

  /**
   * All nodes share the service's limit but are rarely all busy: each node's rate rises to `maxRate`, and drops after each 429
   * towards `minRate`, its equal share. Rates are in tokens per second, `burst` is in tokens.
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
   * To be called after a 429, by which the service reports that the limit shared by all nodes is reached. Batch requests of every
   * node that receives a 429 then pause for `ms`; urgent requests retry much sooner, and so get the tokens left by the others.
   */
  backOff(ms: number, priority: Priority): void {
    const now = this.clock.now();
    if (isBatch(priority)) this.batchBlockedUntil = Math.max(this.batchBlockedUntil, now + ms);
    else this.blockedUntil = Math.max(this.blockedUntil, now + ms * URGENT_RETRY_SHARE);
    this.rate = Math.max(this.minRate, this.rate * RATE_DECREASE_FACTOR);
  }

  /** Resolves once `cost` tokens have been taken. */
  take(cost: number, priority: Priority): Promise<void> {
    this.refill();
    // Urgent requests do not queue behind batch requests that wait for tokens.
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

  /** Returns the longest waits since the last call, ms, by priority; requests that still wait are included. */
  takeLongestWaits(): ReadonlyMap<Priority, number> {
    const { longestWaits } = this;
    this.longestWaits = new Map();
    for (const waiter of this.waiters) this.recordWait(longestWaits, waiter);
    return longestWaits;
  }

  private recordWait(longestWaits: Map<Priority, number>, { priority, waitingSince }: Waiter): void {
    const waitMs = this.clock.now() - waitingSince;
    longestWaits.set(priority, Math.max(waitMs, longestWaits.get(priority) ?? 0));
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
    this.rate = Math.min(this.maxRate, this.rate + seconds * this.maxRate * RATE_RECOVERY_SHARE);
    this.refilledAt = now;
  }

  /**
   * Tokens that the request still lacks. Batch requests leave a reserve of tokens for urgent requests. The reserve shrinks with
   * their waiting time: under steady load the bucket never fills up, and they would otherwise wait forever.
   */
  private missingTokens(cost: number, priority: Priority, waitingSince: number): number {
    const reserveShare = Math.max(0, 1 - (this.refilledAt - waitingSince) / BATCH_RESERVE_DECAY_MS);
    const reserve = isBatch(priority) ? this.burst * URGENT_RESERVE_SHARE * reserveShare : 0;
    return Math.min(cost + reserve, this.burst) - this.tokens;
  }

  /** ms for which the priority is still blocked; 0 or less if it is not. */
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
        // A more urgent request that needs fewer tokens may arrive in the meantime.
        await this.clock.sleep(Math.min(RATE_CHECK_PERIOD_MS, Math.max(1, Math.ceil(waitMs))));
        continue;
      }
      this.waiters.shift();
      this.recordWait(this.longestWaits, next);
      this.tokens -= next.cost;
      next.grant();
    }
    this.isGranting = false;
  }
}
