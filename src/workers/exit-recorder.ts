/** Records in the ledger that places are free, and draws from each exit what it tells of its machine. */
import type { Settings } from '../domain/settings.js';
import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import { releasePlacement } from '../records/placement-mutations.js';
import type { Proof } from '../records/placement-rules.js';
import type { TeamAccounting } from '../records/team-accounting.js';
import { exitPriority } from '../records/transaction-priority.js';
import type { Clock } from '../net/clock.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import { attemptKeyOf, taskIdOfPlaced } from './attempt-key.js';
import type { PlacementRelease } from './reconciliation.js';
import type { Worker } from './worker.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';
import type { StragglerDetector } from './straggler-detector.js';
import type { WorkerRegistry } from './worker-registry.js';

/** Whom an exit is told to. */
export interface ExitListener {
  /** A task has run to its end. */
  completed(placedTask: PlacedTask, ranS: number): void;
  /** A task died unfinished: an unhealthy check. */
  died(placedTask: PlacedTask): void;
}

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

export class ExitRecorder {
  /** Attempts whose end is handed to the ledger and not yet recorded, also on machines that this node has never heard. */
  private readonly recording = new Set<string>();

  constructor(private readonly dependencies: ExitRecorderDependencies) {}

  /** Frees a place; `proofNow` is asked again whenever the decision is tried, and gives the proof that it is taken on. */
  record(machineId: string, role: string, release: PlacementRelease, proofNow: () => Proof | undefined): void {
    const key = attemptKeyOf(release.placedTask);
    if (this.recording.has(key)) return;
    this.recording.add(key);
    const worker = this.dependencies.workers.get(machineId);
    this.logExit(machineId, worker, release);
    if (worker !== undefined) this.updateWorker(worker, release);
    this.reportDeath(release);
    void this.commit(machineId, role, release, proofNow).finally(() => this.recording.delete(key));
  }

  private commit(
    machineId: string,
    role: string,
    { placedTask, ending }: PlacementRelease,
    proofNow: () => Proof | undefined,
  ) {
    const { leadership, clusterState, transactions, accounting } = this.dependencies;
    const term = leadership.termOf(role);
    const spec = clusterState.jobs.get(placedTask.jobId)?.record.spec;
    return transactions.commit(
      'free',
      exitPriority(spec),
      (draft) => {
        // What another owner has placed here in between, this proof does not speak of.
        if (!leadership.requireLeadership(draft, role) || leadership.termOf(role) !== term) return false;
        // Nor of a later stay on the same machine, after a change without an answer has freed the place already.
        const proof = proofNow();
        if (proof === undefined) return false;
        return releasePlacement(draft, accounting, placedTask.jobId, placedTask.taskIndex, machineId, proof, ending);
      },
      undefined,
      clusterState.batchingHintFor(placedTask.jobId, placedTask.taskIndex, accounting.teamChangedByExit(spec)),
    );
  }

  private updateWorker(worker: Worker, { placedTask, ending, task }: PlacementRelease): void {
    const { settings, stragglers, events, clock } = this.dependencies;
    const now = clock.now();
    const startedAt = worker.runTimes.runningSince.get(attemptKeyOf(placedTask));
    if (task !== undefined && (ending === 'done' || ending === 'failed'))
      worker.health.recordExit(placedTask.jobId, ending, now);
    if (task?.exitReason === 'insufficient_resources' || task?.exitReason === 'already_present') {
      worker.health.backoffUntil = now + settings.cluster.workers.heartbeatIntervalMs;
    }
    if (ending === 'done' && startedAt !== undefined) {
      events.completed(placedTask, (now - startedAt) / 1000);
      stragglers.compareWithSiblings(worker, placedTask, now - startedAt);
    }
  }

  private reportDeath({ placedTask, ending }: PlacementRelease): void {
    const { clusterState, events } = this.dependencies;
    const isStopped =
      placedTask.placement.gracePeriodS !== null || clusterState.jobs.get(placedTask.jobId)?.record.state !== 'active';
    if (ending !== 'done' && !isStopped) events.died(placedTask);
  }

  private logExit(machineId: string, worker: Worker | undefined, { placedTask, proof, task }: PlacementRelease): void {
    const { clock, log } = this.dependencies;
    const key = attemptKeyOf(placedTask);
    const now = clock.now();
    const startedAt = worker?.runTimes.runningSince.get(key);
    const seconds = (ms: number | undefined) => (ms === undefined ? undefined : Math.round(ms / 100) / 10);
    log.debug(
      {
        machine: machineId,
        taskId: taskIdOfPlaced(placedTask),
        attempt: placedTask.placement.attempt,
        proof: proof.kind,
        exitReason: task?.exitReason,
        fetchedS: seconds(
          startedAt === undefined ? undefined : startedAt - (worker?.runTimes.firstSeen(key) ?? startedAt),
        ),
        ranS: seconds(startedAt === undefined ? undefined : now - startedAt),
      },
      'task over',
    );
  }
}
