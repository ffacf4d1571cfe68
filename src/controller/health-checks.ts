/** Turns worker reports and deaths of tasks into checks of the happiness of service tasks. */
import type { Book, Place } from '../ledger/book.js';
import { parseShard, shardName } from '../ledger/records.js';
import type { Clock } from '../net/clock.js';
import type { Happiness } from '../placement/happiness.js';
import type { Report } from '../workers/report.js';

export interface HealthChecksDependencies {
  book: Book;
  happiness: Happiness;
  clock: Clock;
}

export class HealthChecks {
  constructor(private readonly dependencies: HealthChecksDependencies) {}

  /** A worker has reported: each task that it runs is healthy. */
  reported(report: Report): void {
    for (const [name, task] of report.tasks) {
      const shard = parseShard(name);
      if (shard !== undefined && task.phase === 'running') this.note(shard.ref, shard.shard, true);
    }
  }

  /** A task died unfinished. */
  died({ ref, shard }: Place): void {
    this.note(ref, shard, false);
  }

  private note(ref: string, shard: number, healthy: boolean): void {
    const { book, happiness, clock } = this.dependencies;
    if (book.jobs.get(ref)?.record.spec.Shape !== 'service') return;
    happiness.note(shardName(ref, shard), healthy, clock.now());
  }
}
