import type { Settings } from '../domain/settings.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import { releasePlacement } from '../records/placement-mutations.js';
import type { ReleaseProof } from '../records/placement-rules.js';
import type { TeamAccounting } from '../records/team-accounting.js';
import { exitPriority } from '../records/transaction-priority.js';
import type { CommitOutcome, TransactionBatcher } from '../store/transaction-batcher.js';
import { attemptKeyOf, taskIdOfPlaced } from './attempt-key.js';
import type { PlacementRelease } from './reconciliation.js';
import type { StragglerDetector } from './straggler-detector.js';
import type { Worker } from './worker.js';
import type { WorkerRegistry } from './worker-registry.js';

/** Receives the exits of tasks. */
export interface ExitListener {
  /** A task completed after it ran for `runTimeS` seconds. */
  taskCompleted(placedTask: PlacedTask, runTimeS: number): void;
  /** A task ended unfinished, which counts as a failed health check. */
  taskDied(placedTask: PlacedTask): void;
}

/** The records that exits change, and the components that use their information. */
export interface ExitRecorderDependencies {
  settings: Settings;
  leadership: RoleLeadership;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  accounting: TeamAccounting;
  workers: WorkerRegistry;
  stragglerDetector: StragglerDetector;
  events: ExitListener;
  clock: Clock;
  log: Log;
}

/** Records the release of placements in the store, and derives from each exit what it shows about the machine. */
export class ExitRecorder {
  /** Keys of attempts whose release is being committed, also on machines that this node has had no contact with. */
  private readonly pendingReleases = new Set<string>();

  constructor(private readonly dependencies: ExitRecorderDependencies) {}

  /**
   * Releases a placement; for each attempt at most one commit is in progress. `currentProof` is called on each try of
   * the transaction and returns the proof to use; if it returns undefined, the release is no longer proven and nothing
   * is recorded.
   */
  record(
    machineId: string,
    role: string,
    release: PlacementRelease,
    currentProof: () => ReleaseProof | undefined,
  ): void {
    const attemptKey = attemptKeyOf(release.placedTask);
    if (this.pendingReleases.has(attemptKey)) return;
    this.pendingReleases.add(attemptKey);
    const worker = this.dependencies.workers.get(machineId);
    this.logExit(machineId, worker, release);
    if (worker !== undefined) this.updateWorker(worker, release);
    this.reportUnfinishedExit(release);
    void this.commit(machineId, role, release, currentProof).finally(() => this.pendingReleases.delete(attemptKey));
  }

  private commit(
    machineId: string,
    role: string,
    { placedTask, ending }: PlacementRelease,
    currentProof: () => ReleaseProof | undefined,
  ): Promise<CommitOutcome> {
    const { leadership, clusterState, transactions, accounting } = this.dependencies;
    const { jobId, taskIndex } = placedTask;
    const term = leadership.termOf(role);
    const spec = clusterState.jobs.get(jobId)?.record.spec;
    return transactions.commit(
      'release placement',
      exitPriority(spec),
      (draft) => {
        // In another term the proof does not cover what another leader has placed on the machine in between.
        if (!leadership.requireLeadership(draft, role) || leadership.termOf(role) !== term) return false;
        // Nor does it cover a later placement on the same machine, after a transaction without a response has released
        // this one.
        const proof = currentProof();
        if (proof === undefined) return false;
        return releasePlacement(draft, accounting, { jobId, taskIndex, machineId, proof, ending });
      },
      { batchingHint: clusterState.batchingHintFor(jobId, taskIndex, accounting.teamChangedByExit(spec)) },
    );
  }

  private updateWorker(worker: Worker, { placedTask, ending, task }: PlacementRelease): void {
    const { settings, stragglerDetector, events, clock } = this.dependencies;
    const now = clock.now();
    const startedAt = worker.runTimes.runningSince.get(attemptKeyOf(placedTask));
    if (task !== undefined && ending !== 'lost') worker.health.recordExit(placedTask.jobId, ending, now);
    if (task?.exitReason === 'insufficient_resources' || task?.exitReason === 'already_present') {
      worker.health.backoffUntil = now + settings.cluster.workers.heartbeatIntervalMs;
    }
    if (ending !== 'done' || startedAt === undefined) return;
    events.taskCompleted(placedTask, (now - startedAt) / 1000);
    stragglerDetector.compareWithSiblings(worker, placedTask, now - startedAt);
  }

  private reportUnfinishedExit({ placedTask, ending }: PlacementRelease): void {
    const { clusterState, events } = this.dependencies;
    const isActive = clusterState.jobs.get(placedTask.jobId)?.record.state === 'active';
    const wasStopRequested = placedTask.placement.gracePeriodS !== null || !isActive;
    if (ending !== 'done' && !wasStopRequested) events.taskDied(placedTask);
  }

  private logExit(machineId: string, worker: Worker | undefined, { placedTask, proof, task }: PlacementRelease): void {
    const { clock, log } = this.dependencies;
    const attemptKey = attemptKeyOf(placedTask);
    const startedAt = worker?.runTimes.runningSince.get(attemptKey);
    const firstSeenAt = worker?.runTimes.firstSeen(attemptKey);
    log.debug(
      {
        machineId,
        taskId: taskIdOfPlaced(placedTask),
        attempt: placedTask.placement.attempt,
        proof: proof.kind,
        exitReason: task?.exitReason,
        fetchedS: secondsBetween(firstSeenAt ?? startedAt, startedAt),
        ranS: secondsBetween(startedAt, clock.now()),
      },
      'task exited',
    );
  }
}

/** Rounded to tenths; undefined if either time is unknown. */
function secondsBetween(fromMs: number | undefined, toMs: number | undefined): number | undefined {
  return fromMs === undefined || toMs === undefined ? undefined : Math.round((toMs - fromMs) / 100) / 10;
}
