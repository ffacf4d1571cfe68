/** Looks up the status of jobs: final states from memory, the others as recent as the store's own. */
import { POLL_COMPARISONS, POLL_DEADLINE_MS, POLL_GATHER_MS } from '../constants/api.js';
import { REPLICA_FRESH_MS } from '../constants/leadership.js';
import { QUEUED_FRESH_SHARE } from '../constants/records.js';
import type { DependencyStates } from '../jobs/dependency-states.js';
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
import { JOB_ID, type JobStatus } from './job-wire-codec.js';

/** What a lookup has found out. */
export type LookupResult =
  | { kind: 'found'; status: JobStatus }
  /** The store has just confirmed that there never was such a job. */
  | { kind: 'not_found' }
  /** It can't be told now: the store does not respond in time, or this node lacks something that the status depends on. */
  | { kind: 'unavailable' };

const NOT_FOUND: LookupResult = { kind: 'not_found' };
const UNAVAILABLE: LookupResult = { kind: 'unavailable' };

const foundJob = (status: JobStatus): LookupResult => ({ kind: 'found', status });

interface PendingLookup {
  jobId: string;
  /** Steady ms. */
  deadlineMs: number;
  resolve: (result: LookupResult) => void;
}

/** What lookups need of the other parts. */
export interface JobLookupDependencies {
  client: StoreClient;
  replica: Replica;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  states: DependencyStates;
  limits: TransactionLimits;
  clock: Clock;
  /** Time within which a cancellation must have taken effect. */
  cancelDeadlineMs: number;
}

/**
 * What is told of a job is confirmed by the store: a transaction without operations compares the records that this node has
 * with the store's own. Lookups of a moment share one comparison.
 */
export class JobLookup {
  private pending: PendingLookup[] = [];
  private isBatchScheduled = false;

  constructor(private readonly dependencies: JobLookupDependencies) {}

  /** Known without a request: the store has refused this node, or not responded, for a while, and has not responded since. */
  get isStoreUnavailable(): boolean {
    const { client, replica, clock } = this.dependencies;
    return client.lastRefusedAt > client.lastAnsweredAt && clock.now() - replica.freshAt > REPLICA_FRESH_MS;
  }

  /** Does the replica hold each cancellation that must by now have reached the jobs that depend on the cancelled one? */
  get knowsCancellations(): boolean {
    const { replica, clock, cancelDeadlineMs } = this.dependencies;
    return clock.now() - replica.freshAt < cancelDeadlineMs * QUEUED_FRESH_SHARE;
  }

  /** A final status from memory, if this node knows it: it never changes. */
  finalStatus(jobId: string): JobStatus | undefined {
    const row = this.dependencies.transactions.read(finalJobKey(jobId));
    if (row.value === undefined) return undefined;
    const ended = decodeFinalJobRecord(row.value);
    return { jobId, state: ended.state, done: ended.state === 'done' ? ended.taskCount : 0, running: 0 };
  }

  /** The status as recent as the store's own; lookups of a moment are resolved by one comparison. */
  find(jobId: string): Promise<LookupResult> {
    return this.startUnlessFinal(jobId, (lookup) => {
      this.pending.push(lookup);
      void this.resolveNextBatch();
    });
  }

  /** The same for a caller who can't wait for others' lookups. */
  findUnbatched(jobId: string): Promise<LookupResult> {
    return this.startUnlessFinal(jobId, (lookup) => void this.resolve([lookup]));
  }

  private startUnlessFinal(jobId: string, start: (lookup: PendingLookup) => void): Promise<LookupResult> {
    const final = this.finalStatus(jobId);
    if (final !== undefined) return Promise.resolve(foundJob(final));
    if (!JOB_ID.test(jobId)) return Promise.resolve(NOT_FOUND);
    if (this.isStoreUnavailable) return Promise.resolve(UNAVAILABLE);
    const deadlineMs = this.dependencies.clock.now() + POLL_DEADLINE_MS;
    return new Promise((resolve) => start({ jobId, deadlineMs, resolve }));
  }

  private async resolveNextBatch(): Promise<void> {
    if (this.isBatchScheduled) return;
    this.isBatchScheduled = true;
    await this.dependencies.clock.sleep(POLL_GATHER_MS);
    this.isBatchScheduled = false;
    const maxLookups = Math.floor(this.dependencies.limits.conditions / 2);
    while (this.pending.length > 0) void this.resolve(this.pending.splice(0, maxLookups));
  }

  private async resolve(batch: readonly PendingLookup[]): Promise<void> {
    const { client, clock, states } = this.dependencies;
    let open = batch;
    for (let round = 0; round < POLL_COMPARISONS && open.length > 0; round++) {
      await states.learn(open.flatMap(({ jobId }) => this.unresolvedAncestors(jobId)));
      const nowMs = clock.now();
      for (const each of open) if (nowMs > each.deadlineMs) each.resolve(UNAVAILABLE);
      open = open.filter((each) => nowMs <= each.deadlineMs);
      // The results are taken before the comparison: what it confirms is what is told.
      const results = new Map(open.map(({ jobId }) => [jobId, this.currentResult(jobId)]));
      const result = await client.transact(this.conditionsFor(open), [], Priority.record);
      if (result.kind === 'done') {
        for (const each of open) each.resolve(results.get(each.jobId)!);
        return;
      }
      if (result.kind !== 'conflict') break;
      await Promise.all(result.failed.map((key) => this.refreshRecord(key)));
    }
    for (const each of open) each.resolve(UNAVAILABLE);
  }

  /** Conditions that each job's records, live and final, are as this node has them. */
  private conditionsFor(lookups: readonly PendingLookup[]): Condition[] {
    const { transactions } = this.dependencies;
    const keys = new Set(lookups.flatMap(({ jobId }) => [jobKey(jobId), finalJobKey(jobId)]));
    return [...keys].map((key) => ({ key, modRevision: transactions.read(key).modRevision }));
  }

  /** Direct and indirect dependencies of a job of which it is not known how they have ended. */
  private unresolvedAncestors(jobId: string): string[] {
    const { clusterState, states } = this.dependencies;
    return states.ancestryOf(clusterState.dependencies.dependenciesOf(jobId)).unknown;
  }

  /** What this node has, as yet unconfirmed. */
  private currentResult(jobId: string): LookupResult {
    const final = this.finalStatus(jobId);
    return final === undefined ? this.liveResult(jobId) : foundJob(final);
  }

  private liveResult(jobId: string): LookupResult {
    const { clusterState, replica } = this.dependencies;
    const view = clusterState.jobs.get(jobId);
    // A record that can't be read is no reason to call an accepted job unknown.
    if (view === undefined) return replica.get(jobKey(jobId)).value === undefined ? NOT_FOUND : UNAVAILABLE;
    const { done, placed: running } = view;
    if (view.record.state === 'waiting') return this.waitingResult(view);
    if (view.record.state === 'cancelled') return foundJob({ jobId, state: 'cancelled', done, running: 0 });
    return foundJob({ jobId, state: running > 0 ? 'running' : 'queued', done, running });
  }

  /** A waiting job is cancelled with any job that it depends on, from when that one's cancellation is known. */
  private waitingResult({ jobId }: JobView): LookupResult {
    const { clusterState, states } = this.dependencies;
    const { isCancelled, unknown } = states.ancestryOf(clusterState.dependencies.dependenciesOf(jobId));
    if (isCancelled) return foundJob({ jobId, state: 'cancelled', done: 0, running: 0 });
    if (unknown.length > 0 || !this.knowsCancellations) return UNAVAILABLE;
    return foundJob({ jobId, state: 'queued', done: 0, running: 0 });
  }

  /** Reads a record that differs from the store's own. */
  private async refreshRecord(key: string): Promise<void> {
    const { client, transactions, replica } = this.dependencies;
    try {
      const row = await client.get(key, Priority.record);
      if (key.startsWith(FINAL_JOB_PREFIX)) transactions.cacheFinalRecord(key, row);
      else if (row.value !== undefined) replica.apply({ key, ...row });
      else if (row.revision !== undefined) replica.apply({ key, value: undefined, modRevision: row.revision });
    } catch {
      // The next comparison fails again, and the user is told to retry.
    }
  }
}
