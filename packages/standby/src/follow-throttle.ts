/**
 * How often a follower sends requests. Following must not cost a small machine its other work, so it is throttled, and at last
 * suspended, when the process's own timers fire late, and resumes in the same steps when they have been in time for a while.
 */

/** Rate of requests: the normal one, a quarter of it, or none; takeovers then start from the records alone. */
export type FollowStage = 'following' | 'throttled' | 'suspended';

const STAGES: readonly FollowStage[] = ['following', 'throttled', 'suspended'];

/** When the stage changes. */
export interface FollowThrottleLimits {
  /** Lateness of a timer, ms, from which on a tick counts as late. */
  readonly lateThresholdMs: number;
  /** Late ticks in a row that move one stage down, and ticks in time that move one up. */
  readonly lateTicksToThrottle: number;
  readonly timelyTicksToRecover: number;
}

/** On a twentieth of a core a request may take 100 ms; more than a quarter of a second is a queue. */
const DEFAULT_FOLLOW_THROTTLE_LIMITS: FollowThrottleLimits = {
  lateThresholdMs: 250,
  lateTicksToThrottle: 3,
  timelyTicksToRecover: 40,
};

const THROTTLED_PERIOD_FACTOR = 4;

/** Starts in the stage `following`; each change moves by one stage. */
export class FollowThrottle {
  private stageIndex = 0;
  private lateTicks = 0;
  private timelyTicks = 0;
  private ticks = 0;

  constructor(private readonly bounds: FollowThrottleLimits = DEFAULT_FOLLOW_THROTTLE_LIMITS) {}

  get stage(): FollowStage {
    return STAGES[this.stageIndex]!;
  }

  /** One tick of a timer that fired so late. Returns the stage if it has changed. */
  recordTick(latenessMs: number): FollowStage | undefined {
    this.ticks++;
    const isLate = latenessMs >= this.bounds.lateThresholdMs;
    this.lateTicks = isLate ? this.lateTicks + 1 : 0;
    this.timelyTicks = isLate ? 0 : this.timelyTicks + 1;
    if (this.lateTicks >= this.bounds.lateTicksToThrottle) return this.move(1);
    if (this.timelyTicks >= this.bounds.timelyTicksToRecover) return this.move(-1);
    return undefined;
  }

  private move(by: 1 | -1): FollowStage | undefined {
    this.lateTicks = 0;
    this.timelyTicks = 0;
    const next = Math.min(STAGES.length - 1, Math.max(0, this.stageIndex + by));
    if (next === this.stageIndex) return undefined;
    this.stageIndex = next;
    return this.stage;
  }

  /** Whether requests may be sent at this tick. */
  get canRequest(): boolean {
    if (this.stage === 'suspended') return false;
    return this.stage === 'following' || this.ticks % THROTTLED_PERIOD_FACTOR === 0;
  }
}
