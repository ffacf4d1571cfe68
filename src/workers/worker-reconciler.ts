import { parseTaskId } from '../domain/task.js';
import type { HeldLeadership, RoleLeadership } from '../leadership/role-leadership.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { Replica } from '../store/replica.js';
import { attemptKeyFrom } from './attempt-key.js';
import type { FencingTokenAdvancer } from './fencing-token-advancer.js';
import type { PlacementReleaser } from './placement-releaser.js';
import { type CommandRights, type DesiredTask, reconcile } from './reconciliation.js';
import type { Worker } from './worker.js';
import type { WorkerCommand } from './worker-wire-codec.js';

/** What a reconciliation is made for. */
export interface ReconciliationRequest {
  role: string;
  held: HeldLeadership;
  desired: ReadonlyMap<string, DesiredTask>;
  /** The commands go into the answer to a heartbeat: only there may an exit be forgotten. */
  isHeartbeatAnswer: boolean;
}

/** What plans are made from, and who carries them out. */
export interface WorkerReconcilerDependencies {
  leadership: RoleLeadership;
  replica: Replica;
  clusterState: ClusterState;
  releaser: PlacementReleaser;
  tokenAdvancer: FencingTokenAdvancer;
  /** GB of images that a machine of the type keeps. */
  cacheGb: (machineType: string) => number;
}

/** Reconciles a worker's newest status with the recorded placements, and carries out all of the plan but its commands. */
export class WorkerReconciler {
  constructor(private readonly dependencies: WorkerReconcilerDependencies) {}

  /** Records exits, has the fencing token advanced where that is needed, and returns the commands to send. */
  reconcile(worker: Worker, request: ReconciliationRequest): WorkerCommand[] {
    const { releaser, tokenAdvancer } = this.dependencies;
    const plan = reconcile(worker, request.desired, this.rightsOf(request));
    for (const release of plan.releases) releaser.release(worker.machineId, request.role, release);
    if (plan.needsNewToken) tokenAdvancer.advance(request.role);
    return plan.commands;
  }

  /** Records which images the tasks of the newest status have brought to the machine. */
  recordImages(worker: Worker): void {
    const { clusterState, cacheGb } = this.dependencies;
    for (const [taskId, task] of worker.tasks) {
      if (task.state === 'fetching') continue;
      const jobId = parseTaskId(taskId)?.jobId;
      const spec = jobId === undefined ? undefined : clusterState.jobs.get(jobId)?.record.spec;
      if (spec === undefined || (task.state === 'exited' && task.exitReason !== 'done')) continue;
      if (!worker.imageCache.markRecorded(attemptKeyFrom(taskId, task.attempt))) continue;
      worker.imageCache.add(spec.image, spec.imageGb, cacheGb(worker.machineType));
    }
  }

  private rightsOf({ held, isHeartbeatAnswer }: ReconciliationRequest): CommandRights {
    const { leadership, replica } = this.dependencies;
    // What the former leader released, and its worker has forgotten, starts again unless it is known here.
    const knowsAllPlacements = replica.revision >= held.term.startRevision;
    return {
      fencingToken: held.fencingToken,
      canLaunch: knowsAllPlacements && leadership.hasRecentStoreContact,
      knowsAllPlacements,
      isHeartbeatAnswer,
    };
  }
}
