/** What is known of jobs: final states from memory, the others as new as the store's own. */
import { FRESH_MS, POLL_COMPARISONS, POLL_DEADLINE_MS, POLL_GATHER_MS, QUEUED_FRESH_SHARE } from '../constants.js';
import type { PredecessorStates } from '../controller/predecessor-states.js';
import type { Book, JobView } from '../ledger/book.js';
import { decodeEnded, ENDED_PREFIX, endedKey, jobKey } from '../ledger/records.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { Condition, StateClient } from '../state/client.js';
import type { Committer } from '../state/committer.js';
import type { TxnLimits } from '../state/draft.js';
import type { Replica } from '../state/replica.js';
import { REF } from './submission.js';

export interface JobState {
  Ref: string;
  Phase: 'queued' | 'running' | 'done' | 'withdrawn';
  done: number;
  running: number;
}

/** `unknown`: the store has just said that there never was such a job. */
export type Found = JobState | 'unknown' | 'no answer';

interface Question {
  ref: string;
  deadline: number;
  resolve: (found: Found) => void;
}

export interface JobLookupDependencies {
  client: StateClient;
  replica: Replica;
  book: Book;
  committer: Committer;
  states: PredecessorStates;
  limits: TxnLimits;
  clock: Clock;
  /** s within which a cancellation must have taken effect. */
  cancelS: number;
}

export class JobLookup {
  private questions: Question[] = [];
  private gathering = false;

  constructor(private readonly dependencies: JobLookupDependencies) {}

  /** Known on arrival: the store has refused this node, or not answered it, for a while, and has not answered since. */
  get isOut(): boolean {
    const { client, replica, clock } = this.dependencies;
    return client.lastRefusal > client.lastOk && clock.now() - replica.freshAt > FRESH_MS;
  }

  /** Does the copy hold each cancellation that may be due to have reached the jobs after it? */
  get knowsCancellations(): boolean {
    const { replica, clock, cancelS } = this.dependencies;
    return clock.now() - replica.freshAt < cancelS * 1000 * QUEUED_FRESH_SHARE;
  }

  /** A final state from memory: it never changes. */
  final(ref: string): JobState | undefined {
    const row = this.dependencies.committer.read(endedKey(ref));
    if (row.value === undefined) return undefined;
    const ended = decodeEnded(row.value);
    return { Ref: ref, Phase: ended.phase, done: ended.phase === 'done' ? ended.shards : 0, running: 0 };
  }

  /** The state as new as the store's own; questions of a moment are answered by one comparison. */
  find(ref: string): Promise<Found> {
    return this.ask(ref, (question) => {
      this.questions.push(question);
      void this.gather();
    });
  }

  /** The same for somebody who can't wait for others' questions. */
  findNow(ref: string): Promise<Found> {
    return this.ask(ref, (question) => void this.answer([question]));
  }

  private ask(ref: string, put: (question: Question) => void): Promise<Found> {
    const final = this.final(ref);
    if (final !== undefined) return Promise.resolve(final);
    if (!REF.test(ref)) return Promise.resolve('unknown');
    if (this.isOut) return Promise.resolve('no answer');
    const deadline = this.dependencies.clock.now() + POLL_DEADLINE_MS;
    return new Promise((resolve) => put({ ref, deadline, resolve }));
  }

  private async gather(): Promise<void> {
    if (this.gathering) return;
    this.gathering = true;
    await this.dependencies.clock.sleep(POLL_GATHER_MS);
    this.gathering = false;
    const most = Math.floor(this.dependencies.limits.conditions / 2);
    while (this.questions.length > 0) void this.answer(this.questions.splice(0, most));
  }

  private async answer(batch: Question[]): Promise<void> {
    const { client, clock, states } = this.dependencies;
    let open = batch;
    for (let round = 0; round < POLL_COMPARISONS && open.length > 0; round++) {
      await states.learn(open.flatMap(({ ref }) => this.unknownBefore(ref)));
      const now = clock.now();
      for (const each of open) if (now > each.deadline) each.resolve('no answer');
      open = open.filter((each) => now <= each.deadline);
      // The answers are taken before the comparison: what it confirms is what is told.
      const answers = new Map(open.map(({ ref }) => [ref, this.final(ref) ?? this.live(ref)]));
      const result = await client.txn(this.conditionsOn(open), [], Priority.record);
      if (result.kind === 'done') {
        for (const each of open) each.resolve(answers.get(each.ref)!);
        return;
      }
      if (result.kind !== 'conflict') break;
      await Promise.all(result.failed.map((key) => this.reread(key)));
    }
    for (const each of open) each.resolve('no answer');
  }

  /** Each job's records as this node has them, live and final. */
  private conditionsOn(questions: readonly Question[]): Condition[] {
    const { committer } = this.dependencies;
    const keys = new Set(questions.flatMap(({ ref }) => [jobKey(ref), endedKey(ref)]));
    return [...keys].map((key) => ({ key, stamp: committer.read(key).stamp }));
  }

  /** Jobs before a waiting one of which it is not known how they have ended. */
  private unknownBefore(ref: string): string[] {
    const { book, states } = this.dependencies;
    return states.ancestryOf(book.pipelines.predecessorsOf(ref)).unknown;
  }

  private live(ref: string): Found {
    const { book, replica } = this.dependencies;
    const view = book.jobs.get(ref);
    // A record that can't be read is no reason to call an accepted job unknown.
    if (view === undefined) return replica.get(jobKey(ref)).value === undefined ? 'unknown' : 'no answer';
    if (view.record.phase === 'waiting') return this.whileWaiting(view);
    if (view.record.phase === 'withdrawn') return { Ref: ref, Phase: 'withdrawn', done: view.done, running: 0 };
    return { Ref: ref, Phase: view.placed > 0 ? 'running' : 'queued', done: view.done, running: view.placed };
  }

  /** A waiting job is cancelled with any job before it, from the moment on at which that one's cancellation is known. */
  private whileWaiting({ ref }: JobView): Found {
    const { book, states } = this.dependencies;
    const { isCancelled, unknown } = states.ancestryOf(book.pipelines.predecessorsOf(ref));
    if (isCancelled) return { Ref: ref, Phase: 'withdrawn', done: 0, running: 0 };
    if (unknown.length > 0 || !this.knowsCancellations) return 'no answer';
    return { Ref: ref, Phase: 'queued', done: 0, running: 0 };
  }

  private async reread(key: string): Promise<void> {
    const { client, committer, replica } = this.dependencies;
    try {
      const row = await client.get(key, Priority.record);
      if (key.startsWith(ENDED_PREFIX)) committer.remember(key, row);
      else if (row.value !== undefined) replica.apply({ key, ...row });
      else if (row.epoch !== undefined) replica.apply({ key, value: undefined, stamp: row.epoch });
    } catch {
      // The next comparison fails again, and the user is told to come back.
    }
  }
}
