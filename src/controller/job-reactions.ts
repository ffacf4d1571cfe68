/** What follows from a change of a job's records: launches and stops, plans, its end, and the steps of jobs after it. */
import { BATCH_PUSH_GATHER_SHARE } from '../constants.js';
import type { Book, JobView } from '../ledger/book.js';
import { shardName } from '../ledger/records.js';
import { LEADER, partitionRole, type Claims } from './claims.js';
import type { JobCompletion } from './job-completion.js';
import type { Owner } from './owner.js';
import type { PipelineProgress } from './pipeline-progress.js';
import { isLarge } from './placer.js';
import type { Planner } from './planner.js';
import { isResponsibleFor } from './responsibility.js';

export interface JobReactionsDependencies {
  claims: Claims;
  book: Book;
  owner: Owner;
  planner: Planner;
  completion: JobCompletion;
  pipelineProgress: PipelineProgress;
  /** ms between two reports of a worker. */
  reportPeriodMs: number;
}

export class JobReactions {
  constructor(private readonly dependencies: JobReactionsDependencies) {}

  /** `shards`: of the job's ledger only these have changed; undefined: its record has. */
  jobChanged(ref: string, shards?: readonly number[]): void {
    const { claims, book, planner, completion, pipelineProgress } = this.dependencies;
    const view = book.jobs.get(ref);
    if (shards === undefined) pipelineProgress.jobChanged(ref);
    planner.poke(view !== undefined && this.isUrgent(view));
    if (view === undefined) return;
    for (const shard of shards ?? [...view.known()].map(([each]) => each)) this.tellWorker(view, shard);
    // All nodes see the end at the same moment: changes that fail for another node's being first count like others.
    const isOver = view.placed === 0 && (view.record.phase === 'withdrawn' || view.complete);
    if (isOver && isResponsibleFor(claims, ref)) void completion.complete(ref);
  }

  /** Tells the machine of a task what it is to do about it, where that is new. */
  private tellWorker(view: JobView, shard: number): void {
    const { owner, reportPeriodMs } = this.dependencies;
    const slot = view.slot(shard);
    if (slot.kind !== 'placed') return;
    const worker = owner.workers.get(slot.host);
    if (worker === undefined) return;
    const isStopped = view.record.phase === 'withdrawn' || slot.stop !== null;
    const task = worker.tasks.get(shardName(view.ref, shard));
    const isLaunched = task !== undefined && task.attempt === slot.attempt;
    const isBatch = view.record.spec.Shape === 'array';
    if (isStopped) owner.push(slot.host);
    else if (!isLaunched) owner.push(slot.host, isBatch ? reportPeriodMs * BATCH_PUSH_GATHER_SHARE : undefined);
  }

  /** Does work wait here for seconds at most, that this very node places? */
  private isUrgent({ ref, record, queued }: JobView): boolean {
    const { claims } = this.dependencies;
    if (record.spec.Shape === 'array' || record.phase === 'waiting' || queued.length === 0) return false;
    const role = isLarge(record.spec) ? LEADER : partitionRole(claims.partitionOf(ref));
    return claims.holding(role) !== undefined;
  }
}
