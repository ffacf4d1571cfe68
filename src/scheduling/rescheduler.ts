import type { ReschedulingSettings } from '../domain/settings.js';
import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import { markForStop } from '../records/placement-mutations.js';
import { taskIdOf } from '../domain/task.js';
import type { JobSpec } from '../domain/job.js';
import { isAllowedOn, isZoneAllowed, countTasksPerZone } from '../records/placement-rules.js';
import { resourcesOf, subtractResources } from '../domain/resources.js';
import { partitionRole } from '../domain/role.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import { Priority } from '../net/token-bucket.js';
import type { Happiness } from './decisions/happiness.js';
import { match, type MatchingMachine, type MatchingTask } from './decisions/matching.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import type { Log } from '../logging/log.js';
import type { PlacementPlanner } from './placement-planner.js';

interface RunningTask {
  taskId: string;
  placedTask: PlacedTask;
  spec: JobSpec;
}

/** Checks the happiness of the service tasks of each partition led here and re-matches when some are unhappy. */
export class Rescheduler {
  constructor(
    private readonly tuning: ReschedulingSettings,
    private readonly leadership: RoleLeadership,
    private readonly clusterState: ClusterState,
    private readonly inventory: MachineInventory,
    private readonly planner: PlacementPlanner,
    private readonly transactions: TransactionBatcher,
    private readonly happiness: Happiness,
    private readonly clock: Clock,
    private readonly random: Random,
    private readonly log: Log,
  ) {}

  /** Checks are jittered, so that the controllers' re-matches do not start in one tick. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(this.random.jitter(this.tuning.checkIntervalMs), signal);
      if (signal.aborted || !this.leadership.isInTouchWithStore || this.hasUnplacedBacklog()) continue;
      for (const partition of this.leadership.ledPartitions()) this.reschedulePartition(partition);
    }
  }

  /**
   * More service tasks without any place than a round would move: they come first. After an outage or a lost zone all that
   * have died count as unhappy, and matching a whole partition anew takes the time that the starts and the reports need.
   */
  private hasUnplacedBacklog(): boolean {
    let unplaced = 0;
    for (const { record, placed } of this.clusterState.jobs.values()) {
      if (record.spec.kind === 'service' && record.state === 'active') unplaced += record.spec.taskCount - placed;
    }
    return unplaced > this.tuning.movesPerRound;
  }

  private reschedulePartition(partition: number): void {
    const now = this.clock.now();
    const machines = [...this.inventory.machines().values()].filter(
      (machine) => this.leadership.partitionOf(machine.machineId) === partition && this.inventory.isOpen(machine),
    );
    const runningTasks: RunningTask[] = [];
    for (const machine of machines) {
      for (const placedTask of this.clusterState.tasksOn(machine.machineId)) {
        const spec = this.clusterState.jobs.get(placedTask.jobId)?.record.spec;
        if (spec?.kind !== 'service' || placedTask.placement.gracePeriodS !== null) continue;
        runningTasks.push({ taskId: taskIdOf(placedTask.jobId, placedTask.taskIndex), placedTask, spec });
      }
    }
    const unhappy = runningTasks.filter(({ taskId }) => {
      const happiness = this.happiness.happinessOf(taskId, now);
      return happiness !== undefined && happiness < this.tuning.happinessThreshold;
    });
    if (unhappy.length === 0) return;
    const matches = this.rematch(runningTasks, machines);
    let moveCount = 0;
    const movingJobs = new Set<string>();
    for (const { taskId, placedTask } of unhappy) {
      const machine = matches.get(taskId);
      // Unmatched tasks stay put, and so do those matched to the machine they are on.
      if (machine === undefined || machine.id === placedTask.placement.machineId) continue;
      if (
        moveCount >= this.tuning.movesPerRound ||
        movingJobs.has(placedTask.jobId) ||
        !this.happiness.canMove(taskId, now)
      )
        continue;
      if (this.isMoving(placedTask.jobId)) continue;
      moveCount++;
      movingJobs.add(placedTask.jobId);
      this.happiness.noteMove(taskId, now);
      this.planner.prefer(taskId, machine.id);
      this.log.info(
        { taskId, fromMachineId: placedTask.placement.machineId, toMachineId: machine.id },
        'unhappy task moved',
      );
      void this.transactions.commit('move', Priority.start, (draft) => {
        if (!this.leadership.requireLeadership(draft, partitionRole(partition))) return false;
        return markForStop(
          draft,
          placedTask.jobId,
          placedTask.taskIndex,
          placedTask.placement.machineId,
          placedTask.placement.attempt,
          0,
        );
      });
    }
  }

  /** Never two replicas of one service at once: one that is stopping or waiting for a place counts. */
  private isMoving(jobId: string): boolean {
    const view = this.clusterState.jobs.get(jobId);
    if (view === undefined || view.placed < view.record.spec.taskCount) return true;
    for (const [, placement] of view.knownPlacements())
      if (placement.kind === 'placed' && placement.gracePeriodS !== null) return true;
    return false;
  }

  private rematch(
    runningTasks: readonly RunningTask[],
    machines: readonly { machineId: string; zone: string; machineType: string }[],
  ) {
    const freeByMachine = this.planner.freeResources(this.machinesOf(machines));
    // All service tasks of the partition are matched anew, so their resources count as free.
    for (const { placedTask, spec } of runningTasks) {
      const free = freeByMachine.get(placedTask.placement.machineId);
      if (free === undefined) continue;
      subtractResources(free, spec, -1);
    }
    const specByJob = new Map(runningTasks.map(({ placedTask, spec }) => [placedTask.jobId, spec]));
    const inventoryMachines = this.inventory.machines();
    const zoneCountsOutside = new Map<string, Map<string, number>>();
    for (const jobId of specByJob.keys()) {
      const indexesInside = new Set(
        runningTasks
          .filter(({ placedTask }) => placedTask.jobId === jobId)
          .map(({ placedTask }) => placedTask.taskIndex),
      );
      const others = [...this.clusterState.jobs.get(jobId)!.knownPlacements()]
        .filter(([taskIndex]) => !indexesInside.has(taskIndex))
        .map(([, placement]) => placement);
      zoneCountsOutside.set(jobId, countTasksPerZone(others));
    }
    const matchingMachines: MatchingMachine[] = machines.map((machine) => ({
      id: machine.machineId,
      zone: machine.zone,
      free: freeByMachine.get(machine.machineId)!,
    }));
    // Without usage data of the machine, a task's use equals its request.
    const matchingTasks: MatchingTask[] = runningTasks.map(({ taskId, placedTask, spec }) => ({
      id: taskId,
      group: placedTask.jobId,
      usage: resourcesOf(spec),
      requested: resourcesOf(spec),
    }));
    return match(matchingTasks, matchingMachines, {
      isAllowed: (jobId, { id }) => {
        const machine = inventoryMachines.get(id);
        return (
          machine !== undefined && isAllowedOn(specByJob.get(jobId)!, machine) && !machine.failedJobs.includes(jobId)
        );
      },
      isZoneOpen: (jobId, zone, taken) => {
        const zoneCounts = new Map(zoneCountsOutside.get(jobId));
        for (const [each, count] of taken) zoneCounts.set(each, (zoneCounts.get(each) ?? 0) + count);
        return isZoneAllowed(specByJob.get(jobId)!, zoneCounts, zone);
      },
      isMachineOpen: () => true,
      tierOf: () => 0,
    });
  }

  private machinesOf(machines: readonly { machineId: string }[]) {
    const all = this.inventory.machines();
    return machines.map((machine) => all.get(machine.machineId)!);
  }
}
