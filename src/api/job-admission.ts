/** Decides whether a well-formed submission is admitted. */
import { MAX_RETRY_AFTER_S, SUBMIT_DEADLINE_MS } from '../constants/api.js';
import { SUBMISSION_REPLICA_AGE_SHARE } from '../constants/records.js';
import type { JobSpec } from '../domain/job.js';
import type { MachineType } from '../domain/machine-type.js';
import type { Settings } from '../domain/settings.js';
import type { Team } from '../domain/team.js';
import type { DependencyStates } from '../jobs/dependency-states.js';
import type { Clock } from '../net/clock.js';
import type { JsonResponse } from '../net/json-response.js';
import { Priority } from '../net/token-bucket.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { Replica } from '../store/replica.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionLimits } from '../store/transaction-draft.js';
import type { JobLookup } from './job-lookup.js';
import { rejectPermanently, retryLater, storeUnavailable } from './job-responses.js';
import { checkRecordSize } from './record-size-check.js';
import { checkRunnable } from './runnable-check.js';

/** The cloud's machine types, as far as they are known. */
export interface MachineTypeCatalog {
  readonly catalog: ReadonlyMap<string, MachineType>;
}

/** What admission needs from the other parts. */
export interface JobAdmissionDependencies {
  settings: Settings;
  replica: Replica;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  lookup: JobLookup;
  states: DependencyStates;
  limits: TransactionLimits;
  inventory: MachineTypeCatalog;
  clock: Clock;
}

/** Why a submission is not admitted. */
export type Rejection =
  /** The node can't accept any submission now, and does not look up the job either. */
  | { kind: 'node_unavailable'; response: JsonResponse }
  /** The submission is rejected unless the job is already known; then the response is the job's status. */
  | { kind: 'rejected'; response: JsonResponse };

const nodeUnavailable = (response: JsonResponse): Rejection => ({ kind: 'node_unavailable', response });
const rejected = (response: JsonResponse): Rejection => ({ kind: 'rejected', response });

/** Checks the state of the node, then the job by itself, then the write backlog, then the jobs that it depends on. */
export class JobAdmission {
  private readonly teams: ReadonlyMap<string, Team>;
  /** Maximum size of a record in bytes, also after an announced change of the store's limits. */
  private readonly maxRecordBytes: number;

  constructor(private readonly dependencies: JobAdmissionDependencies) {
    const { teams, store } = dependencies.settings.cluster;
    this.teams = new Map(teams.map((team) => [team.name, team]));
    this.maxRecordBytes = store.strictest.valueBytes;
  }

  /** Returns undefined if the submission is admitted. */
  async check(spec: JobSpec, dependencies: readonly string[]): Promise<Rejection | undefined> {
    return (
      this.checkReadiness() ??
      this.checkJob(spec, dependencies) ??
      this.checkBacklog() ??
      (dependencies.length === 0 ? undefined : await this.checkDependencies(spec, dependencies))
    );
  }

  private checkReadiness(): Rejection | undefined {
    const { replica, lookup, inventory } = this.dependencies;
    if (!replica.isLoaded) return nodeUnavailable(retryLater('the records are not read yet'));
    if (lookup.isStoreUnavailable) return nodeUnavailable(storeUnavailable());
    if (inventory.catalog.size === 0) return rejected(retryLater('machine types are not known yet'));
    return undefined;
  }

  private checkJob(spec: JobSpec, dependencies: readonly string[]): Rejection | undefined {
    const { inventory, limits } = this.dependencies;
    const reason =
      checkRunnable(spec, this.teams.get(spec.team), inventory.catalog.values()) ??
      checkRecordSize(spec, dependencies, { transaction: limits, maxRecordBytes: this.maxRecordBytes });
    return reason === undefined ? undefined : rejected(rejectPermanently(reason));
  }

  /** Rejects at once if the writes queued ahead of this one take over 1 s; `Retry-After` is the time that they take. */
  private checkBacklog(): Rejection | undefined {
    const { settings, transactions } = this.dependencies;
    const backlogS = transactions.backlog(Priority.accept) / settings.cluster.store.current.writesPerSecond;
    if (backlogS <= 1) return undefined;
    const retryAfter = Math.min(MAX_RETRY_AFTER_S, Math.ceil(backlogS));
    return nodeUnavailable({ status: 429, body: { error: 'busy' }, retryAfter });
  }

  /** Each dependency must have been accepted by some node, and must not be a service, which never ends. */
  private async checkDependencies(spec: JobSpec, dependencies: readonly string[]): Promise<Rejection | undefined> {
    const { lookup, clusterState } = this.dependencies;
    if (dependencies.includes(spec.id)) return rejected(rejectPermanently('a job can not wait for itself'));
    if (!(await this.readUnknownDependencies(dependencies))) return nodeUnavailable(storeUnavailable());
    const unknown = this.unknownAmong(dependencies);
    const results = await lookup.findAll(unknown);
    const missing = unknown.find((_, index) => results[index]!.kind === 'not_found');
    if (missing !== undefined) return rejected(rejectPermanently(`${missing} was never accepted`));
    const isUnconfirmed = results.some(({ kind }) => kind === 'unavailable') || !this.hasCurrentCancellations;
    if (isUnconfirmed) return rejected(storeUnavailable());
    const service = dependencies.find(
      (dependency) => clusterState.jobs.get(dependency)?.record.spec.kind === 'service',
    );
    if (service !== undefined) return rejected(rejectPermanently(`${service} is a service, which never ends`));
    return undefined;
  }

  private unknownAmong(dependencies: readonly string[]): string[] {
    return dependencies.filter((dependency) => this.dependencies.states.stateOf(dependency) === 'unknown');
  }

  /**
   * Reads the records of dependencies that this node has no record of: most were accepted by another node just before. Resolves
   * to false if that takes too long; what has been read by then is known when the user tries again.
   */
  private async readUnknownDependencies(dependencies: readonly string[]): Promise<boolean> {
    const { replica, states, clock } = this.dependencies;
    if (this.unknownAmong(dependencies).length === 0) return true;
    const read = async (): Promise<boolean> => {
      await replica.refreshSince(clock.now(), Priority.accept);
      await states.loadFinalStates(this.unknownAmong(dependencies));
      return true;
    };
    return Promise.race([read(), clock.sleep(SUBMIT_DEADLINE_MS).then(() => false)]);
  }

  /** Whether the replica holds every cancellation that must by now have taken effect on the dependents of the cancelled job. */
  private get hasCurrentCancellations(): boolean {
    const { replica, clock, settings } = this.dependencies;
    const { cancelDeadlineMs } = settings.cluster.workers;
    return clock.now() - replica.freshAt < cancelDeadlineMs * SUBMISSION_REPLICA_AGE_SHARE;
  }
}
