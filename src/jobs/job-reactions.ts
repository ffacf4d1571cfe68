/** What follows from a change of a job's records: launches and stops, plans, its end, and the steps of its dependents. */
import { BATCH_PUSH_GATHER_SHARE } from '../constants/workers.js';
import { isPlacedByLeader } from '../domain/job.js';
import { CLUSTER_LEADER_ROLE, partitionRole } from '../domain/role.js';
import { taskIdOf } from '../domain/task.js';
import { isResponsibleFor } from '../leadership/responsibility.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { ClusterState, JobView } from '../records/cluster-state.js';
import type { DependencyProgress } from './dependency-progress.js';
import { hasJobEnded, type JobCompletion } from './job-completion.js';

/** The workers that this node commands. */
export interface CommandedWorkers {
  readonly workers: { get(machineId: string): { tasks: ReadonlyMap<string, { attempt: number }> } | undefined };
  /** Tells the machine's worker what has changed, after `gatherMs` at most. */
  pushCommands(machineId: string, gatherMs?: number): void;
}

/** Asks for a placement plan. */
export interface PlanTrigger {
  /** Something has changed that the next plan should know. */
  planSoon(isUrgent?: boolean): void;
}

/** The parts that changes are passed on to, and what that is decided by. */
export interface JobReactionsDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  workerManager: CommandedWorkers;
  planner: PlanTrigger;
  completion: JobCompletion;
  dependencyProgress: DependencyProgress;
  /** ms between two heartbeats of a worker. */
  reportPeriodMs: number;
}

/** Passes each change on to whom it concerns on this node. */
export class JobReactions {
  constructor(private readonly dependencies: JobReactionsDependencies) {}

  /** `taskIndexes`: only the placements of these tasks have changed; undefined: the job's record has. */
  jobChanged(jobId: string, taskIndexes?: readonly number[]): void {
    const { leadership, clusterState, planner, completion, dependencyProgress } = this.dependencies;
    const view = clusterState.jobs.get(jobId);
    if (taskIndexes === undefined) dependencyProgress.jobChanged(jobId);
    planner.planSoon(view !== undefined && this.isUrgent(view));
    if (view === undefined) return;
    for (const taskIndex of taskIndexes ?? [...view.knownPlacements()].map(([each]) => each))
      this.pushCommands(view, taskIndex);
    // All nodes see the end at the same moment, and a transaction that fails since another node was first costs like others.
    if (hasJobEnded(view) && isResponsibleFor(leadership, jobId)) void completion.complete(jobId);
  }

  /** Pushes to the machine of a task what it is to do about it, where that is new. */
  private pushCommands(view: JobView, taskIndex: number): void {
    const { workerManager, reportPeriodMs } = this.dependencies;
    const placement = view.placementOf(taskIndex);
    if (placement.kind !== 'placed') return;
    const worker = workerManager.workers.get(placement.machineId);
    if (worker === undefined) return;
    const isStopped = view.record.state === 'cancelled' || placement.gracePeriodS !== null;
    const task = worker.tasks.get(taskIdOf(view.jobId, taskIndex));
    if (isStopped) {
      workerManager.pushCommands(placement.machineId);
      return;
    }
    if (task?.attempt === placement.attempt) return;
    const isBatch = view.record.spec.kind === 'array';
    workerManager.pushCommands(placement.machineId, isBatch ? reportPeriodMs * BATCH_PUSH_GATHER_SHARE : undefined);
  }

  /** Has the job tasks that may wait for seconds at most, and that this very node places? */
  private isUrgent({ jobId, record, queued }: JobView): boolean {
    const { leadership } = this.dependencies;
    if (record.spec.kind === 'array' || record.state === 'waiting' || queued.length === 0) return false;
    const role = isPlacedByLeader(record.spec) ? CLUSTER_LEADER_ROLE : partitionRole(leadership.partitionOf(jobId));
    return leadership.leadershipOf(role) !== undefined;
  }
}
