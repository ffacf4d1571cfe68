/** What users may do with jobs: submit, ask, withdraw. */
import {
  LEDGER_ENTRY_BYTES,
  MAX_CHUNK_SHARDS,
  MAX_RETRY_AFTER_S,
  RECORD_ENVELOPE_BYTES,
  SUBMIT_DEADLINE_MS,
} from '../constants.js';
import type { Settings, Team } from '../config/settings.js';
import { lastingLimits } from '../config/state-limits.js';
import type { Fleet } from '../controller/fleet.js';
import type { Log } from '../controller/log.js';
import type { PredecessorStates } from '../controller/predecessor-states.js';
import type { Book } from '../ledger/book.js';
import { decodeJob, endedKey, jobKey, type EndedRecord, type JobRecord, type JobSpec } from '../ledger/records.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { Committer } from '../state/committer.js';
import type { Draft, TxnLimits } from '../state/draft.js';
import type { Replica } from '../state/replica.js';
import { jsonLength } from '../state/sizes.js';
import type { JobLookup } from './job-lookup.js';
import { parseSubmission, whyNever } from './submission.js';

export interface Answer {
  status: number;
  body: unknown;
  /** s; told with 429 and 503. */
  retryAfter?: number;
}

const OUT = 'the state service does not answer';

const later = (error: string, retryAfter = 1): Answer => ({ status: 503, body: { error }, retryAfter });
const never = (error: string): Answer => ({ status: 422, body: { error } });

export interface JobsDependencies {
  settings: Settings;
  replica: Replica;
  book: Book;
  committer: Committer;
  lookup: JobLookup;
  states: PredecessorStates;
  limits: TxnLimits;
  fleet: Fleet;
  clock: Clock;
  log: Log;
}

export class Jobs {
  private readonly teams: Map<string, Team>;
  /** Bytes of a record at most, also after an announced change of the store's limits. */
  private readonly valueBytes: number;
  private readonly chunk: number;

  constructor(private readonly dependencies: JobsDependencies) {
    const { teams, state } = dependencies.settings.cluster;
    this.teams = new Map(teams.map((team) => [team.name, team]));
    this.valueBytes = lastingLimits(state).valueBytes;
    this.chunk = Math.max(1, Math.min(MAX_CHUNK_SHARDS, Math.floor(this.valueBytes / LEDGER_ENTRY_BYTES)));
  }

  async submit(body: unknown): Promise<Answer> {
    const parsed = parseSubmission(body);
    if (!parsed.ok) {
      const malformed: Answer = { status: 400, body: { error: parsed.error } };
      return parsed.ref === undefined ? malformed : this.ifKnown(parsed.ref, malformed);
    }
    const { spec, awaits } = parsed;
    const known = this.dependencies.lookup.final(spec.Ref);
    if (known !== undefined) return { status: 200, body: known };
    const refusal = this.refusal(spec, awaits) ?? (await this.refusalForPredecessors(spec, awaits));
    if (refusal !== undefined) return refusal.isForAll ? refusal.answer : this.ifKnown(spec.Ref, refusal.answer);
    return this.accept(spec, awaits);
  }

  /** Why a submission is not taken; `isForAll`: whatever is known of the job. */
  private refusal(spec: JobSpec, awaits: readonly string[]): { answer: Answer; isForAll: boolean } | undefined {
    const { settings, replica, committer, lookup, fleet } = this.dependencies;
    if (!replica.loaded) return { answer: later('the records are not read yet'), isForAll: true };
    if (lookup.isOut) return { answer: later(OUT), isForAll: true };
    if (fleet.catalog.size === 0) return { answer: later('machine types are not known yet'), isForAll: false };
    const why = whyNever(spec, this.teams.get(spec.Owner), fleet.catalog.values()) ?? this.whyTooLarge(spec, awaits);
    if (why !== undefined) return { answer: never(why), isForAll: false };
    // Over budget: told at once, with the time until the writers before this one are through.
    const behindS = committer.backlog(Priority.accept) / settings.cluster.state.write_rps;
    if (behindS <= 1) return undefined;
    const retryAfter = Math.min(MAX_RETRY_AFTER_S, Math.ceil(behindS));
    return { answer: { status: 429, body: { error: 'busy' }, retryAfter }, isForAll: true };
  }

  /** Jobs whose records no transaction could hold. */
  private whyTooLarge(spec: JobSpec, awaits: readonly string[]): string | undefined {
    const { limits } = this.dependencies;
    const chunks = Math.ceil(spec.Shards / this.chunk);
    const room = this.valueBytes - RECORD_ENVELOPE_BYTES;
    if (jsonLength(spec) > room) return 'its record is too large';
    if (jsonLength(spec) + jsonLength(awaits) > room) return 'more predecessors than its record can hold';
    if ((spec.Spread || spec.OneZone) && chunks > limits.conditions - 8) return 'more tasks than can be compared';
    if (spec.Shape === 'ensemble' && chunks > limits.ops - 2) return 'a gang too large to start whole';
    return undefined;
  }

  /** Predecessors must have been accepted, by whichever node, and must be able to end. */
  private async refusalForPredecessors(spec: JobSpec, awaits: readonly string[]) {
    const { lookup, states, book } = this.dependencies;
    if (awaits.length === 0) return undefined;
    if (awaits.includes(spec.Ref)) return { answer: never('a job can not wait for itself'), isForAll: false };
    const unknown = awaits.filter((each) => states.standingOf(each) === 'unknown');
    const found = await Promise.all(unknown.map((each) => lookup.findNow(each)));
    const missing = unknown.find((_, index) => found[index] === 'unknown');
    if (missing !== undefined) return { answer: never(`${missing} was never accepted`), isForAll: false };
    if (found.includes('no answer') || !lookup.knowsCancellations) return { answer: later(OUT), isForAll: false };
    const service = awaits.find((each) => book.jobs.get(each)?.record.spec.Shape === 'service');
    if (service !== undefined) return { answer: never(`${service} is a service, which never ends`), isForAll: false };
    return undefined;
  }

  private async accept(spec: JobSpec, awaits: readonly string[]): Promise<Answer> {
    const { committer, log } = this.dependencies;
    let phase = 'active' as JobRecord['phase'];
    const outcome = await committer.commit(
      'submit',
      Priority.accept,
      (draft) => {
        if (draft.get(endedKey(spec.Ref)) !== undefined || draft.get(jobKey(spec.Ref)) !== undefined) return false;
        phase = this.record(draft, spec, awaits);
        return true;
      },
      SUBMIT_DEADLINE_MS,
    );
    if (outcome.kind === 'void') return this.ifKnown(spec.Ref, later(OUT));
    if (outcome.kind !== 'done') return later(OUT);
    log.info(
      {
        job: spec.Ref,
        class: spec.Jobclass,
        team: spec.Owner,
        shards: spec.Shards,
        bundle: spec.Bundle,
        guess: spec.GuessS,
        due: spec.DueS,
        awaits,
        phase,
      },
      'job accepted',
    );
    return { status: 201, body: { Ref: spec.Ref, Phase: phase === 'withdrawn' ? 'withdrawn' : 'queued' } };
  }

  /**
   * Writes the record of a new job. Nothing is a condition that is said of its predecessors: that one is done or cancelled is
   * final, and while one is open the job waits, which is looked at again as soon as its record is seen.
   */
  private record(draft: Draft, spec: JobSpec, awaits: readonly string[]): JobRecord['phase'] {
    const { states, clock } = this.dependencies;
    const at = Math.round(clock.wall());
    const job: JobRecord = { spec, phase: 'active', at, chunk: this.chunk };
    if (awaits.length > 0 && states.ancestryOf(awaits).isCancelled) {
      draft.set(endedKey(spec.Ref), { phase: 'withdrawn', shards: spec.Shards } satisfies EndedRecord);
      return 'withdrawn';
    }
    const isOpen = awaits.length > 0 && states.standingOfAll(awaits) !== 'done';
    draft.set(jobKey(spec.Ref), isOpen ? ({ ...job, phase: 'waiting', awaits } satisfies JobRecord) : job);
    return isOpen ? 'waiting' : 'active';
  }

  /** A job that is known gets its state, whatever else would have been said: accepted once, accepted for ever. */
  private async ifKnown(ref: string, otherwise: Answer): Promise<Answer> {
    const found = await this.dependencies.lookup.find(ref);
    if (found === 'no answer') return later(OUT);
    return found === 'unknown' ? otherwise : { status: 200, body: found };
  }

  async poll(ref: string): Promise<Answer> {
    return this.ifKnown(ref, { status: 404, body: { error: 'no such job' } });
  }

  async withdraw(ref: string): Promise<Answer> {
    const { lookup, clock, committer, log } = this.dependencies;
    const over = lookup.final(ref);
    if (over !== undefined) return { status: 200, body: { Ref: ref, Phase: over.Phase } };
    if (lookup.isOut) return later(OUT);
    const deadline = clock.now() + SUBMIT_DEADLINE_MS;
    while (clock.now() < deadline) {
      const decide = (draft: Draft) => this.recordWithdrawal(draft, ref);
      const outcome = await committer.commit('withdraw', Priority.withdraw, decide, deadline - clock.now());
      if (outcome.kind === 'done') {
        log.info({ job: ref }, 'job withdrawn');
        return { status: 200, body: { Ref: ref, Phase: 'withdrawn' } };
      }
      if (outcome.kind !== 'void') break;
      // This node's copy has no such active job; the store may know better.
      const found = await lookup.find(ref);
      if (found === 'unknown') return { status: 404, body: { error: 'no such job' } };
      if (found === 'no answer') break;
      if (found.Phase === 'withdrawn' || found.Phase === 'done') {
        return { status: 200, body: { Ref: ref, Phase: found.Phase } };
      }
    }
    return later(OUT);
  }

  private recordWithdrawal(draft: Draft, ref: string): boolean {
    const value = draft.get(jobKey(ref));
    if (value === undefined) return false;
    const job = decodeJob(value);
    if (job.phase === 'withdrawn') return false;
    draft.set(jobKey(ref), { ...job, phase: 'withdrawn' });
    return true;
  }
}
