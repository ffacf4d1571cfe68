/** When the planner plans: soon after events, after a rest in proportion to the time that the last plan took. */
import {
  PLAN_GATHER_MS,
  PLAN_TICK_MS,
  PLANNING_TIME_SHARE,
  URGENT_PLANNING_TIME_SHARE,
} from '../constants/scheduling.js';
import type { Clock } from '../net/clock.js';
import { planRestMs } from './decisions/plan-rest.js';

/** The clock, and the plan to be made, which runs to its end before it returns. */
export interface PlanTimerDependencies {
  clock: Clock;
  plan: () => void;
}

/** Gathers events and starts plans. All times are steady ms. */
export class PlanTimer {
  private signal: AbortSignal | undefined;
  private nextPlanAtMs = Infinity;
  /** No plan is made before, whatever has happened. */
  private urgentRestUntilMs = -Infinity;
  /** No plan is made before for work that may wait. */
  private restUntilMs = -Infinity;

  constructor(private readonly dependencies: PlanTimerDependencies) {}

  /** Plans now and then even when nothing happens, until the signal aborts. No plan is made before it is called. */
  async run(signal: AbortSignal): Promise<void> {
    this.signal = signal;
    while (!signal.aborted) {
      await this.dependencies.clock.sleep(PLAN_TICK_MS, signal);
      this.planSoon();
    }
  }

  /** Something has changed: a plan is made soon, sooner if it is urgent, unless one is due earlier anyway. */
  planSoon(isUrgent = false): void {
    if (this.signal === undefined || this.signal.aborted) return;
    const nowMs = this.dependencies.clock.now();
    const atMs = Math.max(nowMs + PLAN_GATHER_MS, isUrgent ? this.urgentRestUntilMs : this.restUntilMs);
    if (atMs >= this.nextPlanAtMs) return;
    this.nextPlanAtMs = atMs;
    void this.dependencies.clock.sleep(atMs - nowMs, this.signal).then(() => {
      // An earlier plan has replaced this one.
      if (this.nextPlanAtMs !== atMs || this.signal?.aborted !== false) return;
      this.nextPlanAtMs = Infinity;
      this.planAndRest();
    });
  }

  private planAndRest(): void {
    const startedAtMs = this.dependencies.clock.now();
    this.dependencies.plan();
    const nowMs = this.dependencies.clock.now();
    const tookMs = nowMs - startedAtMs;
    // Changes come by the dozen a second: a plan that takes long is made more rarely, and takes them together.
    this.restUntilMs = nowMs + planRestMs(tookMs, PLANNING_TIME_SHARE);
    this.urgentRestUntilMs = nowMs + planRestMs(tookMs, URGENT_PLANNING_TIME_SHARE);
  }
}
