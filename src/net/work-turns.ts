/** Splits long work into turns of the event loop, so that requests, answers and lease renewals are served in between. */
import { MAX_ALLOWED_TURN_MS, MAX_WORK_TURN_MS, WORK_TURN_PAUSE_MS } from '../constants/work-turns.js';
import type { Invariants } from '../logging/invariants.js';
import type { Clock } from './clock.js';

/** Which work is split, and where a turn that is far too long is reported. */
export interface WorkTurnsOptions {
  /** Names the work in reports. */
  work: string;
  clock: Clock;
  invariants: Invariants;
}

/** The turns of one kind of work, of which only one piece runs at a time. All times are monotonic ms. */
export class WorkTurns {
  private startedAtMs = -Infinity;
  /** Duration of the finished turns of the current piece of work. */
  private finishedMs = 0;
  private longestMs = 0;

  constructor(private readonly options: WorkTurnsOptions) {}

  /** Begins the first turn of a piece of work. */
  begin(): void {
    this.finishedMs = 0;
    this.startedAtMs = this.options.clock.now();
  }

  /** Whether the current turn has lasted long enough, and `next` should be awaited before further work. */
  get isOver(): boolean {
    return this.options.clock.now() - this.startedAtMs >= MAX_WORK_TURN_MS;
  }

  /** Ends the turn, and resolves when the next one has begun. The state of the program may have changed in between. */
  async next(): Promise<void> {
    this.finishTurn();
    await this.options.clock.sleep(WORK_TURN_PAUSE_MS);
    this.startedAtMs = this.options.clock.now();
  }

  /** Ends the piece of work, and returns the duration of all its turns. */
  end(): number {
    this.finishTurn();
    return this.finishedMs;
  }

  private finishTurn(): void {
    const { work, clock, invariants } = this.options;
    const turnMs = clock.now() - this.startedAtMs;
    this.finishedMs += turnMs;
    this.longestMs = Math.max(this.longestMs, turnMs);
    if (turnMs > MAX_ALLOWED_TURN_MS) {
      invariants.violated('no turn of work outlasts a health check', { work, turnMs: Math.round(turnMs) });
    }
  }

  /** Returns the duration of the longest turn since the last call. */
  takeLongestMs(): number {
    const { longestMs } = this;
    this.longestMs = 0;
    return longestMs;
  }
}
