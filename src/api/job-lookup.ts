/** Looks up the status of jobs: final states are taken from memory, all others are confirmed by the store. */
import { MAX_POLL_ATTEMPTS, POLL_BATCHING_MS, POLL_DEADLINE_MS } from '../constants/api.js';
import { REPLICA_FRESH_MS } from '../constants/leadership.js';
import { QUEUED_REPLICA_AGE_SHARE } from '../constants/records.js';
import type { DependencyStates } from '../jobs/dependency-states.js';
import type { Log } from '../logging/log.js';
import type { RefusalLog } from '../logging/refusal-log.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { ClusterState, JobView } from '../records/cluster-state.js';
import { decodeFinalJobRecord } from '../records/record-codecs.js';
import { FINAL_JOB_PREFIX, finalJobKey, jobKey } from '../records/record-keys.js';
import type { Replica } from '../store/replica.js';
import type { StoreClient } from '../store/store-client.js';
import type { Condition } from '../store/store-wire-codec.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionLimits } from '../store/transaction-draft.js';
import { JOB_ID_PATTERN, type JobStatus } from './job-wire-codec.js';

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
  /** The store refused this comparison, or did not answer it. */
  | 'store_refused'
  /** The user is about to give up. */
  | 'deadline_exceeded'
  /** The records changed at each attempt to confirm them. */
  | 'records_changed'
  /** This node can't tell whether a job that it depends on is cancelled. */
  | 'dependency_unknown'
  /** The job's record can't be decoded. */
  | 'record_unreadable';

const NOT_FOUND: LookupResult = { kind: 'not_found' };
const unavailable = (reason: UnavailableReason): LookupResult => ({ kind: 'unavailable', reason });

const foundJob = (status: JobStatus): LookupResult => ({ kind: 'found', status });

interface PendingLookup {
  jobId: string;
  /** Monotonic ms. */
  startedAtMs: number;
  /** Monotonic ms. */
  deadlineMs: number;
  resolve: (result: LookupResult) => void;
}

/** What lookups need from the other parts. */
export interface JobLookupDependencies {
  client: StoreClient;
  replica: Replica;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  states: DependencyStates;
  limits: TransactionLimits;
  clock: Clock;
  refusals: RefusalLog;
  log: Log;
  /** ms within which a cancellation must have taken effect. */
  cancelDeadlineMs: number;
}

/**
 * Reports the status of a job only once the store has confirmed it: a transaction without writes compares this node's records
 * with the store's. Lookups that arrive at about the same time share one comparison.
 */
export class JobLookup {
  private pending: PendingLookup[] = [];
  private isResolutionScheduled = false;

  constructor(private readonly dependencies: JobLookupDependencies) {}

  /** Known without a request: the store has refused or not answered this node for a while, and has not answered since. */
  get isStoreUnavailable(): boolean {
    const { client, replica, clock } = this.dependencies;
    return client.lastUnavailableAt > client.lastAnsweredAt && clock.now() - replica.freshAt > REPLICA_FRESH_MS;
  }

  /** Whether the replica holds every cancellation that must by now have taken effect on the dependents of the cancelled job. */
  get hasCurrentCancellations(): boolean {
    const { replica, clock, cancelDeadlineMs } = this.dependencies;
    return clock.now() - replica.freshAt < cancelDeadlineMs * QUEUED_REPLICA_AGE_SHARE;
  }

  /** The final status of the job, which never changes, if this node has it in memory. */
  finalStatus(jobId: string): JobStatus | undefined {
    const row = this.dependencies.transactions.read(finalJobKey(jobId));
    if (row.value === undefined) return undefined;
    const finalRecord = decodeFinalJobRecord(row.value);
    return {
      jobId,
      state: finalRecord.state,
      done: finalRecord.state === 'done' ? finalRecord.taskCount : 0,
      running: 0,
    };
  }

  /** The status as confirmed by the store; waits briefly to share one comparison with other lookups. */
  find(jobId: string): Promise<LookupResult> {
    return this.startUnlessFinal(jobId, (lookup) => {
      this.pending.push(lookup);
      void this.resolvePendingAfterDelay();
    });
  }

  /** Like `find`, but without waiting for other lookups. */
  findUnbatched(jobId: string): Promise<LookupResult> {
    return this.startUnlessFinal(jobId, (lookup) => void this.resolveBatch([lookup]));
  }

  private startUnlessFinal(jobId: string, startLookup: (lookup: PendingLookup) => void): Promise<LookupResult> {
    const final = this.finalStatus(jobId);
    if (final !== undefined) return Promise.resolve(foundJob(final));
    if (!JOB_ID_PATTERN.test(jobId)) return Promise.resolve(NOT_FOUND);
    const { clock } = this.dependencies;
    const startedAtMs = clock.now();
    const deadlineMs = startedAtMs + POLL_DEADLINE_MS;
    return new Promise((resolve) => {
      const lookup: PendingLookup = { jobId, startedAtMs, deadlineMs, resolve };
      if (this.isStoreUnavailable) this.complete(lookup, unavailable('store_unavailable'));
      else startLookup(lookup);
    });
  }

  /** Resolves the lookup; one that can't be answered is recorded with its reason. */
  private complete({ jobId, startedAtMs, resolve }: PendingLookup, result: LookupResult): void {
    const { clock, replica, refusals } = this.dependencies;
    if (result.kind === 'unavailable') {
      const nowMs = clock.now();
      const { reason } = result;
      const fields = { jobId, replicaRevision: replica.revision, replicaAgeMs: Math.round(nowMs - replica.freshAt) };
      refusals.record({ kind: 'query', reason, ageMs: nowMs - startedAtMs, fields });
    }
    resolve(result);
  }

  private async resolvePendingAfterDelay(): Promise<void> {
    if (this.isResolutionScheduled) return;
    this.isResolutionScheduled = true;
    await this.dependencies.clock.sleep(POLL_BATCHING_MS);
    this.isResolutionScheduled = false;
    const maxLookups = Math.floor(this.dependencies.limits.conditions / 2);
    while (this.pending.length > 0) void this.resolveBatch(this.pending.splice(0, maxLookups));
  }

  private async resolveBatch(batch: readonly PendingLookup[]): Promise<void> {
    const { client, clock, states, replica, log } = this.dependencies;
    let unresolved = batch;
    let reason: UnavailableReason = 'records_changed';
    for (let attempt = 0; attempt < MAX_POLL_ATTEMPTS && unresolved.length > 0; attempt++) {
      await states.loadFinalStates(unresolved.flatMap(({ jobId }) => this.dependenciesInUnknownState(jobId)));
      const nowMs = clock.now();
      for (const lookup of unresolved) {
        if (nowMs > lookup.deadlineMs) this.complete(lookup, unavailable('deadline_exceeded'));
      }
      unresolved = unresolved.filter((lookup) => nowMs <= lookup.deadlineMs);
      // The results are determined before the comparison, so that it confirms exactly what is reported.
      const results = new Map(unresolved.map(({ jobId }) => [jobId, this.unconfirmedResult(jobId)]));
      const decision = { decidedAtMs: Math.round(nowMs), replicaRevision: replica.revision };
      const result = await client.transact(this.conditionsFor(unresolved), [], Priority.record);
      if (result.kind === 'done') {
        for (const lookup of unresolved) {
          const { jobId } = lookup;
          log.debug(
            { jobId, ...decision, confirmedRevision: result.revision, ...results.get(jobId) },
            'query answered',
          );
          this.complete(lookup, results.get(jobId)!);
        }
        return;
      }
      if (result.kind !== 'conflict') {
        reason = 'store_refused';
        break;
      }
      await Promise.all(result.failed.map((key) => this.refreshRecord(key)));
    }
    for (const lookup of unresolved) this.complete(lookup, unavailable(reason));
  }

  /** Conditions that the live and final records of each job are the same in the store as on this node. */
  private conditionsFor(lookups: readonly PendingLookup[]): Condition[] {
    const { transactions } = this.dependencies;
    const keys = new Set(lookups.flatMap(({ jobId }) => [jobKey(jobId), finalJobKey(jobId)]));
    return [...keys].map((key) => ({ key, modRevision: transactions.read(key).modRevision }));
  }

  /** The direct and indirect dependencies of a job that are in state `unknown`. */
  private dependenciesInUnknownState(jobId: string): string[] {
    const { clusterState, states } = this.dependencies;
    return states.transitiveDependenciesOf(clusterState.dependencies.dependenciesOf(jobId)).unknown;
  }

  /** The result according to this node's records, before the store has confirmed them. */
  private unconfirmedResult(jobId: string): LookupResult {
    const final = this.finalStatus(jobId);
    return final === undefined ? this.liveResult(jobId) : foundJob(final);
  }

  private liveResult(jobId: string): LookupResult {
    const { clusterState, replica } = this.dependencies;
    const view = clusterState.jobs.get(jobId);
    // A live record that can't be decoded still proves that the job was accepted.
    if (view === undefined) {
      return replica.get(jobKey(jobId)).value === undefined ? NOT_FOUND : unavailable('record_unreadable');
    }
    const { doneCount: done, placedCount: running } = view;
    if (view.record.state === 'waiting') return this.waitingResult(view);
    if (view.record.state === 'cancelled') return foundJob({ jobId, state: 'cancelled', done, running: 0 });
    return foundJob({ jobId, state: running > 0 ? 'running' : 'queued', done, running });
  }

  /** A waiting job counts as cancelled as soon as this node knows that any job it depends on is cancelled. */
  private waitingResult({ jobId }: JobView): LookupResult {
    const { clusterState, states } = this.dependencies;
    const { isAnyCancelled, unknown } = states.transitiveDependenciesOf(
      clusterState.dependencies.dependenciesOf(jobId),
    );
    if (isAnyCancelled) return foundJob({ jobId, state: 'cancelled', done: 0, running: 0 });
    if (unknown.length > 0 || !this.hasCurrentCancellations) return unavailable('dependency_unknown');
    return foundJob({ jobId, state: 'queued', done: 0, running: 0 });
  }

  /** Reads a record again that differs from the store's. */
  private async refreshRecord(key: string): Promise<void> {
    const { client, transactions, replica } = this.dependencies;
    try {
      const row = await client.get(key, Priority.record);
      if (key.startsWith(FINAL_JOB_PREFIX)) transactions.cacheFinalRecord(key, row);
      else if (row.value !== undefined) replica.apply({ key, ...row });
      else if (row.revision !== undefined) replica.apply({ key, value: undefined, modRevision: row.revision });
    } catch {
      // The next comparison fails again, and the response tells the user to retry.
    }
  }
}
