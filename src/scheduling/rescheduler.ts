/** Moves unhappy service tasks to better machines, which a partition leader finds by stable re-matching. */
import type { MachineInfo } from '../domain/machine-state.js';
import { partitionRole } from '../domain/role.js';
import type { ReschedulingSettings } from '../domain/settings.js';
import { taskIdOf } from '../domain/task.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Invariants } from '../logging/invariants.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import { Priority } from '../net/token-bucket.js';
import { WorkTurns } from '../net/work-turns.js';
import type { ClusterState } from '../records/cluster-state.js';
import { markForStop } from '../records/placement-mutations.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { Happiness } from './decisions/happiness.js';
import type { MatchingMachine } from './decisions/matching.js';
import { beginRematching, type RunningTask } from './decisions/service-rematching.js';
import type { PlacementPlanner } from './placement-planner.js';

/** The state that the rescheduler reads, and the planner and transactions that move tasks. */
export interface ReschedulerDependencies {
  tuning: ReschedulingSettings;
  leadership: RoleLeadership;
  clusterState: ClusterState;
  inventory: MachineInventory;
  planner: Pick<PlacementPlanner, 'preferMachine' | 'freeResources'>;
  transactions: TransactionBatcher;
  happiness: Happiness;
  clock: Clock;
  random: Random;
  invariants: Invariants;
  log: Log;
}

/** Checks the service tasks of each partition that this node leads, and re-matches the partition when some are unhappy. */
export class Rescheduler {
  private readonly turns: WorkTurns;

  constructor(private readonly dependencies: ReschedulerDependencies) {
    const { clock, invariants } = dependencies;
    this.turns = new WorkTurns({ work: 're-matching', clock, invariants });
  }

  /** Checks until the signal aborts. The interval is jittered, so that the controllers don't all re-match at the same time. */
  async run(signal: AbortSignal): Promise<void> {
    const { tuning, leadership, clock, random } = this.dependencies;
    while (!signal.aborted) {
      await clock.sleep(random.jitter(tuning.checkIntervalMs), signal);
      if (signal.aborted || !leadership.hasRecentStoreContact || this.hasUnplacedBacklog()) continue;
      for (const partition of leadership.ledPartitions()) await this.reschedulePartition(partition);
    }
  }

  /**
   * Whether more service tasks are unplaced than a round would move. Placing them takes precedence: after an outage or the loss
   * of a zone all tasks that died count as unhappy, and re-matching a whole partition would delay starts and heartbeats.
   */
  private hasUnplacedBacklog(): boolean {
    const { clusterState, tuning } = this.dependencies;
    let unplaced = 0;
    for (const { record, placedCount } of clusterState.jobs.values()) {
      if (record.spec.kind === 'service' && record.state === 'active') unplaced += record.spec.taskCount - placedCount;
    }
    return unplaced > tuning.movesPerRound;
  }

  private async reschedulePartition(partition: number): Promise<void> {
    const { leadership, inventory, clock, tuning } = this.dependencies;
    const nowMs = clock.now();
    const machines = [...inventory.machines().values()].filter(
      (machine) => leadership.partitionOf(machine.machineId) === partition && inventory.isSchedulable(machine),
    );
    const runningTasks = this.runningServiceTasks(machines);
    const unhappyTasks = runningTasks.filter(({ taskId }) => this.isUnhappy(taskId, nowMs));
    if (unhappyTasks.length === 0) return;
    const matches = await this.rematch(runningTasks, machines);
    const movingJobs = new Set<string>();
    for (const task of unhappyTasks) {
      if (movingJobs.size >= tuning.movesPerRound) return;
      const target = matches.get(task.taskId);
      // A task without a match, or with its current machine as the match, is not moved.
      if (target === undefined || target.id === task.machineId) continue;
      if (movingJobs.has(task.jobId) || !this.canMove(task, nowMs)) continue;
      movingJobs.add(task.jobId);
      this.dependencies.happiness.recordMove(task.taskId, nowMs);
      this.move(task, target.id, partitionRole(partition));
    }
  }

  private runningServiceTasks(machines: readonly MachineInfo[]): RunningTask[] {
    const { clusterState } = this.dependencies;
    const runningTasks: RunningTask[] = [];
    for (const { machineId } of machines) {
      for (const { jobId, taskIndex, placement } of clusterState.tasksOn(machineId)) {
        const spec = clusterState.jobs.get(jobId)?.record.spec;
        if (spec?.kind !== 'service' || placement.gracePeriodS !== null) continue;
        const { attempt } = placement;
        runningTasks.push({ taskId: taskIdOf(jobId, taskIndex), jobId, taskIndex, machineId, attempt, spec });
      }
    }
    return runningTasks;
  }

  private isUnhappy(taskId: string, nowMs: number): boolean {
    const { happiness, tuning } = this.dependencies;
    const value = happiness.happinessOf(taskId, nowMs);
    return value !== undefined && value < tuning.happinessThreshold;
  }

  /** Matches in turns of the event loop. What has changed meanwhile is found when a move is committed. */
  private async rematch(
    runningTasks: readonly RunningTask[],
    machines: readonly MachineInfo[],
  ): Promise<Map<string, MatchingMachine>> {
    const { planner, clusterState } = this.dependencies;
    this.turns.begin();
    const matching = beginRematching({
      runningTasks,
      machines,
      freeByMachine: planner.freeResources(machines),
      placementsOf: (jobId) => clusterState.jobs.get(jobId)!.storedPlacements(),
    });
    for (const task of matching.tasks) {
      if (this.turns.isOver) await this.turns.next();
      matching.place(task);
    }
    this.turns.end();
    return matching.matches;
  }

  private canMove({ taskId, jobId }: RunningTask, nowMs: number): boolean {
    return this.dependencies.happiness.canMove(taskId, nowMs) && !this.isMoving(jobId);
  }

  /** Only one replica of a service moves at a time: a stopping or pending replica counts as moving. */
  private isMoving(jobId: string): boolean {
    const view = this.dependencies.clusterState.jobs.get(jobId);
    if (view === undefined || view.placedCount < view.record.spec.taskCount) return true;
    for (const [, placement] of view.storedPlacements()) {
      if (placement.kind === 'placed' && placement.gracePeriodS !== null) return true;
    }
    return false;
  }

  private move({ taskId, jobId, taskIndex, machineId, attempt }: RunningTask, toMachineId: string, role: string): void {
    const { planner, transactions, leadership, log } = this.dependencies;
    planner.preferMachine(taskId, toMachineId);
    log.info({ taskId, fromMachineId: machineId, toMachineId }, 'unhappy task moved');
    void transactions.commit('move', Priority.start, (draft) => {
      if (!leadership.requireLeadership(draft, role)) return false;
      return markForStop(draft, { jobId, taskIndex, placement: { machineId, attempt } }, 0);
    });
  }
}
