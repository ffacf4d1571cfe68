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

interface Running {
  name: string;
  placedTask: PlacedTask;
  spec: JobSpec;
}

/** The design's heart: tests the happiness of each part's service tasks and re-matches when some are unhappy. */
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
      if (signal.aborted || !this.leadership.isInTouchWithStore || this.othersComeFirst()) continue;
      for (const partition of this.leadership.ledPartitions()) this.round(partition);
    }
  }

  /**
   * More service tasks without any place than a round would move: they come first. After an outage or a lost zone all that
   * have died count as unhappy, and matching a whole partition anew takes the time that the starts and the reports need.
   */
  private othersComeFirst(): boolean {
    let waiting = 0;
    for (const { record, placed } of this.clusterState.jobs.values()) {
      if (record.spec.kind === 'service' && record.state === 'active') waiting += record.spec.taskCount - placed;
    }
    return waiting > this.tuning.movesPerRound;
  }

  private round(partition: number): void {
    const now = this.clock.now();
    const machines = [...this.inventory.machines().values()].filter(
      (machine) => this.leadership.partitionOf(machine.machineId) === partition && this.inventory.isOpen(machine),
    );
    const running: Running[] = [];
    for (const machine of machines) {
      for (const placedTask of this.clusterState.tasksOn(machine.machineId)) {
        const spec = this.clusterState.jobs.get(placedTask.jobId)?.record.spec;
        if (spec?.kind !== 'service' || placedTask.placement.gracePeriodS !== null) continue;
        running.push({ name: taskIdOf(placedTask.jobId, placedTask.taskIndex), placedTask, spec });
      }
    }
    const unhappy = running.filter(({ name }) => {
      const happiness = this.happiness.happinessOf(name, now);
      return happiness !== undefined && happiness < this.tuning.happinessThreshold;
    });
    if (unhappy.length === 0) return;
    const target = this.rematch(running, machines);
    let moves = 0;
    const moving = new Set<string>();
    for (const { name, placedTask } of unhappy) {
      const host = target.get(name);
      // Unmatched tasks stay put, and so do those matched to the machine they are on.
      if (host === undefined || host.id === placedTask.placement.machineId) continue;
      if (moves >= this.tuning.movesPerRound || moving.has(placedTask.jobId) || !this.happiness.canMove(name, now))
        continue;
      if (this.isMoving(placedTask.jobId)) continue;
      moves++;
      moving.add(placedTask.jobId);
      this.happiness.noteMove(name, now);
      this.planner.prefer(name, host.id);
      this.log.info({ taskId: name, from: placedTask.placement.machineId, to: host.id }, 'unhappy task moves');
      void this.transactions.commit('move', Priority.start, (draft) => {
        if (!this.leadership.requireLeadership(draft, partitionRole(partition))) return false;
        return markForStop(draft, placedTask, 0);
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
    running: readonly Running[],
    machines: readonly { machineId: string; zone: string; machineType: string }[],
  ) {
    const rooms = this.planner.freeResources(this.machinesOf(machines));
    // All service tasks of the partition are matched anew, so their room counts as free.
    for (const { placedTask, spec } of running) {
      const room = rooms.get(placedTask.placement.machineId);
      if (room === undefined) continue;
      subtractResources(room, spec, -1);
    }
    const byRef = new Map(running.map(({ placedTask, spec }) => [placedTask.jobId, spec]));
    const info = this.inventory.machines();
    const outside = new Map<string, Map<string, number>>();
    for (const jobId of byRef.keys()) {
      const inside = new Set(
        running.filter(({ placedTask }) => placedTask.jobId === jobId).map(({ placedTask }) => placedTask.taskIndex),
      );
      const others = [...this.clusterState.jobs.get(jobId)!.knownPlacements()]
        .filter(([taskIndex]) => !inside.has(taskIndex))
        .map(([, placement]) => placement);
      outside.set(jobId, countTasksPerZone(others));
    }
    const hosts: MatchingMachine[] = machines.map((m) => ({
      id: m.machineId,
      zone: m.zone,
      free: rooms.get(m.machineId)!,
    }));
    // Without usage data of the machine, a task's use equals its request.
    const seekers: MatchingTask[] = running.map(({ name, placedTask, spec }) => ({
      id: name,
      group: placedTask.jobId,
      usage: resourcesOf(spec),
      requested: resourcesOf(spec),
    }));
    return match(seekers, hosts, {
      isAllowed: (jobId, host) => {
        const machine = info.get(host.id);
        return machine !== undefined && isAllowedOn(byRef.get(jobId)!, machine) && !machine.failedJobs.includes(jobId);
      },
      zoneAllows: (jobId, zone, taken) => {
        const total = new Map(outside.get(jobId));
        for (const [each, count] of taken) total.set(each, (total.get(each) ?? 0) + count);
        return isZoneAllowed(byRef.get(jobId)!, total, zone);
      },
      machineAllows: () => true,
      tier: () => 0,
    });
  }

  private machinesOf(machines: readonly { machineId: string }[]) {
    const all = this.inventory.machines();
    return machines.map((machine) => all.get(machine.machineId)!);
  }
}
