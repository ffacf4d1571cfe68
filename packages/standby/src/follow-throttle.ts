/**
 * How often a follower asks. Following must not cost a small machine its requests, so it slows down, and at last rests, when the
 * process's own timers come late, and goes on in the same steps when they have been in time for a while.
 */

/** Following: as often as meant. Slowed: a quarter as often. Resting: not at all; takeovers then start from the records alone. */
export type FollowingStage = 'following' | 'slowed' | 'resting';

const STAGES: readonly FollowingStage[] = ['following', 'slowed', 'resting'];

export interface PaceBounds {
  /** Lateness of a timer, ms, from which on a look counts as late. */
  readonly lateMs: number;
  /** Late looks in a row that move one stage down, looks in time that move one up. */
  readonly looksDown: number;
  readonly looksUp: number;
}

/** On a twentieth of a core a request may take 100 ms; more than a quarter of a second is a queue. */
export const DEFAULT_PACE_BOUNDS: PaceBounds = { lateMs: 250, looksDown: 3, looksUp: 40 };

const SLOWED_FACTOR = 4;

export class FollowingPace {
  private index = 0;
  private late = 0;
  private inTime = 0;
  private looks = 0;

  constructor(private readonly bounds: PaceBounds = DEFAULT_PACE_BOUNDS) {}

  get stage(): FollowingStage {
    return STAGES[this.index]!;
  }

  /** One turn of a timer that came so late. Returns the stage if it has changed. */
  look(latenessMs: number): FollowingStage | undefined {
    this.looks++;
    const isLate = latenessMs >= this.bounds.lateMs;
    this.late = isLate ? this.late + 1 : 0;
    this.inTime = isLate ? 0 : this.inTime + 1;
    if (this.late >= this.bounds.looksDown) return this.move(1);
    if (this.inTime >= this.bounds.looksUp) return this.move(-1);
    return undefined;
  }

  private move(by: 1 | -1): FollowingStage | undefined {
    this.late = 0;
    this.inTime = 0;
    const next = Math.min(STAGES.length - 1, Math.max(0, this.index + by));
    if (next === this.index) return undefined;
    this.index = next;
    return this.stage;
  }

  /** May the follower ask at this turn? */
  get mayAsk(): boolean {
    if (this.stage === 'resting') return false;
    return this.stage === 'following' || this.looks % SLOWED_FACTOR === 0;
  }
}
