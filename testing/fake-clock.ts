/** A fake clock that tests advance. */
import type { Clock } from '../src/net/clock.js';

interface Timer {
  at: number;
  fire: () => void;
}

/** Time that passes only in `advance` and `spend`. */
export class FakeClock implements Clock {
  private time = 1000;
  /** Times at which timers are due, in descending order. */
  private readonly dueTimes: number[] = [];
  private readonly timersByTime = new Map<number, Set<Timer>>();

  now(): number {
    return this.time;
  }

  /** Lets time pass within the current turn of the event loop, as work on a processor does; timers then fire late. */
  spend(ms: number): void {
    this.time += ms;
  }

  wall(): number {
    return 1_700_000_000_000 + this.time;
  }

  sleep(ms: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve();
    return new Promise((resolve) => {
      const finish = () => {
        signal?.removeEventListener('abort', finish);
        cancel();
        resolve();
      };
      const cancel = this.after(ms, finish);
      signal?.addEventListener('abort', finish);
    });
  }

  /** Calls `fire` after the given time. Returns a function that cancels it. */
  after(ms: number, fire: () => void): () => void {
    const timer: Timer = { at: this.time + Math.max(0, ms), fire };
    this.add(timer);
    return () => void this.timersByTime.get(timer.at)?.delete(timer);
  }

  private add(timer: Timer): void {
    const sameTime = this.timersByTime.get(timer.at);
    if (sameTime !== undefined) {
      sameTime.add(timer);
      return;
    }
    this.timersByTime.set(timer.at, new Set([timer]));
    let [low, high] = [0, this.dueTimes.length];
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.dueTimes[middle]! > timer.at) low = middle + 1;
      else high = middle;
    }
    this.dueTimes.splice(low, 0, timer.at);
  }

  /** Advances the time, and fires the timers that fall due in order. */
  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    await runPendingPromises();
    for (let at = this.dueTimes.at(-1); at !== undefined && at <= end; at = this.dueTimes.at(-1)) {
      const timers = [...this.timersByTime.get(at)!];
      if (timers.length === 0) {
        this.timersByTime.delete(at);
        this.dueTimes.pop();
        continue;
      }
      this.time = Math.max(this.time, at);
      for (const timer of timers) {
        // An earlier timer may have cancelled this one.
        if (this.timersByTime.get(at)?.delete(timer)) timer.fire();
      }
      await runPendingPromises();
    }
    this.time = Math.max(this.time, end);
  }
}

/** Lets the continuations of settled promises run. */
async function runPendingPromises(): Promise<void> {
  for (let i = 0; i < 3; i++) await new Promise<void>((resolve) => setImmediate(resolve));
}
