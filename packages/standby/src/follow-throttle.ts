/**
 * Throttles the requests of a follower. Following must not starve the other work of a small machine, so requests are throttled
 * and then suspended when the process's own timers fire late; they resume in the same stages after a while of timely ticks.
 */

/** Request rate: normal, a quarter of it, or none; when suspended, takeovers start from the records alone. */
export type FollowStage = 'following' | 'throttled' | 'suspended';

const STAGES: readonly FollowStage[] = ['following', 'throttled', 'suspended'];

/** Thresholds at which the stage changes. */
export interface FollowThrottleLimits {
  /** Lateness of a timer in ms from which a tick counts as late. */
  readonly lateThresholdMs: number;
  /** Consecutive late ticks that move one stage towards `suspended`, and timely ticks that move one stage back. */
  readonly lateTicksToThrottle: number;
  readonly timelyTicksToRecover: number;
}

/** On a twentieth of a core a request may take 100 ms; a delay above 250 ms indicates a backlog. */
const DEFAULT_FOLLOW_THROTTLE_LIMITS: FollowThrottleLimits = {
  lateThresholdMs: 250,
  lateTicksToThrottle: 3,
  timelyTicksToRecover: 40,
};

const THROTTLED_PERIOD_FACTOR = 4;

/** Starts in stage `following`; each change moves by one stage. */
export class FollowThrottle {
  private stageIndex = 0;
  private lateTicks = 0;
  private timelyTicks = 0;
  private ticks = 0;

  constructor(private readonly limits: FollowThrottleLimits = DEFAULT_FOLLOW_THROTTLE_LIMITS) {}

  get stage(): FollowStage {
    return STAGES[this.stageIndex]!;
  }

  /** Records a timer tick that fired `latenessMs` late. Returns the new stage if it has changed. */
  recordTick(latenessMs: number): FollowStage | undefined {
    this.ticks++;
    const isLate = latenessMs >= this.limits.lateThresholdMs;
    this.lateTicks = isLate ? this.lateTicks + 1 : 0;
    this.timelyTicks = isLate ? 0 : this.timelyTicks + 1;
    if (this.lateTicks >= this.limits.lateTicksToThrottle) return this.moveStage(1);
    if (this.timelyTicks >= this.limits.timelyTicksToRecover) return this.moveStage(-1);
    return undefined;
  }

  private moveStage(by: 1 | -1): FollowStage | undefined {
    this.lateTicks = 0;
    this.timelyTicks = 0;
    const next = Math.min(STAGES.length - 1, Math.max(0, this.stageIndex + by));
    if (next === this.stageIndex) return undefined;
    this.stageIndex = next;
    return this.stage;
  }

  /** Whether requests may be sent on the current tick. */
  get canRequest(): boolean {
    if (this.stage === 'suspended') return false;
    return this.stage === 'following' || this.ticks % THROTTLED_PERIOD_FACTOR === 0;
  }
}
