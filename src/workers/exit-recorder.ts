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

/** Whom an exit is told to. */
export interface ExitListener {
  /** A task has run to its end, in `ranS` seconds. */
  taskCompleted(placedTask: PlacedTask, ranS: number): void;
  /** A task died unfinished: an unhealthy check. */
  taskDied(placedTask: PlacedTask): void;
}

/** Where exits are recorded, and who learns of them. */
export interface ExitRecorderDependencies {
  settings: Settings;
  leadership: RoleLeadership;
  clusterState: ClusterState;
  transactions: TransactionBatcher;
  accounting: TeamAccounting;
  workers: WorkerRegistry;
  stragglers: StragglerDetector;
  events: ExitListener;
  clock: Clock;
  log: Log;
}

/** Records the release of placements in the store, and draws from each exit what it tells of its machine. */
export class ExitRecorder {
  /** Keys of attempts whose end waits to be recorded, also on machines that this node has had no contact with. */
  private readonly recording = new Set<string>();

  constructor(private readonly dependencies: ExitRecorderDependencies) {}

  /**
   * Releases a placement, once at a time for each attempt. `currentProof` is asked again whenever the transaction is tried, and
   * gives the proof that it is made on; undefined: nothing proves it any more, and nothing is recorded.
   */
  record(
    machineId: string,
    role: string,
    release: PlacementRelease,
    currentProof: () => ReleaseProof | undefined,
  ): void {
    const attemptKey = attemptKeyOf(release.placedTask);
    if (this.recording.has(attemptKey)) return;
    this.recording.add(attemptKey);
    const worker = this.dependencies.workers.get(machineId);
    this.logExit(machineId, worker, release);
    if (worker !== undefined) this.updateWorker(worker, release);
    this.reportDeath(release);
    void this.commit(machineId, role, release, currentProof).finally(() => this.recording.delete(attemptKey));
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
        // What another leader has placed here in between, this proof does not speak of.
        if (!leadership.requireLeadership(draft, role) || leadership.termOf(role) !== term) return false;
        // Nor of a later placement on the same machine, after a transaction without an answer has released this one already.
        const proof = currentProof();
        if (proof === undefined) return false;
        return releasePlacement(draft, accounting, { jobId, taskIndex, machineId, proof, ending });
      },
      { batchingHint: clusterState.batchingHintFor(jobId, taskIndex, accounting.teamChangedByExit(spec)) },
    );
  }

  private updateWorker(worker: Worker, { placedTask, ending, task }: PlacementRelease): void {
    const { settings, stragglers, events, clock } = this.dependencies;
    const now = clock.now();
    const startedAt = worker.runTimes.runningSince.get(attemptKeyOf(placedTask));
    if (task !== undefined && ending !== 'lost') worker.health.recordExit(placedTask.jobId, ending, now);
    if (task?.exitReason === 'insufficient_resources' || task?.exitReason === 'already_present') {
      worker.health.backoffUntil = now + settings.cluster.workers.heartbeatIntervalMs;
    }
    if (ending !== 'done' || startedAt === undefined) return;
    events.taskCompleted(placedTask, (now - startedAt) / 1000);
    stragglers.compareWithSiblings(worker, placedTask, now - startedAt);
  }

  private reportDeath({ placedTask, ending }: PlacementRelease): void {
    const { clusterState, events } = this.dependencies;
    const isActive = clusterState.jobs.get(placedTask.jobId)?.record.state === 'active';
    const wasToBeStopped = placedTask.placement.gracePeriodS !== null || !isActive;
    if (ending !== 'done' && !wasToBeStopped) events.taskDied(placedTask);
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

/** Rounded to tenths; undefined: one of the moments is not known. */
function secondsBetween(fromMs: number | undefined, toMs: number | undefined): number | undefined {
  return fromMs === undefined || toMs === undefined ? undefined : Math.round((toMs - fromMs) / 100) / 10;
}
