/** Splits long work into turns of the event loop, so that requests, answers and lease renewals are served in between. */
import type { Clock } from './clock.js';

/** The turns of one kind of work, of which only one piece runs at a time. All times are monotonic ms. */
export class WorkTurns {
  private startedAtMs = -Infinity;
  /** Duration of the finished turns of the current piece of work. */
  private finishedMs = 0;
  private longestMs = 0;

  constructor(
    private readonly clock: Clock,
    private readonly maxTurnMs: number,
    /** Pause between two turns. */
    private readonly pauseMs: number,
  ) {}

  /** Begins the first turn of a piece of work. */
  begin(): void {
    this.finishedMs = 0;
    this.startedAtMs = this.clock.now();
  }

  /** Whether the current turn has lasted long enough, and `next` should be awaited before further work. */
  get isOver(): boolean {
    return this.clock.now() - this.startedAtMs >= this.maxTurnMs;
  }

  /** Ends the turn, and resolves when the next one has begun. The state of the program may have changed in between. */
  async next(): Promise<void> {
    this.finishTurn();
    await this.clock.sleep(this.pauseMs);
    this.startedAtMs = this.clock.now();
  }

  /** Ends the piece of work, and returns the duration of all its turns. */
  end(): number {
    this.finishTurn();
    return this.finishedMs;
  }

  private finishTurn(): void {
    const turnMs = this.clock.now() - this.startedAtMs;
    this.finishedMs += turnMs;
    this.longestMs = Math.max(this.longestMs, turnMs);
  }

  /** Returns the duration of the longest turn since the last call. */
  takeLongestMs(): number {
    const { longestMs } = this;
    this.longestMs = 0;
    return longestMs;
  }
}
