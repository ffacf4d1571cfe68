/**
 * What is known of the jobs before a waiting one. That a job was cancelled or is done is final, however it was learnt; how a
 * job ended that is gone from the copy of the live records has to be read, unless a peer has told.
 */
import type { Book } from '../ledger/book.js';
import { decodeEnded, endedKey, jobKey } from '../ledger/records.js';
import { Priority } from '../net/token-bucket.js';
import type { StateClient } from '../state/client.js';
import type { Committer } from '../state/committer.js';
import type { Replica } from '../state/replica.js';

/** `unknown`: not among the live jobs, and nothing says whether or how it has ended. */
export type JobStanding = 'open' | 'done' | 'cancelled' | 'unknown';

/** What is known of all jobs before one, directly or through others. */
export interface Ancestry {
  isCancelled: boolean;
  /** Those of which it is not known how they have ended. */
  unknown: string[];
}

export interface PredecessorStatesDependencies {
  book: Book;
  replica: Replica;
  committer: Committer;
  client: StateClient;
}

export class PredecessorStates {
  /** Final records that are being read. */
  private readonly reading = new Map<string, Promise<void>>();

  constructor(private readonly dependencies: PredecessorStatesDependencies) {}

  standingOf(ref: string): JobStanding {
    const { book, replica, committer } = this.dependencies;
    const record = book.jobs.get(ref)?.record;
    if (record !== undefined) return record.phase === 'withdrawn' ? 'cancelled' : 'open';
    const ended = committer.read(endedKey(ref)).value;
    if (ended !== undefined) return decodeEnded(ended).phase === 'done' ? 'done' : 'cancelled';
    // A record that can't be read is open for all that is known.
    return replica.get(jobKey(ref)).value === undefined ? 'unknown' : 'open';
  }

  /** May a job with these predecessors start, or never? */
  standingOfAll(predecessors: readonly string[]): JobStanding {
    const standings = predecessors.map((each) => this.standingOf(each));
    if (standings.includes('cancelled')) return 'cancelled';
    if (standings.includes('unknown')) return 'unknown';
    return standings.includes('open') ? 'open' : 'done';
  }

  /** Looks through all jobs before one that names these. */
  ancestryOf(predecessors: readonly string[]): Ancestry {
    const { pipelines } = this.dependencies.book;
    const seen = new Set(predecessors);
    const unknown: string[] = [];
    for (const ref of seen) {
      const standing = this.standingOf(ref);
      if (standing === 'cancelled') return { isCancelled: true, unknown };
      if (standing === 'unknown') unknown.push(ref);
      // A set hands out what is added to it while it is looked through.
      for (const each of pipelines.predecessorsOf(ref)) seen.add(each);
    }
    return { isCancelled: false, unknown };
  }

  /** Reads how jobs have ended; what can't be read stays unknown. */
  async learn(refs: readonly string[]): Promise<void> {
    await Promise.all(refs.map((ref) => this.read(ref)));
  }

  private read(ref: string): Promise<void> {
    const running = this.reading.get(ref);
    if (running !== undefined) return running;
    const { client, committer } = this.dependencies;
    const reading = client
      .get(endedKey(ref), Priority.start)
      .then((row) => committer.remember(endedKey(ref), row))
      .catch(() => undefined)
      .finally(() => this.reading.delete(ref));
    this.reading.set(ref, reading);
    return reading;
  }
}
