/** A stand-in of the clock. */
import type { Clock } from '../src/net/clock.js';

interface Timer {
  at: number;
  fire: () => void;
}

/** Time that passes only when a test says so. */
export class FakeClock implements Clock {
  private time = 1000;
  /** Times at which something is due, the next one last. */
  private readonly times: number[] = [];
  private readonly due = new Map<number, Set<Timer>>();

  now(): number {
    return this.time;
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

  /** Does it when the time has come, unless the function that it returns is called before. */
  after(ms: number, fire: () => void): () => void {
    const timer: Timer = { at: this.time + Math.max(0, ms), fire };
    this.add(timer);
    return () => void this.due.get(timer.at)?.delete(timer);
  }

  private add(timer: Timer): void {
    const known = this.due.get(timer.at);
    if (known !== undefined) {
      known.add(timer);
      return;
    }
    this.due.set(timer.at, new Set([timer]));
    let [from, to] = [0, this.times.length];
    while (from < to) {
      const middle = (from + to) >> 1;
      if (this.times[middle]! > timer.at) from = middle + 1;
      else to = middle;
    }
    this.times.splice(from, 0, timer.at);
  }

  /** Lets time pass, with all that happens in it, in order. */
  async advance(ms: number): Promise<void> {
    const end = this.time + ms;
    await settle();
    for (let at = this.times.at(-1); at !== undefined && at <= end; at = this.times.at(-1)) {
      const timers = [...this.due.get(at)!];
      if (timers.length === 0) {
        this.due.delete(at);
        this.times.pop();
        continue;
      }
      this.time = Math.max(this.time, at);
      for (const timer of timers) {
        // One may have cancelled another.
        if (this.due.get(at)?.delete(timer)) timer.fire();
      }
      await settle();
    }
    this.time = end;
  }
}

/** Lets all promises that can go on do so. */
async function settle(): Promise<void> {
  for (let i = 0; i < 3; i++) await new Promise<void>((resolve) => setImmediate(resolve));
}
