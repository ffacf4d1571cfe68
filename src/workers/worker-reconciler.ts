import { parseTaskId } from '../domain/task.js';
import type { HeldLeadership, RoleLeadership } from '../leadership/role-leadership.js';
import type { Invariants } from '../logging/invariants.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { Replica } from '../store/replica.js';
import { attemptKeyFrom } from './attempt-key.js';
import type { CommandLog } from './command-log.js';
import type { FencingTokenAdvancer } from './fencing-token-advancer.js';
import { checkLaunchesRuledOut } from './launch-invariant.js';
import type { PlacementReleaser } from './placement-releaser.js';
import { type CommandPermissions, type DesiredTask, reconcile } from './reconciliation.js';
import type { Worker } from './worker.js';
import type { WorkerCommand } from './worker-wire-codec.js';

/** What a reconciliation is based on besides the worker's status: leadership and recorded placements. */
export interface ReconciliationRequest {
  role: string;
  held: HeldLeadership;
  desired: ReadonlyMap<string, DesiredTask>;
  /** The commands go into a heartbeat response: only there may an exit be forgotten. */
  isHeartbeatResponse: boolean;
}

/** The state that plans are based on, and the components that execute them. */
export interface WorkerReconcilerDependencies {
  leadership: RoleLeadership;
  replica: Replica;
  clusterState: ClusterState;
  releaser: PlacementReleaser;
  tokenAdvancer: FencingTokenAdvancer;
  commandLog: CommandLog;
  invariants: Invariants;
  /** Size in GB of the image cache of a machine of this type. */
  imageCacheGb: (machineType: string) => number;
}

/** Reconciles a worker's newest status with the recorded placements, and executes the plan except for its commands. */
export class WorkerReconciler {
  constructor(private readonly dependencies: WorkerReconcilerDependencies) {}

  /** Records exits, advances the fencing token if the plan needs it, and returns the commands to send. */
  reconcile(worker: Worker, request: ReconciliationRequest): WorkerCommand[] {
    const { releaser, tokenAdvancer, commandLog, invariants } = this.dependencies;
    const { role, held } = request;
    const { machineId } = worker;
    const plan = reconcile(worker, request.desired, this.permissionsFor(request));
    checkLaunchesRuledOut(worker, plan, { fencingToken: held.fencingToken, invariants });
    for (const release of plan.releases) releaser.release(machineId, role, release);
    const { needsNewToken: isUrgent, keptExitCount } = plan;
    if (isUrgent || keptExitCount > 0) tokenAdvancer.request({ role, held, machineId, isUrgent, keptExitCount });
    if (plan.heldLaunchCount > 0) commandLog.recordHeld(machineId, plan.heldLaunchCount);
    return plan.commands;
  }

  /** Records which images the reported tasks have brought to the machine. */
  recordImages(worker: Worker): void {
    const { clusterState, imageCacheGb } = this.dependencies;
    for (const [taskId, task] of worker.tasks) {
      if (task.state === 'fetching') continue;
      const jobId = parseTaskId(taskId)?.jobId;
      const spec = jobId === undefined ? undefined : clusterState.jobs.get(jobId)?.record.spec;
      if (spec === undefined || (task.state === 'exited' && task.exitReason !== 'done')) continue;
      if (!worker.imageCache.markRecorded(attemptKeyFrom(taskId, task.attempt))) continue;
      worker.imageCache.add(spec.image, spec.imageGb, imageCacheGb(worker.machineType));
    }
  }

  private permissionsFor({ held, isHeartbeatResponse }: ReconciliationRequest): CommandPermissions {
    const { leadership, replica } = this.dependencies;
    // Until the former leader's last releases are known here, tasks that it released and its worker forgot would be
    // launched again.
    const knowsAllPlacements = replica.revision >= held.term.startRevision;
    return {
      fencingToken: held.fencingToken,
      canLaunch: knowsAllPlacements && leadership.hasRecentStoreContact,
      knowsAllPlacements,
      isHeartbeatResponse,
    };
  }
}
