/** Ends jobs whose tasks are all over, and removes what is left of the records of ended jobs. */
import type { Book } from '../ledger/book.js';
import { endJob } from '../ledger/edits.js';
import { chunkKey, jobKey } from '../ledger/records.js';
import { Priority } from '../net/token-bucket.js';
import type { Committer, Draft } from '../state/committer.js';
import type { Replica } from '../state/replica.js';
import { LEADER, partitionRole, type Claims } from './claims.js';
import type { Log } from './log.js';

export interface JobCompletionDependencies {
  claims: Claims;
  book: Book;
  replica: Replica;
  committer: Committer;
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
    const { committer, log } = this.dependencies;
    const outcome = await committer.commit('end', Priority.record, (draft) => this.recordEnd(draft, ref));
    this.ending.delete(ref);
    if (outcome.kind === 'done') log.info({ job: ref }, 'job over');
  }

  private recordEnd(draft: Draft, ref: string): boolean {
    const { book, replica, maxTransactionWrites } = this.dependencies;
    const row = replica.get(jobKey(ref));
    const isWithdrawn = book.jobs.get(ref)?.record.phase === 'withdrawn';
    // What happened before a withdrawal must have been seen: a start that it didn't prevent may be in the ledger.
    if (isWithdrawn && replica.epoch < row.stamp) return false;
    return endJob(draft, ref, maxTransactionWrites);
  }

  /** Level-triggered: whatever was missed, the owner of a job's partition ends the job. */
  completeAll(): void {
    const { book, claims } = this.dependencies;
    for (const [ref, view] of book.jobs) {
      const isOver = view.placed === 0 && (view.record.phase !== 'active' || view.complete);
      if (isOver && this.isResponsible(ref)) void this.complete(ref);
    }
    if (claims.isLeader) this.sweepLedgers();
  }

  private isResponsible(ref: string): boolean {
    const { claims } = this.dependencies;
    const role = partitionRole(claims.partitionOf(ref));
    const isMine = claims.holding(role) !== undefined;
    return isMine || (claims.isLeader && claims.ownerOf(role) === undefined);
  }

  /** A job's record goes with its end, and its ledger can't change after: what is left of it is dropped. */
  private sweepLedgers(): void {
    const { book, claims, committer, maxTransactionWrites } = this.dependencies;
    for (const { ref, chunks } of book.leftChunks()) {
      void committer.commit('sweep', Priority.background, (draft) => {
        if (!claims.require(draft, LEADER) || draft.get(jobKey(ref)) !== undefined) return false;
        for (const chunk of chunks.slice(0, maxTransactionWrites)) draft.drop(chunkKey(ref, chunk));
        return true;
      });
    }
  }
}
