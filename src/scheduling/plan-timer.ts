/** Schedules the plans: shortly after events, with a pause in proportion to the duration of the previous plan. */
import {
  PLAN_BATCHING_MS,
  PLAN_PERIOD_MS,
  PLANNING_TIME_SHARE,
  URGENT_PLANNING_TIME_SHARE,
} from '../constants/scheduling.js';
import type { Invariants } from '../logging/invariants.js';
import type { Clock } from '../net/clock.js';
import { WorkTurns } from '../net/work-turns.js';
import { planPauseMs } from './decisions/plan-pause.js';

/** The clock, and the function that makes a plan in one turn or several. */
export interface PlanTimerDependencies {
  clock: Clock;
  invariants: Invariants;
  plan: (turns: WorkTurns) => Promise<void>;
}

/** Combines events into plans. All times are monotonic ms. */
export class PlanTimer {
  private signal: AbortSignal | undefined;
  private nextPlanAtMs = Infinity;
  /** No plan is made before this time, urgent or not. */
  private urgentPausedUntilMs = -Infinity;
  /** No plan is made before this time unless it is urgent. */
  private pausedUntilMs = -Infinity;

  private readonly turns: WorkTurns;
  private isPlanning = false;
  /** Requested while a plan is being made. */
  private requestedPlan: 'none' | 'any' | 'urgent' = 'none';

  constructor(private readonly dependencies: PlanTimerDependencies) {
    const { clock, invariants } = dependencies;
    this.turns = new WorkTurns({ work: 'plan', clock, invariants });
  }

  /** Returns for how long a plan has kept the event loop busy at most since the last call, ms. */
  takeLongestTurnMs(): number {
    return this.turns.takeLongestMs();
  }

  /** Plans periodically, even without events, until the signal aborts. No plan is made before this method is called. */
  async run(signal: AbortSignal): Promise<void> {
    this.signal = signal;
    while (!signal.aborted) {
      await this.dependencies.clock.sleep(PLAN_PERIOD_MS, signal);
      this.planSoon();
    }
  }

  /** Schedules a plan, unless one is already due at that time or earlier. Urgent plans have a shorter pause. */
  planSoon(isUrgent = false): void {
    if (this.signal === undefined || this.signal.aborted) return;
    if (this.isPlanning) {
      if (this.requestedPlan !== 'urgent') this.requestedPlan = isUrgent ? 'urgent' : 'any';
      return;
    }
    const nowMs = this.dependencies.clock.now();
    const atMs = Math.max(nowMs + PLAN_BATCHING_MS, isUrgent ? this.urgentPausedUntilMs : this.pausedUntilMs);
    if (atMs >= this.nextPlanAtMs) return;
    this.nextPlanAtMs = atMs;
    void this.dependencies.clock.sleep(atMs - nowMs, this.signal).then(() => {
      // A plan was scheduled for an earlier time instead, or the planner has stopped.
      if (this.nextPlanAtMs !== atMs || this.signal?.aborted !== false) return;
      this.nextPlanAtMs = Infinity;
      void this.planAndPause();
    });
  }

  private async planAndPause(): Promise<void> {
    const { clock, plan } = this.dependencies;
    this.isPlanning = true;
    this.turns.begin();
    try {
      await plan(this.turns);
    } finally {
      const tookMs = this.turns.end();
      const nowMs = clock.now();
      // Dozens of changes arrive per second: the longer plans take, the more rarely they run, each for all changes in between.
      this.pausedUntilMs = nowMs + planPauseMs(tookMs, PLANNING_TIME_SHARE);
      this.urgentPausedUntilMs = nowMs + planPauseMs(tookMs, URGENT_PLANNING_TIME_SHARE);
      this.isPlanning = false;
      this.planAsRequested();
    }
  }

  private planAsRequested(): void {
    const requested = this.requestedPlan;
    this.requestedPlan = 'none';
    if (requested !== 'none') this.planSoon(requested === 'urgent');
  }
}
