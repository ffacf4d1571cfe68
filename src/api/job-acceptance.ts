/** Records an admitted job in the store exactly once, however often it is submitted. */
import { SUBMIT_DEADLINE_MS } from '../constants/api.js';
import type { JobSpec } from '../domain/job.js';
import type { Settings } from '../domain/settings.js';
import type { DependencyStates } from '../jobs/dependency-states.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import { encodeFinalJobRecord, encodeJobRecord } from '../records/record-codecs.js';
import { finalJobKey, jobKey } from '../records/record-keys.js';
import type { JobRecord } from '../records/records.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { TransactionDraft } from '../store/transaction-draft.js';
import { tasksPerChunkFor } from './record-size-check.js';

/** What acceptance needs from the other parts. */
export interface JobAcceptanceDependencies {
  settings: Settings;
  transactions: TransactionBatcher;
  states: DependencyStates;
  clock: Clock;
  log: Log;
}

/** The result of an attempt to accept a job. */
export type AcceptanceOutcome =
  /** The job is recorded, as cancelled from the start if a job that it depends on is cancelled. */
  | { kind: 'accepted' }
  /** The store has a record of the job: it was submitted before. */
  | { kind: 'known' }
  /** The job was not recorded in time, or it is unknown whether it was. */
  | { kind: 'unavailable' };

/** Writes the first record of a job. */
export class JobAcceptance {
  private readonly tasksPerChunk: number;

  constructor(private readonly dependencies: JobAcceptanceDependencies) {
    this.tasksPerChunk = tasksPerChunkFor(dependencies.settings.cluster.store.strictest.valueBytes);
  }

  /** Gives up after the deadline for submissions. */
  async accept(spec: JobSpec, dependencies: readonly string[]): Promise<AcceptanceOutcome> {
    let state: JobRecord['state'] = 'active';
    const decide = (draft: TransactionDraft): boolean => {
      if (draft.get(finalJobKey(spec.id)) !== undefined || draft.get(jobKey(spec.id)) !== undefined) return false;
      state = this.writeRecord(draft, spec, dependencies);
      return true;
    };
    const { transactions } = this.dependencies;
    const outcome = await transactions.commit('submit', Priority.accept, decide, {
      timeoutMs: SUBMIT_DEADLINE_MS,
    });
    if (outcome.kind === 'void') return { kind: 'known' };
    if (outcome.kind !== 'done') return { kind: 'unavailable' };
    this.logAcceptance(spec, dependencies, state);
    return { kind: 'accepted' };
  }

  /**
   * The states of the dependencies need no conditions: `done` and `cancelled` are final, and while one is open the job is
   * recorded as waiting, and is evaluated again as soon as its record is seen.
   */
  private writeRecord(draft: TransactionDraft, spec: JobSpec, dependencies: readonly string[]): JobRecord['state'] {
    const { states, clock } = this.dependencies;
    const submittedAtMs = Math.round(clock.wall());
    const job: JobRecord = { spec, state: 'active', submittedAtMs, tasksPerChunk: this.tasksPerChunk };
    if (dependencies.length > 0 && states.transitiveDependenciesOf(dependencies).isAnyCancelled) {
      draft.set(finalJobKey(spec.id), encodeFinalJobRecord({ state: 'cancelled', taskCount: spec.taskCount }));
      return 'cancelled';
    }
    const mustWait = dependencies.length > 0 && states.stateOfAll(dependencies) !== 'done';
    draft.set(jobKey(spec.id), encodeJobRecord(mustWait ? { ...job, state: 'waiting', dependencies } : job));
    return mustWait ? 'waiting' : 'active';
  }

  private logAcceptance(spec: JobSpec, dependencies: readonly string[], state: JobRecord['state']): void {
    const { id: jobId, jobClass, team, taskCount, image, estimatedRunS, deadlineS } = spec;
    this.dependencies.log.info(
      { jobId, jobClass, team, taskCount, image, estimatedRunS, deadlineS, dependencies, state },
      'job accepted',
    );
  }
}
