/** Ends jobs whose tasks are all over, and removes what is left of the records of ended jobs. */
import { END_WRITES } from '../constants.js';
import type { Book } from '../ledger/book.js';
import { endJob } from '../ledger/edits.js';
import { releaseJob } from '../ledger/pipeline-edits.js';
import { chunkKey, jobKey } from '../ledger/records.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { Committer } from '../state/committer.js';
import type { Draft } from '../state/draft.js';
import type { Replica } from '../state/replica.js';
import { LEADER, type Claims } from './claims.js';
import type { Log } from './log.js';
import type { PredecessorStates } from './predecessor-states.js';
import { isResponsibleFor } from './responsibility.js';

export interface JobCompletionDependencies {
  claims: Claims;
  book: Book;
  replica: Replica;
  committer: Committer;
  states: PredecessorStates;
  clock: Clock;
  log: Log;
  /** Changes that one transaction may hold. */
  maxTransactionWrites: number;
}

export class JobCompletion {
  /** Jobs whose end is being recorded. */
  private readonly ending = new Set<string>();

  constructor(private readonly dependencies: JobCompletionDependencies) {}

  /** Records the end of a job whose tasks are all over. Any node may: the record decides. */
  async complete(ref: string): Promise<void> {
    if (this.ending.has(ref)) return;
    this.ending.add(ref);
    const { book, committer, log } = this.dependencies;
    // Others wait for the end of a job in a pipeline, and its user for the end of the pipeline.
    const priority = book.pipelines.hasSuccessors(ref) ? Priority.start : Priority.record;
    const outcome = await committer.commit('end', priority, (draft) => this.recordEnd(draft, ref));
    this.ending.delete(ref);
    if (outcome.kind === 'done') log.info({ job: ref }, 'job over');
  }

  private recordEnd(draft: Draft, ref: string): boolean {
    const { book, replica, clock, maxTransactionWrites } = this.dependencies;
    const row = replica.get(jobKey(ref));
    const isWithdrawn = book.jobs.get(ref)?.record.phase === 'withdrawn';
    // What happened before a withdrawal must have been seen: a start that it didn't prevent may be in the ledger.
    if (isWithdrawn && replica.epoch < row.stamp) return false;
    const next = isWithdrawn ? [] : this.successorsToRelease(ref);
    if (!endJob(draft, ref, maxTransactionWrites - next.length)) return false;
    for (const successor of next) releaseJob(draft, successor, Math.round(clock.wall()));
    return true;
  }

  /** Jobs that wait for this one alone, as many as fit into its transaction; others are let start by themselves. */
  private successorsToRelease(ref: string): string[] {
    const { book, states, maxTransactionWrites } = this.dependencies;
    const { pipelines } = book;
    const waitsForNoOther = (successor: string): boolean => {
      const others = pipelines.predecessorsOf(successor).filter((each) => each !== ref);
      return states.standingOfAll(others) === 'done';
    };
    const next: string[] = [];
    for (const successor of pipelines.successorsOf(ref)) {
      if (next.length === maxTransactionWrites - END_WRITES) break;
      if (waitsForNoOther(successor)) next.push(successor);
    }
    return next;
  }

  /** Level-triggered: whatever was missed, the owner of a job's partition ends the job. */
  completeAll(): void {
    const { book, claims } = this.dependencies;
    for (const [ref, view] of book.jobs) {
      const isOver = view.placed === 0 && (view.record.phase === 'withdrawn' || view.complete);
      if (isOver && isResponsibleFor(claims, ref)) void this.complete(ref);
    }
    if (claims.isLeader) this.sweepLedgers();
  }

  /** A job's record goes with its end, and its ledger can't change after: what is left of it is dropped. */
  private sweepLedgers(): void {
    const { book, claims, committer, maxTransactionWrites } = this.dependencies;
    for (const { ref, chunks } of book.leftChunks()) {
      void committer.commit('sweep', Priority.background, (draft) => {
        if (!claims.require(draft, LEADER) || draft.get(jobKey(ref)) !== undefined) return false;
        // The sweep before this one may have dropped some, or all, in the meantime.
        const left = chunks.map((chunk) => chunkKey(ref, chunk)).filter((key) => draft.peek(key) !== undefined);
        for (const key of left.slice(0, maxTransactionWrites)) draft.drop(key);
        return left.length > 0;
      });
    }
  }
}
