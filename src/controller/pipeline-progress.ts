/**
 * Moves on jobs that wait for others: lets them start when the last job before them is done, and cancels them with any job
 * before them. Driven by changes of the records, and by a sweep that finds what an event has missed. Any node may take a
 * step, since each is one conditional write; the node responsible for a job's records does.
 */
import type { Book } from '../ledger/book.js';
import { cancelWaitingJob, releaseJob } from '../ledger/pipeline-edits.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { Committer } from '../state/committer.js';
import type { Draft } from '../state/draft.js';
import type { Claims } from './claims.js';
import type { Log } from './log.js';
import type { PredecessorStates } from './predecessor-states.js';
import { isResponsibleFor } from './responsibility.js';

export interface PipelineProgressDependencies {
  claims: Claims;
  book: Book;
  committer: Committer;
  states: PredecessorStates;
  clock: Clock;
  log: Log;
}

export class PipelineProgress {
  /** Jobs of which a step is being recorded. */
  private readonly moving = new Set<string>();

  constructor(private readonly dependencies: PipelineProgressDependencies) {}

  /** The record of a job has changed, or is gone. */
  jobChanged(ref: string): void {
    const { book } = this.dependencies;
    const { pipelines } = book;
    if (pipelines.waitingCount === 0) return;
    if (pipelines.isWaiting(ref)) this.consider(ref);
    const record = book.jobs.get(ref)?.record;
    if (record === undefined) for (const each of [...pipelines.successorsOf(ref)]) this.consider(each);
    else if (record.phase === 'withdrawn') this.considerAllAfter(ref);
  }

  /** Level-triggered: whatever was missed. */
  sweep(): void {
    for (const ref of [...this.dependencies.book.pipelines.waitingJobs]) this.consider(ref);
  }

  private considerAllAfter(ref: string): void {
    const { pipelines } = this.dependencies.book;
    const found = new Set(pipelines.successorsOf(ref));
    for (const each of found) for (const next of pipelines.successorsOf(each)) found.add(next);
    for (const each of found) if (this.isOurs(each)) this.cancel(each);
  }

  /** Is the next step of a waiting job to be taken by this node, and not being taken yet? */
  private isOurs(ref: string): boolean {
    const { claims } = this.dependencies;
    return !this.moving.has(ref) && claims.inTouch && isResponsibleFor(claims, ref);
  }

  /**
   * Takes the step that a waiting job is ready for, if this node is to. Only the jobs that it names are looked at, so that a sweep
   * over a long chain costs its length; a cancellation that no event has told of goes from one job to the next.
   */
  private consider(ref: string): void {
    const { book, states } = this.dependencies;
    if (!this.isOurs(ref)) return;
    switch (states.standingOfAll(book.pipelines.predecessorsOf(ref))) {
      case 'done':
        return this.move(ref, 'release', (draft) => this.release(draft, ref));
      case 'cancelled':
        return this.cancel(ref);
      case 'unknown':
        return this.learn(ref);
      case 'open':
        return;
    }
  }

  /** Reads how the jobs that a waiting one names have ended, and takes the step that follows. */
  private learn(ref: string): void {
    const { book, states, log } = this.dependencies;
    const predecessors = book.pipelines.predecessorsOf(ref);
    this.moving.add(ref);
    void states.learn(predecessors.filter((each) => states.standingOf(each) === 'unknown')).then(() => {
      this.moving.delete(ref);
      const known = states.standingOfAll(book.pipelines.predecessorsOf(ref));
      if (known !== 'unknown') this.consider(ref);
      else log.debug({ job: ref }, 'how a job before it has ended is not known yet');
    });
  }

  private cancel(ref: string): void {
    this.move(ref, 'cancel', (draft) => cancelWaitingJob(draft, ref));
  }

  private release(draft: Draft, ref: string): boolean {
    return releaseJob(draft, ref, Math.round(this.dependencies.clock.wall()));
  }

  private move(ref: string, name: string, decide: (draft: Draft) => boolean): void {
    const { committer, log } = this.dependencies;
    this.moving.add(ref);
    void committer.commit(name, Priority.start, decide).then((outcome) => {
      this.moving.delete(ref);
      if (outcome.kind === 'done') log.info({ job: ref, step: name }, 'waiting job moved on');
    });
  }
}
