/** Counts what becomes of users' requests and of health checks, a line for each few seconds of a run. */
import type { Clock } from '../src/net/clock.js';
import { EventLoopDelay } from '../src/net/event-loop-delay.js';
import type { LoadBalancer } from './load-balancer.js';

const WINDOW_MS = 5000;
const MS_PER_SECOND = 1000;

/** What happened in one window. */
class Window {
  readonly queries: Record<string, number> = {};
  readonly probes: Record<string, number> = {};
}

const increment = (counts: Record<string, number>, name: string): void => {
  counts[name] = (counts[name] ?? 0) + 1;
};

/** The outcomes of queries and health checks over time, beside what the load balancer knows. */
export class RequestTrace {
  /** One JSON object a window. */
  readonly lines: string[] = [];
  private window = new Window();
  private readonly startedAt: number;
  private readonly delay: EventLoopDelay;

  constructor(
    private readonly clock: Clock,
    private readonly balancer: () => LoadBalancer,
  ) {
    this.startedAt = clock.now();
    this.delay = new EventLoopDelay(clock);
  }

  /** `outcome`: the status of the answer, or why there was none. */
  queryEnded(outcome: string): void {
    increment(this.window.queries, outcome);
  }

  /** Adds lines until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    this.balancer().onProbe = (node, outcome) => increment(this.window.probes, `n${node} ${outcome}`);
    void this.delay.run(signal);
    while (!signal.aborted) {
      await this.clock.sleep(WINDOW_MS, signal);
      this.endWindow();
    }
  }

  private endWindow(): void {
    const { queries, probes } = this.window;
    this.window = new Window();
    this.lines.push(
      JSON.stringify({
        s: Math.round((this.clock.now() - this.startedAt) / MS_PER_SECOND),
        queries,
        probes,
        userConnections: this.balancer()
          .connectionCounts()
          .map((count) => count ?? null),
        /** A delay of the stand-ins themselves would look like a controller that does not answer. */
        standInDelayMs: Math.round(this.delay.takeLongestMs()),
      }),
    );
  }
}
