/** What users may do with jobs: submit, ask, withdraw. */
import { PLACEMENT_BYTES, MAX_CHUNK_TASKS, RECORD_ENVELOPE_BYTES } from '../constants/records.js';
import { MAX_RETRY_AFTER_S, SUBMIT_DEADLINE_MS } from '../constants/api.js';
import type { Settings } from '../domain/settings.js';
import type { Team } from '../domain/team.js';
import type { ClusterState } from '../records/cluster-state.js';
import { cancelStoredJob, decodeJobRecord, encodeFinalJobRecord, encodeJobRecord } from '../records/record-codecs.js';
import { finalJobKey, jobKey } from '../records/record-keys.js';
import type { JobRecord } from '../records/records.js';
import type { JobSpec } from '../domain/job.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import { encodeJobSpec } from '../records/job-spec-codec.js';
import type { JobLookup } from './job-lookup.js';
import { encodeJobState, encodeJobStatus, parseSubmission } from './job-wire-codec.js';
import { whyNeverRunnable } from './runnable-check.js';
import type { MachineType } from '../domain/machine-type.js';
import type { Log } from '../logging/log.js';
import type { DependencyStates } from '../jobs/dependency-states.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft, TransactionLimits } from '../store/transaction-draft.js';
import type { Replica } from '../store/replica.js';
import { jsonLength } from '../store/json-size.js';
import { HttpAnswer } from '../net/http-answer.js';

const STORE_UNAVAILABLE = 'the state service does not answer';

const retryLater = (error: string, retryAfter = 1): HttpAnswer => ({ status: 503, body: { error }, retryAfter });
const rejectForever = (error: string): HttpAnswer => ({ status: 422, body: { error } });

/** What is known of the kinds of machines that there are. */
export interface MachineTypeCatalog {
  readonly catalog: ReadonlyMap<string, MachineType>;
}

export interface JobServiceDependencies {
  settings: Settings;
  replica: Replica;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  lookup: JobLookup;
  states: DependencyStates;
  limits: TransactionLimits;
  inventory: MachineTypeCatalog;
  clock: Clock;
  log: Log;
}

export class JobService {
  private readonly teams: Map<string, Team>;
  /** Bytes of a record at most, also after an announced change of the store's limits. */
  private readonly maxRecordBytes: number;
  private readonly tasksPerChunk: number;

  constructor(private readonly dependencies: JobServiceDependencies) {
    const { teams, store } = dependencies.settings.cluster;
    this.teams = new Map(teams.map((team) => [team.name, team]));
    this.maxRecordBytes = store.lasting.valueBytes;
    this.tasksPerChunk = Math.max(1, Math.min(MAX_CHUNK_TASKS, Math.floor(this.maxRecordBytes / PLACEMENT_BYTES)));
  }

  async submit(body: unknown): Promise<HttpAnswer> {
    const parsed = parseSubmission(body);
    if (!parsed.ok) {
      const malformed: HttpAnswer = { status: 400, body: { error: parsed.error } };
      return parsed.jobId === undefined ? malformed : this.statusOr(parsed.jobId, malformed);
    }
    const { spec, dependencies } = parsed;
    const known = this.dependencies.lookup.finalStatus(spec.id);
    if (known !== undefined) return { status: 200, body: encodeJobStatus(known) };
    const checkAdmission = this.refusal(spec, dependencies) ?? (await this.checkDependencies(spec, dependencies));
    if (checkAdmission !== undefined)
      return checkAdmission.isForAll ? checkAdmission.answer : this.statusOr(spec.id, checkAdmission.answer);
    return this.accept(spec, dependencies);
  }

  /** Why a submission is not taken; `isForAll`: whatever is known of the job. */
  private refusal(
    spec: JobSpec,
    dependencies: readonly string[],
  ): { answer: HttpAnswer; isForAll: boolean } | undefined {
    const { settings, replica, transactions, lookup, inventory } = this.dependencies;
    if (!replica.isLoaded) return { answer: retryLater('the records are not read yet'), isForAll: true };
    if (lookup.isStoreUnavailable) return { answer: retryLater(STORE_UNAVAILABLE), isForAll: true };
    if (inventory.catalog.size === 0) return { answer: retryLater('machine types are not known yet'), isForAll: false };
    const why =
      whyNeverRunnable(spec, this.teams.get(spec.team), inventory.catalog.values()) ??
      this.whyTooLarge(spec, dependencies);
    if (why !== undefined) return { answer: rejectForever(why), isForAll: false };
    // Over budget: told at once, with the time until the writers before this one are through.
    const behindS = transactions.backlog(Priority.accept) / settings.cluster.store.present.writesPerSecond;
    if (behindS <= 1) return undefined;
    const retryAfter = Math.min(MAX_RETRY_AFTER_S, Math.ceil(behindS));
    return { answer: { status: 429, body: { error: 'busy' }, retryAfter }, isForAll: true };
  }

  /** Jobs whose records no transaction could hold. */
  private whyTooLarge(spec: JobSpec, dependencies: readonly string[]): string | undefined {
    const { limits } = this.dependencies;
    const chunks = Math.ceil(spec.taskCount / this.tasksPerChunk);
    const room = this.maxRecordBytes - RECORD_ENVELOPE_BYTES;
    if (jsonLength(encodeJobSpec(spec)) > room) return 'its record is too large';
    if (jsonLength(encodeJobSpec(spec)) + jsonLength(dependencies) > room)
      return 'more predecessors than its record can hold';
    if ((spec.spreadAcrossZones || spec.singleZone) && chunks > limits.conditions - 8)
      return 'more tasks than can be compared';
    if (spec.kind === 'gang' && chunks > limits.ops - 2) return 'a gang too large to start whole';
    return undefined;
  }

  /** Predecessors must have been accepted, by whichever node, and must be able to end. */
  private async checkDependencies(spec: JobSpec, dependencies: readonly string[]) {
    const { lookup, states, clusterState } = this.dependencies;
    if (dependencies.length === 0) return undefined;
    if (dependencies.includes(spec.id))
      return { answer: rejectForever('a job can not wait for itself'), isForAll: false };
    const unknown = dependencies.filter((each) => states.stateOf(each) === 'unknown');
    const found = await Promise.all(unknown.map((each) => lookup.findUnbatched(each)));
    const missing = unknown.find((_, index) => found[index] === 'unknown');
    if (missing !== undefined) return { answer: rejectForever(`${missing} was never accepted`), isForAll: false };
    if (found.includes('no answer') || !lookup.knowsCancellations)
      return { answer: retryLater(STORE_UNAVAILABLE), isForAll: false };
    const service = dependencies.find((each) => clusterState.jobs.get(each)?.record.spec.kind === 'service');
    if (service !== undefined)
      return { answer: rejectForever(`${service} is a service, which never ends`), isForAll: false };
    return undefined;
  }

  private async accept(spec: JobSpec, dependencies: readonly string[]): Promise<HttpAnswer> {
    const { transactions, log } = this.dependencies;
    let state = 'active' as JobRecord['state'];
    const outcome = await transactions.commit(
      'submit',
      Priority.accept,
      (draft) => {
        if (draft.get(finalJobKey(spec.id)) !== undefined || draft.get(jobKey(spec.id)) !== undefined) return false;
        state = this.writeRecord(draft, spec, dependencies);
        return true;
      },
      SUBMIT_DEADLINE_MS,
    );
    if (outcome.kind === 'void') return this.statusOr(spec.id, retryLater(STORE_UNAVAILABLE));
    if (outcome.kind !== 'done') return retryLater(STORE_UNAVAILABLE);
    log.info(
      {
        jobId: spec.id,
        jobClass: spec.jobClass,
        team: spec.team,
        taskCount: spec.taskCount,
        image: spec.image,
        estimatedRunS: spec.estimatedRunS,
        deadlineS: spec.deadlineS,
        dependencies,
        state,
      },
      'job accepted',
    );
    return {
      status: 201,
      body: encodeJobState({ jobId: spec.id, state: state === 'cancelled' ? 'cancelled' : 'queued' }),
    };
  }

  /**
   * Writes the record of a new job. Nothing is a condition that is said of its predecessors: that one is done or cancelled is
   * final, and while one is open the job waits, which is looked at again as soon as its record is seen.
   */
  private writeRecord(draft: TransactionDraft, spec: JobSpec, dependencies: readonly string[]): JobRecord['state'] {
    const { states, clock } = this.dependencies;
    const submittedAtMs = Math.round(clock.wall());
    const job: JobRecord = { spec, state: 'active', submittedAtMs, tasksPerChunk: this.tasksPerChunk };
    if (dependencies.length > 0 && states.ancestryOf(dependencies).isCancelled) {
      draft.set(finalJobKey(spec.id), encodeFinalJobRecord({ state: 'cancelled', taskCount: spec.taskCount }));
      return 'cancelled';
    }
    const isOpen = dependencies.length > 0 && states.stateOfAll(dependencies) !== 'done';
    draft.set(jobKey(spec.id), encodeJobRecord(isOpen ? { ...job, state: 'waiting', dependencies } : job));
    return isOpen ? 'waiting' : 'active';
  }

  /** A job that is known gets its state, whatever else would have been said: accepted once, accepted for ever. */
  private async statusOr(jobId: string, otherwise: HttpAnswer): Promise<HttpAnswer> {
    const found = await this.dependencies.lookup.find(jobId);
    if (found === 'no answer') return retryLater(STORE_UNAVAILABLE);
    return found === 'unknown' ? otherwise : { status: 200, body: encodeJobStatus(found) };
  }

  async poll(jobId: string): Promise<HttpAnswer> {
    return this.statusOr(jobId, { status: 404, body: { error: 'no such job' } });
  }

  async cancel(jobId: string): Promise<HttpAnswer> {
    const { lookup, clock, transactions, log } = this.dependencies;
    const over = lookup.finalStatus(jobId);
    if (over !== undefined) return { status: 200, body: encodeJobState(over) };
    if (lookup.isStoreUnavailable) return retryLater(STORE_UNAVAILABLE);
    const deadline = clock.now() + SUBMIT_DEADLINE_MS;
    while (clock.now() < deadline) {
      const decide = (draft: TransactionDraft) => this.writeCancellation(draft, jobId);
      const outcome = await transactions.commit('withdraw', Priority.cancel, decide, deadline - clock.now());
      if (outcome.kind === 'done') {
        log.info({ jobId }, 'job cancelled');
        return { status: 200, body: encodeJobState({ jobId, state: 'cancelled' }) };
      }
      if (outcome.kind !== 'void') break;
      // This node's copy has no such active job; the store may know better.
      const found = await lookup.find(jobId);
      if (found === 'unknown') return { status: 404, body: { error: 'no such job' } };
      if (found === 'no answer') break;
      if (found.state === 'cancelled' || found.state === 'done') {
        return { status: 200, body: encodeJobState(found) };
      }
    }
    return retryLater(STORE_UNAVAILABLE);
  }

  private writeCancellation(draft: TransactionDraft, jobId: string): boolean {
    const value = draft.get(jobKey(jobId));
    if (value === undefined) return false;
    if (decodeJobRecord(value).state === 'cancelled') return false;
    draft.set(jobKey(jobId), cancelStoredJob(value));
    return true;
  }
}
