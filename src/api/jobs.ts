import {
  FRESH_MS,
  LEDGER_ENTRY_BYTES,
  MAX_CHUNK_SHARDS,
  POLL_DEADLINE_MS,
  POLL_GATHER_MS,
  SUBMIT_DEADLINE_MS,
} from '../constants.js';
import type { Settings, Team } from '../config/settings.js';
import type { Fleet } from '../controller/fleet.js';
import type { Log } from '../controller/log.js';
import type { Book } from '../ledger/book.js';
import { decodeEnded, decodeJob, endedKey, jobKey, type JobRecord, type JobSpec } from '../ledger/records.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { Condition, StateClient } from '../state/client.js';
import type { Committer, TxnLimits } from '../state/committer.js';
import type { Replica } from '../state/replica.js';
import { parseSubmission, REF, whyNever } from './submission.js';

export interface JobState {
  Ref: string;
  Phase: 'queued' | 'running' | 'done' | 'withdrawn';
  done: number;
  running: number;
}

export interface Answer {
  status: number;
  body: unknown;
  /** s; told with 429 and 503. */
  retryAfter?: number;
}

const OUT = 'the state service does not answer';

const later = (error: string, retryAfter = 1): Answer => ({ status: 503, body: { error }, retryAfter });

interface Asked {
  ref: string;
  deadline: number;
  resolve: (state: JobState | 'unknown' | 'no answer') => void;
}

/** What users may do with jobs: submit, ask, withdraw. */
export class Jobs {
  private readonly teams: Map<string, Team>;
  private readonly chunk: number;
  private asked: Asked[] = [];
  private gathering = false;

  constructor(
    private readonly settings: Settings,
    private readonly client: StateClient,
    private readonly replica: Replica,
    private readonly book: Book,
    private readonly committer: Committer,
    private readonly limits: TxnLimits,
    private readonly fleet: Fleet,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {
    this.teams = new Map(settings.cluster.teams.map((team) => [team.name, team]));
    const room = (settings.cluster.state.value_kb * 1024) / LEDGER_ENTRY_BYTES;
    this.chunk = Math.max(1, Math.min(MAX_CHUNK_SHARDS, Math.floor(room)));
  }

  async submit(body: unknown): Promise<Answer> {
    const parsed = parseSubmission(body);
    if (!parsed.ok) {
      const malformed: Answer = { status: 400, body: { error: parsed.error } };
      return parsed.ref === undefined ? malformed : this.ifKnown(parsed.ref, malformed);
    }
    const { spec } = parsed;
    const known = this.final(spec.Ref);
    if (known !== undefined) return { status: 200, body: known };
    if (!this.replica.loaded) return later('the records are not read yet');
    if (this.isOut) return later(OUT);
    if (this.fleet.catalog.size === 0) return this.ifKnown(spec.Ref, later('machine types are not known yet'));
    const why = whyNever(spec, this.teams.get(spec.Owner), this.fleet.catalog.values()) ?? this.whyTooLarge(spec);
    if (why !== undefined) return this.ifKnown(spec.Ref, { status: 422, body: { error: why } });
    // Over budget: told at once, with the time until the writers before this one are through.
    const behindS = this.committer.backlog(Priority.accept) / this.settings.cluster.state.write_rps;
    if (behindS > 1) return { status: 429, body: { error: 'busy' }, retryAfter: Math.min(30, Math.ceil(behindS)) };
    const record: JobRecord = { spec, phase: 'active', at: Math.round(this.clock.wall()), chunk: this.chunk };
    const outcome = await this.committer.commit(
      'submit',
      Priority.accept,
      (draft) => {
        if (draft.get(endedKey(spec.Ref)) !== undefined || draft.get(jobKey(spec.Ref)) !== undefined) return false;
        draft.set(jobKey(spec.Ref), record);
        return true;
      },
      SUBMIT_DEADLINE_MS,
    );
    if (outcome.kind === 'done') {
      this.log.info(
        {
          job: spec.Ref,
          class: spec.Jobclass,
          team: spec.Owner,
          shards: spec.Shards,
          bundle: spec.Bundle,
          guess: spec.GuessS,
          due: spec.DueS,
        },
        'job accepted',
      );
      return { status: 201, body: { Ref: spec.Ref, Phase: 'queued' } };
    }
    if (outcome.kind === 'void') return this.ifKnown(spec.Ref, later(OUT));
    return later(OUT);
  }

  /** Jobs whose records no transaction could hold. */
  private whyTooLarge(spec: JobSpec): string | undefined {
    const chunks = Math.ceil(spec.Shards / this.chunk);
    if (JSON.stringify(spec).length > this.settings.cluster.state.value_kb * 1024 - 200)
      return 'its record is too large';
    if ((spec.Spread || spec.OneZone) && chunks > this.limits.conditions - 8) return 'more tasks than can be compared';
    if (spec.Shape === 'ensemble' && chunks > this.limits.ops - 2) return 'a gang too large to start whole';
    return undefined;
  }

  /** A job that is known gets its state, whatever else would have been said: accepted once, accepted for ever. */
  private async ifKnown(ref: string, otherwise: Answer): Promise<Answer> {
    const state = this.final(ref) ?? (await this.ask(ref));
    if (state === 'no answer') return later(OUT);
    return state === 'unknown' ? otherwise : { status: 200, body: state };
  }

  /** Known on arrival: the store has refused this node, or not answered it, for a while, and has not answered since. */
  private get isOut(): boolean {
    const { lastRefusal, lastOk } = this.client;
    return lastRefusal > lastOk && this.clock.now() - this.replica.freshAt > FRESH_MS;
  }

  async poll(ref: string): Promise<Answer> {
    const state = this.final(ref) ?? (await this.ask(ref));
    if (state === 'no answer') return later(OUT);
    return state === 'unknown' ? { status: 404, body: { error: 'no such job' } } : { status: 200, body: state };
  }

  async withdraw(ref: string): Promise<Answer> {
    const over = this.final(ref);
    if (over !== undefined) return { status: 200, body: { Ref: ref, Phase: over.Phase } };
    if (this.isOut) return later(OUT);
    const deadline = this.clock.now() + SUBMIT_DEADLINE_MS;
    while (this.clock.now() < deadline) {
      const outcome = await this.committer.commit(
        'withdraw',
        Priority.withdraw,
        (draft) => {
          const value = draft.get(jobKey(ref));
          if (value === undefined) return false;
          const job = decodeJob(value);
          if (job.phase === 'withdrawn') return false;
          draft.set(jobKey(ref), { ...job, phase: 'withdrawn' });
          return true;
        },
        deadline - this.clock.now(),
      );
      if (outcome.kind === 'done') {
        this.log.info({ job: ref }, 'job withdrawn');
        return { status: 200, body: { Ref: ref, Phase: 'withdrawn' } };
      }
      if (outcome.kind === 'expired') break;
      // This node's copy has no such active job; the store may know better.
      const state = this.final(ref) ?? (await this.ask(ref));
      if (state === 'unknown') return { status: 404, body: { error: 'no such job' } };
      if (state === 'no answer') break;
      if (state.Phase === 'withdrawn' || state.Phase === 'done') {
        return { status: 200, body: { Ref: ref, Phase: state.Phase } };
      }
    }
    return later(OUT);
  }

  /** A final state from memory: it never changes. */
  private final(ref: string): JobState | undefined {
    const row = this.committer.read(endedKey(ref));
    if (row.value === undefined) return undefined;
    const ended = decodeEnded(row.value);
    return { Ref: ref, Phase: ended.phase, done: ended.phase === 'done' ? ended.shards : 0, running: 0 };
  }

  private live(ref: string): JobState | 'unknown' | 'no answer' {
    const view = this.book.jobs.get(ref);
    // A record that can't be read is no reason to call an accepted job unknown.
    if (view === undefined) return this.replica.get(jobKey(ref)).value === undefined ? 'unknown' : 'no answer';
    if (view.record.phase === 'withdrawn') return { Ref: ref, Phase: 'withdrawn', done: view.done, running: 0 };
    return { Ref: ref, Phase: view.placed > 0 ? 'running' : 'queued', done: view.done, running: view.placed };
  }

  /** The state as new as the store's own: cached Stamps of all who ask at once are compared in one transaction. */
  private ask(ref: string): Promise<JobState | 'unknown' | 'no answer'> {
    if (!REF.test(ref)) return Promise.resolve('unknown');
    if (this.isOut) return Promise.resolve('no answer');
    return new Promise((resolve) => {
      this.asked.push({ ref, deadline: this.clock.now() + POLL_DEADLINE_MS, resolve });
      void this.gather();
    });
  }

  private async gather(): Promise<void> {
    if (this.gathering) return;
    this.gathering = true;
    await this.clock.sleep(POLL_GATHER_MS);
    this.gathering = false;
    const batch = this.asked.splice(0, Math.floor(this.limits.conditions / 2));
    if (this.asked.length > 0) void this.gather();
    await this.check(batch);
  }

  private async check(batch: Asked[]): Promise<void> {
    let open = batch;
    for (let round = 0; round < 3 && open.length > 0; round++) {
      const now = this.clock.now();
      for (const each of open) if (now > each.deadline) each.resolve('no answer');
      open = open.filter((each) => now <= each.deadline);
      const conditions = new Map<string, Condition>();
      for (const { ref } of open) {
        for (const key of [jobKey(ref), endedKey(ref)]) {
          conditions.set(key, { key, stamp: this.committer.read(key).stamp });
        }
      }
      // The answers are taken before the comparison: what it confirms is what is told.
      const answers = new Map(open.map(({ ref }) => [ref, this.final(ref) ?? this.live(ref)]));
      const result = await this.client.txn([...conditions.values()], [], Priority.record);
      if (result.kind === 'done') {
        for (const each of open) each.resolve(answers.get(each.ref)!);
        return;
      }
      if (result.kind !== 'conflict') break;
      await Promise.all(result.failed.map((key) => this.reread(key)));
    }
    for (const each of open) each.resolve('no answer');
  }

  private async reread(key: string): Promise<void> {
    try {
      const row = await this.client.get(key, Priority.record);
      if (key.startsWith('ended/')) this.committer.remember(key, row);
      else if (row.value !== undefined) this.replica.apply({ key, ...row });
      else if (row.epoch !== undefined) this.replica.apply({ key, value: undefined, stamp: row.epoch });
    } catch {
      // The next comparison fails again, and the user is told to come back.
    }
  }
}
