/** Reacts to changes of a job's records: sends launches and stops, triggers plans, ends the job, advances its dependents. */
import { LAUNCH_BATCHING_SHARE } from '../constants/workers.js';
import type { Count } from '../domain/count.js';
import { isPlacedByLeader } from '../domain/job.js';
import { CLUSTER_LEADER_ROLE, partitionRole } from '../domain/role.js';
import { taskIdOf } from '../domain/task.js';
import { isResponsibleFor } from '../leadership/responsibility.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { ClusterState, JobView } from '../records/cluster-state.js';
import { hasJobEnded, type JobCompletion } from './job-completion.js';
import type { WaitingJobAdvancer } from './waiting-job-advancer.js';

/** The workers of this node's partitions, and how to send them commands. */
export interface WorkerCommandPusher {
  readonly workers: { get(machineId: string): { tasks: ReadonlyMap<string, { attempt: Count }> } | undefined };
  /** Sends the machine's worker the commands that have changed, after `batchingMs` at most. */
  pushCommands(machineId: string, batchingMs?: number): void;
}

/** Triggers placement plans. */
export interface PlanTrigger {
  /** Schedules a plan after a change that may affect placement. */
  planSoon(isUrgent?: boolean): void;
}

/** The parts that are notified of changes, and the state that decides which of them are. */
export interface JobChangeHandlerDependencies {
  leadership: RoleLeadership;
  clusterState: ClusterState;
  workerManager: WorkerCommandPusher;
  planner: PlanTrigger;
  completion: JobCompletion;
  waitingJobAdvancer: WaitingJobAdvancer;
  /** ms between two heartbeats of a worker. */
  reportPeriodMs: number;
}

/** Notifies the parts of this node that a change concerns. */
export class JobChangeHandler {
  constructor(private readonly dependencies: JobChangeHandlerDependencies) {}

  /** `taskIndexes`: only the placements of these tasks have changed; undefined: the job's record has changed. */
  jobChanged(jobId: string, taskIndexes?: readonly number[]): void {
    const { leadership, clusterState, planner, completion, waitingJobAdvancer } = this.dependencies;
    const view = clusterState.jobs.get(jobId);
    if (taskIndexes === undefined) waitingJobAdvancer.jobChanged(jobId);
    planner.planSoon(view !== undefined && this.isUrgent(view));
    if (view === undefined) return;
    for (const taskIndex of taskIndexes ?? [...view.storedPlacements()].map(([index]) => index))
      this.pushCommands(view, taskIndex);
    // All nodes see the end at the same time, so only the responsible one records it: a lost race costs a transaction too.
    if (hasJobEnded(view) && isResponsibleFor(leadership, jobId)) void completion.complete(jobId);
  }

  /** Pushes the stop of a task to its machine, or its launch unless the worker already reports this attempt. */
  private pushCommands(view: JobView, taskIndex: number): void {
    const { workerManager, reportPeriodMs } = this.dependencies;
    const placement = view.placementOf(taskIndex);
    if (placement.kind !== 'placed') return;
    const worker = workerManager.workers.get(placement.machineId);
    if (worker === undefined) return;
    const isStopped = view.record.state === 'cancelled' || placement.gracePeriodS !== null;
    const reportedTask = worker.tasks.get(taskIdOf(view.jobId, taskIndex));
    if (isStopped) {
      workerManager.pushCommands(placement.machineId);
      return;
    }
    if (reportedTask?.attempt === placement.attempt) return;
    const isBatch = view.record.spec.kind === 'array';
    workerManager.pushCommands(placement.machineId, isBatch ? reportPeriodMs * LAUNCH_BATCHING_SHARE : undefined);
  }

  /** Whether the job has queued tasks that may wait for seconds at most and that this node places. */
  private isUrgent({ jobId, record, queuedTaskIndexes }: JobView): boolean {
    const { leadership } = this.dependencies;
    if (record.spec.kind === 'array' || record.state === 'waiting' || queuedTaskIndexes.length === 0) return false;
    const role = isPlacedByLeader(record.spec) ? CLUSTER_LEADER_ROLE : partitionRole(leadership.partitionOf(jobId));
    return leadership.leadershipOf(role) !== undefined;
  }
}
