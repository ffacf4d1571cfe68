/** Looks up the status of jobs: states that can't change any more are taken from memory, all others are confirmed by the store. */
import { MAX_POLL_ATTEMPTS, POLL_BATCHING_MS, POLL_DEADLINE_MS } from '../constants/api.js';
import { REPLICA_FRESH_MS } from '../constants/leadership.js';
import type { Count } from '../domain/count.js';
import type { DependencyStates } from '../jobs/dependency-states.js';
import type { Log } from '../logging/log.js';
import type { RefusalLog } from '../logging/refusal-log.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import { jobKey } from '../records/record-keys.js';
import { type JobReading, JobStatusReader, type JobStatusReaderDependencies } from './job-status-reader.js';
import { JOB_ID_PATTERN, type JobStatus } from './job-wire-codec.js';
import { RecordComparison, type RecordComparisonDependencies } from './record-comparison.js';

/** The result of a lookup. */
export type LookupResult =
  | { kind: 'found'; status: JobStatus }
  /** The store has just confirmed that there never was such a job, or the id is malformed. */
  | { kind: 'not_found' }
  /** The status is uncertain now. */
  | { kind: 'unavailable'; reason: UnavailableReason };

/** Why a status can't be reported. */
export type UnavailableReason =
  /** The store has refused or not answered this node for a while. */
  | 'store_unavailable'
  /** The store refused the request that was to confirm the status, or did not answer it. */
  | 'store_refused'
  /** The user is about to give up. */
  | 'deadline_exceeded'
  /** The records changed at each attempt to confirm them. */
  | 'records_changed'
  /** This node can't tell whether a job that it depends on is cancelled. */
  | 'dependency_unknown'
  /** The job's record can't be decoded. */
  | 'record_unreadable';

/** What a result is based on, as logged. */
type ResultBasis =
  /** A state that can't change any more, or a replica that is complete as of the request. */
  | { basis: 'settled' | 'replica' }
  /** A comparison with the store at this revision. */
  | { basis: 'comparison'; confirmedRevision: Count };

const SETTLED: ResultBasis = { basis: 'settled' };
const REPLICA: ResultBasis = { basis: 'replica' };

const NOT_FOUND: LookupResult = { kind: 'not_found' };
const unavailable = (reason: UnavailableReason): LookupResult => ({ kind: 'unavailable', reason });
const found = (status: JobStatus): LookupResult => ({ kind: 'found', status });

interface PendingLookup {
  jobId: string;
  /** Monotonic ms. */
  startedAtMs: number;
  isComplete: boolean;
  resolve: (result: LookupResult) => void;
}

/** A lookup that needs a request to the store, and what this node's records say. */
interface UndecidedLookup {
  lookup: PendingLookup;
  reading: JobReading;
}

/** What lookups need from the other parts. */
export interface JobLookupDependencies extends JobStatusReaderDependencies, RecordComparisonDependencies {
  states: DependencyStates;
  clock: Clock;
  refusals: RefusalLog;
  log: Log;
}

/**
 * Reports the status of a job only once the store has confirmed it, after the request has arrived. The records of the job itself
 * are compared with the store's; the status of a waiting job also depends on records of any number of other jobs, and is reported
 * once the replica is complete as of the request. Lookups that arrive at about the same time share these requests.
 */
export class JobLookup {
  private pending: PendingLookup[] = [];
  private isConfirmationScheduled = false;
  private readonly reader: JobStatusReader;
  private readonly comparison: RecordComparison;

  constructor(private readonly dependencies: JobLookupDependencies) {
    this.reader = new JobStatusReader(dependencies);
    this.comparison = new RecordComparison(dependencies);
  }

  /** Known without a request: the store has refused or not answered this node for a while, and has not answered since. */
  get isStoreUnavailable(): boolean {
    const { client, replica, clock } = this.dependencies;
    return client.lastUnavailableAt > client.lastAnsweredAt && clock.now() - replica.freshAt > REPLICA_FRESH_MS;
  }

  /** The status of the job if its state can't change any more, as far as this node knows. */
  settledStatus(jobId: string): JobStatus | undefined {
    const reading = this.reader.read(jobId);
    return reading.kind === 'settled' ? reading.status : undefined;
  }

  /** Whether this node has a record of the job, which proves that it was accepted. */
  isKnown(jobId: string): boolean {
    return this.reader.read(jobId).kind !== 'missing';
  }

  /** The status as confirmed by the store; waits briefly to share requests with other lookups. */
  find(jobId: string): Promise<LookupResult> {
    return this.start(jobId, (lookup) => {
      this.pending.push(lookup);
      void this.confirmPendingAfterDelay();
    });
  }

  /** Like `find` for several jobs, but without waiting for other lookups. */
  findAll(jobIds: readonly string[]): Promise<LookupResult[]> {
    const lookups: PendingLookup[] = [];
    const results = Promise.all(jobIds.map((jobId) => this.start(jobId, (lookup) => lookups.push(lookup))));
    this.confirmUntilDeadline(lookups);
    return results;
  }

  private start(jobId: string, addLookup: (lookup: PendingLookup) => void): Promise<LookupResult> {
    const startedAtMs = this.dependencies.clock.now();
    return new Promise((resolve) => {
      const lookup: PendingLookup = { jobId, startedAtMs, isComplete: false, resolve };
      const reading = this.reader.read(jobId);
      if (reading.kind === 'settled') this.complete(lookup, found(reading.status), SETTLED);
      else if (!JOB_ID_PATTERN.test(jobId)) resolve(NOT_FOUND);
      else if (this.isStoreUnavailable) this.refuse([lookup], 'store_unavailable');
      else addLookup(lookup);
    });
  }

  private async confirmPendingAfterDelay(): Promise<void> {
    if (this.isConfirmationScheduled) return;
    this.isConfirmationScheduled = true;
    await this.dependencies.clock.sleep(POLL_BATCHING_MS);
    this.isConfirmationScheduled = false;
    this.confirmUntilDeadline(this.pending.splice(0));
  }

  /** Refuses the lookups that are not confirmed when the first of their users is about to give up. */
  private confirmUntilDeadline(lookups: readonly PendingLookup[]): void {
    if (lookups.length === 0) return;
    const { clock } = this.dependencies;
    const deadlineMs = lookups[0]!.startedAtMs + POLL_DEADLINE_MS;
    void clock.sleep(deadlineMs - clock.now()).then(() => this.refuse(lookups, 'deadline_exceeded'));
    this.confirm(lookups);
  }

  /** Jobs that wait need the whole replica; while it is refreshed for them, it also confirms the other live jobs. */
  private confirm(lookups: readonly PendingLookup[]): void {
    const undecided = this.completeDecided(lookups);
    const mustRefresh = undecided.some(isWaiting);
    const isRefreshed = (each: UndecidedLookup): boolean => mustRefresh && each.reading.kind !== 'missing';
    void this.confirmByRefresh(lookupsOf(undecided.filter(isRefreshed)));
    this.confirmByComparisons(undecided.filter((each) => !isRefreshed(each)));
  }

  /** Completes the lookups that need no further request, and returns the others. */
  private completeDecided(lookups: readonly PendingLookup[]): UndecidedLookup[] {
    const undecided: UndecidedLookup[] = [];
    for (const lookup of lookups) {
      if (lookup.isComplete) continue;
      const reading = this.reader.read(lookup.jobId);
      if (reading.kind === 'settled') this.complete(lookup, found(reading.status), SETTLED);
      else if (this.isConfirmedByReplica(lookup, reading))
        this.complete(lookup, this.resultOf(lookup, reading), REPLICA);
      else undecided.push({ lookup, reading });
    }
    return undecided;
  }

  /** Whether the replica is complete as of the request, and holds all records that the status depends on. */
  private isConfirmedByReplica({ startedAtMs }: PendingLookup, reading: JobReading): boolean {
    if (this.dependencies.replica.freshAt < startedAtMs) return false;
    return reading.kind === 'live' || (reading.kind === 'waiting' && reading.unknownDependencies.length === 0);
  }

  /** Brings the replica up to date, and reads the final records of jobs that are in it no longer. */
  private async confirmByRefresh(lookups: readonly PendingLookup[]): Promise<void> {
    if (lookups.length === 0) return;
    const { replica, states } = this.dependencies;
    const latestStartMs = Math.max(...lookups.map(({ startedAtMs }) => startedAtMs));
    if (!(await replica.refreshSince(latestStartMs, Priority.record))) return this.refuse(lookups, 'store_refused');
    const undecided = this.completeDecided(lookups);
    await states.loadFinalStates([...new Set(undecided.flatMap(jobsInUnknownState))]);
    const remaining = this.completeDecided(lookupsOf(undecided));
    this.refuse(lookupsOf(remaining.filter(isWaiting)), 'dependency_unknown');
    this.confirmByComparisons(remaining.filter((each) => !isWaiting(each)));
  }

  private confirmByComparisons(undecided: readonly UndecidedLookup[]): void {
    const { maxJobs } = this.comparison;
    for (let from = 0; from < undecided.length; from += maxJobs) {
      void this.confirmByComparison(undecided.slice(from, from + maxJobs));
    }
  }

  /** Compares the records of jobs that don't wait; those that turn out to wait are confirmed by a refresh instead. */
  private async confirmByComparison(lookups: readonly UndecidedLookup[]): Promise<void> {
    let undecided = lookups;
    for (let attempt = 0; attempt < MAX_POLL_ATTEMPTS && undecided.length > 0; attempt++) {
      const outcome = await this.comparison.compare(lookupsOf(undecided).map(({ jobId }) => jobId));
      if (outcome.kind === 'unavailable') return this.refuse(lookupsOf(undecided), 'store_refused');
      if (outcome.kind === 'equal') return this.completeCompared(undecided, outcome.revision);
      const changed = this.completeDecided(lookupsOf(undecided));
      void this.confirmByRefresh(lookupsOf(changed.filter(isWaiting)));
      undecided = changed.filter((each) => !isWaiting(each));
    }
    this.refuse(lookupsOf(undecided), 'records_changed');
  }

  /** The readings were made before the comparison, so that it confirms exactly what is reported. */
  private completeCompared(compared: readonly UndecidedLookup[], confirmedRevision: Count): void {
    const basis: ResultBasis = { basis: 'comparison', confirmedRevision };
    for (const { lookup, reading } of compared) this.complete(lookup, this.resultOf(lookup, reading), basis);
  }

  private resultOf({ jobId }: PendingLookup, reading: JobReading): LookupResult {
    if (reading.kind !== 'missing') return found(reading.status);
    // A live record that can't be decoded still proves that the job was accepted.
    const isStored = this.dependencies.replica.get(jobKey(jobId)).value !== undefined;
    return isStored ? unavailable('record_unreadable') : NOT_FOUND;
  }

  private refuse(lookups: readonly PendingLookup[], reason: UnavailableReason): void {
    for (const lookup of lookups) this.complete(lookup, unavailable(reason));
  }

  /** Completes a lookup once; one that can't be answered is recorded with its reason. */
  private complete(lookup: PendingLookup, result: LookupResult, basis?: ResultBasis): void {
    if (lookup.isComplete) return;
    lookup.isComplete = true;
    const { clock, replica, refusals, log } = this.dependencies;
    const { jobId, startedAtMs, resolve } = lookup;
    const ageMs = clock.now() - startedAtMs;
    const replicaFields = {
      replicaRevision: replica.revision,
      replicaAgeMs: Math.round(clock.now() - replica.freshAt),
    };
    if (result.kind === 'unavailable') {
      refusals.record({ kind: 'query', reason: result.reason, ageMs, fields: { jobId, ...replicaFields } });
    } else {
      const state = result.kind === 'found' ? result.status.state : result.kind;
      log.debug({ jobId, state, ...basis, ageMs: Math.round(ageMs), ...replicaFields }, 'query answered');
    }
    resolve(result);
  }
}

const lookupsOf = (undecided: readonly UndecidedLookup[]): PendingLookup[] => undecided.map(({ lookup }) => lookup);

const isWaiting = ({ reading }: UndecidedLookup): boolean => reading.kind === 'waiting';

/** The jobs whose final records decide an undecided lookup: its own, or those of its dependencies. */
function jobsInUnknownState({ lookup, reading }: UndecidedLookup): readonly string[] {
  return reading.kind === 'waiting' ? reading.unknownDependencies : [lookup.jobId];
}
