import { EVICT_STRAGGLER_FACTOR, SIBLINGS_KNOWN, STRAGGLER_FACTOR } from '../constants/workers.js';
import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import { markForStop } from '../records/placement-mutations.js';
import type { Clock } from '../net/clock.js';
import { Priority } from '../net/token-bucket.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import { attemptKeyOf, taskIdOfPlaced } from './attempt-key.js';
import type { Worker } from './worker.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Log } from '../logging/log.js';

/** Tells slow machines by tasks that run far longer than their siblings, and takes batch work off them. */
export class StragglerDetector {
  constructor(
    private readonly leadership: RoleLeadership,
    private readonly clusterState: ClusterState,
    private readonly transactions: TransactionBatcher,
    private readonly clock: Clock,
    private readonly log: Log,
  ) {}

  /** How long the finished tasks of a job ran on this node's machines. */
  private readonly finishedRunTimes = new Map<string, { count: number; meanMs: number }>();

  compareWithSiblings(worker: Worker, placedTask: PlacedTask, ranMs: number): void {
    // A task that goes on from a checkpoint has less left to run, and says nothing about others.
    if (placedTask.placement.attempt > 1) return;
    const known = this.finishedRunTimes.get(placedTask.jobId) ?? { count: 0, meanMs: 0 };
    if (known.count >= SIBLINGS_KNOWN && this.isHalfDone(placedTask.jobId)) {
      worker.slowness.recordRunTimeRatio(attemptKeyOf(placedTask), ranMs / known.meanMs, this.clock.now());
    }
    const count = known.count + 1;
    this.finishedRunTimes.set(placedTask.jobId, { count, meanMs: known.meanMs + (ranMs - known.meanMs) / count });
  }

  /** The first to finish are the short ones: compared with them alone, the other half would all seem slow. */
  private isHalfDone(jobId: string): boolean {
    const view = this.clusterState.jobs.get(jobId);
    return view !== undefined && view.done * 2 >= view.record.spec.taskCount;
  }

  /** Tasks that run far longer than their finished siblings show that their machine is slow, before they end. */
  checkRunning(worker: Worker): void {
    const now = this.clock.now();
    for (const [key, since] of worker.runTimes.runningSince) {
      const jobId = key.slice(0, key.lastIndexOf('/'));
      const known = this.finishedRunTimes.get(jobId);
      if (known === undefined || known.count < SIBLINGS_KNOWN || !key.endsWith('#1') || !this.isHalfDone(jobId))
        continue;
      if (now - since > STRAGGLER_FACTOR * known.meanMs)
        worker.slowness.recordRunTimeRatio(key, (now - since) / known.meanMs, now);
    }
  }

  /** Starts anew elsewhere what would take longer to end on a slow machine; services move by their happiness only. */
  evictFromSlowMachines(workers: Iterable<Worker>, roleOf: (machineId: string) => string): void {
    for (const jobId of this.finishedRunTimes.keys())
      if (!this.clusterState.jobs.has(jobId)) this.finishedRunTimes.delete(jobId);
    if (!this.leadership.isInTouchWithStore) return;
    const now = this.clock.now();
    for (const worker of workers) if (worker.isSlow(now)) this.evictSlowTasks(worker, roleOf(worker.machineId), now);
  }

  private evictSlowTasks(worker: Worker, role: string, now: number): void {
    for (const placedTask of [...this.clusterState.tasksOn(worker.machineId)]) {
      const spec = this.clusterState.jobs.get(placedTask.jobId)?.record.spec;
      const key = attemptKeyOf(placedTask);
      const since = worker.runTimes.runningSince.get(key);
      const mean = this.finishedRunTimes.get(placedTask.jobId)?.meanMs ?? (spec?.estimatedRunS ?? 0) * 1000;
      if (spec?.kind !== 'array' || placedTask.placement.gracePeriodS !== null || since === undefined) continue;
      if (now - since > EVICT_STRAGGLER_FACTOR * mean || worker.slowness.isEvicted(key)) continue;
      worker.slowness.markEvicted(key);
      this.log.info({ taskId: taskIdOfPlaced(placedTask), machine: worker.machineId }, 'taken off a slow machine');
      const gracePeriodS = spec.checkpointIntervalS > 0 ? spec.checkpointS : 0;
      void this.transactions.commit('relieve', Priority.background, (draft) => {
        if (!this.leadership.requireLeadership(draft, role)) return false;
        return markForStop(
          draft,
          placedTask.jobId,
          placedTask.taskIndex,
          worker.machineId,
          placedTask.placement.attempt,
          gracePeriodS,
        );
      });
    }
  }
}
