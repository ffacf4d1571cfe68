/** What is known of jobs: final states from memory, the others as new as the store's own. */
import { REPLICA_FRESH_MS } from '../constants/leadership.js';
import { POLL_COMPARISONS, POLL_DEADLINE_MS, POLL_GATHER_MS } from '../constants/api.js';
import { QUEUED_FRESH_SHARE } from '../constants/records.js';
import type { DependencyStates } from '../jobs/dependency-states.js';
import type { ClusterState, JobView } from '../records/cluster-state.js';
import { decodeFinalJobRecord } from '../records/record-codecs.js';
import { FINAL_JOB_PREFIX, finalJobKey, jobKey } from '../records/record-keys.js';
import type { Condition } from '../store/store-wire-codec.js';
import type { StoreClient } from '../store/store-client.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionLimits } from '../store/transaction-draft.js';
import type { Replica } from '../store/replica.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import { JOB_ID, type JobStatus } from './job-wire-codec.js';

/** `unknown`: the store has just said that there never was such a job. */
export type LookupResult = JobStatus | 'unknown' | 'no answer';

interface PendingLookup {
  jobId: string;
  deadline: number;
  resolve: (found: LookupResult) => void;
}

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

export class JobLookup {
  private pending: PendingLookup[] = [];
  private isBatchScheduled = false;

  constructor(private readonly dependencies: JobLookupDependencies) {}

  /** Known on arrival: the store has refused this node, or not answered it, for a while, and has not answered since. */
  get isStoreUnavailable(): boolean {
    const { client, replica, clock } = this.dependencies;
    return client.lastRefusedAt > client.lastAnsweredAt && clock.now() - replica.freshAt > REPLICA_FRESH_MS;
  }

  /** Does the copy hold each cancellation that may be due to have reached the jobs after it? */
  get knowsCancellations(): boolean {
    const { replica, clock, cancelDeadlineMs } = this.dependencies;
    return clock.now() - replica.freshAt < cancelDeadlineMs * QUEUED_FRESH_SHARE;
  }

  /** A final state from memory: it never changes. */
  finalStatus(jobId: string): JobStatus | undefined {
    const row = this.dependencies.transactions.read(finalJobKey(jobId));
    if (row.value === undefined) return undefined;
    const ended = decodeFinalJobRecord(row.value);
    return { jobId, state: ended.state, done: ended.state === 'done' ? ended.taskCount : 0, running: 0 };
  }

  /** The state as new as the store's own; questions of a moment are answered by one comparison. */
  find(jobId: string): Promise<LookupResult> {
    return this.findFinalOr(jobId, (lookup) => {
      this.pending.push(lookup);
      void this.resolveNextBatch();
    });
  }

  /** The same for somebody who can't wait for others' questions. */
  findUnbatched(jobId: string): Promise<LookupResult> {
    return this.findFinalOr(jobId, (lookup) => void this.resolve([lookup]));
  }

  private findFinalOr(jobId: string, put: (lookup: PendingLookup) => void): Promise<LookupResult> {
    const final = this.finalStatus(jobId);
    if (final !== undefined) return Promise.resolve(final);
    if (!JOB_ID.test(jobId)) return Promise.resolve('unknown');
    if (this.isStoreUnavailable) return Promise.resolve('no answer');
    const deadline = this.dependencies.clock.now() + POLL_DEADLINE_MS;
    return new Promise((resolve) => put({ jobId, deadline, resolve }));
  }

  private async resolveNextBatch(): Promise<void> {
    if (this.isBatchScheduled) return;
    this.isBatchScheduled = true;
    await this.dependencies.clock.sleep(POLL_GATHER_MS);
    this.isBatchScheduled = false;
    const most = Math.floor(this.dependencies.limits.conditions / 2);
    while (this.pending.length > 0) void this.resolve(this.pending.splice(0, most));
  }

  private async resolve(batch: PendingLookup[]): Promise<void> {
    const { client, clock, states } = this.dependencies;
    let open = batch;
    for (let round = 0; round < POLL_COMPARISONS && open.length > 0; round++) {
      await states.learn(open.flatMap(({ jobId }) => this.unresolvedAncestors(jobId)));
      const now = clock.now();
      for (const each of open) if (now > each.deadline) each.resolve('no answer');
      open = open.filter((each) => now <= each.deadline);
      // The answers are taken before the comparison: what it confirms is what is told.
      const answers = new Map(open.map(({ jobId }) => [jobId, this.finalStatus(jobId) ?? this.liveStatus(jobId)]));
      const result = await client.transact(this.conditionsFor(open), [], Priority.record);
      if (result.kind === 'done') {
        for (const each of open) each.resolve(answers.get(each.jobId)!);
        return;
      }
      if (result.kind !== 'conflict') break;
      await Promise.all(result.failed.map((key) => this.refreshRecord(key)));
    }
    for (const each of open) each.resolve('no answer');
  }

  /** Each job's records as this node has them, live and final. */
  private conditionsFor(lookups: readonly PendingLookup[]): Condition[] {
    const { transactions } = this.dependencies;
    const keys = new Set(lookups.flatMap(({ jobId }) => [jobKey(jobId), finalJobKey(jobId)]));
    return [...keys].map((key) => ({ key, modRevision: transactions.read(key).modRevision }));
  }

  /** Jobs before a waiting one of which it is not known how they have ended. */
  private unresolvedAncestors(jobId: string): string[] {
    const { clusterState, states } = this.dependencies;
    return states.ancestryOf(clusterState.dependencies.dependenciesOf(jobId)).unknown;
  }

  private liveStatus(jobId: string): LookupResult {
    const { clusterState, replica } = this.dependencies;
    const view = clusterState.jobs.get(jobId);
    // A record that can't be read is no reason to call an accepted job unknown.
    if (view === undefined) return replica.get(jobKey(jobId)).value === undefined ? 'unknown' : 'no answer';
    if (view.record.state === 'waiting') return this.waitingStatus(view);
    if (view.record.state === 'cancelled') return { jobId, state: 'cancelled', done: view.done, running: 0 };
    return { jobId, state: view.placed > 0 ? 'running' : 'queued', done: view.done, running: view.placed };
  }

  /** A waiting job is cancelled with any job before it, from the moment on at which that one's cancellation is known. */
  private waitingStatus({ jobId }: JobView): LookupResult {
    const { clusterState, states } = this.dependencies;
    const { isCancelled, unknown } = states.ancestryOf(clusterState.dependencies.dependenciesOf(jobId));
    if (isCancelled) return { jobId, state: 'cancelled', done: 0, running: 0 };
    if (unknown.length > 0 || !this.knowsCancellations) return 'no answer';
    return { jobId, state: 'queued', done: 0, running: 0 };
  }

  private async refreshRecord(key: string): Promise<void> {
    const { client, transactions, replica } = this.dependencies;
    try {
      const row = await client.get(key, Priority.record);
      if (key.startsWith(FINAL_JOB_PREFIX)) transactions.remember(key, row);
      else if (row.value !== undefined) replica.apply({ key, ...row });
      else if (row.revision !== undefined) replica.apply({ key, value: undefined, modRevision: row.revision });
    } catch {
      // The next comparison fails again, and the user is told to come back.
    }
  }
}
