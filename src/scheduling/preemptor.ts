/** Preemption on the cluster leader: decides for which pending tasks others may be evicted, and how often to search for them. */
import { PLANNING_TIME_SHARE, PREEMPT_PERIOD_MS } from '../constants/scheduling.js';
import { subtractResources } from '../domain/resources.js';
import type { Settings } from '../domain/settings.js';
import type { Team, TeamUsage } from '../domain/team.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Invariants } from '../logging/invariants.js';
import type { Clock } from '../net/clock.js';
import { WorkTurns } from '../net/work-turns.js';
import type { ClusterState } from '../records/cluster-state.js';
import { compareEvictionCost, type EvictionCandidate, priorityIndexOf } from './decisions/eviction-options.js';
import { GuaranteeClaims } from './decisions/guarantee-claims.js';
import type { EvictionMarker } from './eviction-marker.js';
import type { PlacementPlanner } from './placement-planner.js';
import { type LoadedMachine, PreemptionRound } from './preemption-round.js';
import type { PendingTask } from './task-placer.js';

/** Number of failures above which a pending task is not worth evicting others for. */
const MAX_FAILURES = 1;

/** The state that preemption is decided on, and the marker that carries out the evictions. */
export interface PreemptorDependencies {
  settings: Settings;
  clusterState: ClusterState;
  inventory: MachineInventory;
  planner: Pick<PlacementPlanner, 'unplaceableTasks' | 'teamUsages' | 'freeResources'>;
  evictionMarker: EvictionMarker;
  leadership: Pick<RoleLeadership, 'isClusterLeader'>;
  clock: Clock;
  invariants: Invariants;
}

/** Evicts the tasks that cost least, for pending tasks of a higher priority or of a team within its guarantee. */
export class Preemptor {
  private readonly teams: ReadonlyMap<string, Team>;
  private readonly turns: WorkTurns;
  /** Monotonic ms before which no other round is run. */
  private pausedUntilMs = -Infinity;

  constructor(private readonly dependencies: PreemptorDependencies) {
    const { clock, invariants } = dependencies;
    this.turns = new WorkTurns({ work: 'preemption', clock, invariants });
    this.teams = new Map(dependencies.settings.cluster.teams.map((team) => [team.name, team]));
  }

  /** Runs a round if it is due; to be called periodically while this node is cluster leader. */
  async round(): Promise<void> {
    const { clock, planner } = this.dependencies;
    const startedAtMs = clock.now();
    if (startedAtMs < this.pausedUntilMs || planner.unplaceableTasks.length === 0) return;
    this.turns.begin();
    const hasEvicted = await this.evictForUnplacedTasks();
    const tookMs = this.turns.end();
    const nowMs = clock.now();
    // Leaves time for the exits caused by this round to be seen, and bounds the share of time that searches take.
    const exitWaitMs = hasEvicted ? PREEMPT_PERIOD_MS : 0;
    this.pausedUntilMs = nowMs + Math.max(exitWaitMs, tookMs * (1 / PLANNING_TIME_SHARE - 1));
  }

  private async evictForUnplacedTasks(): Promise<boolean> {
    const usages = this.dependencies.planner.teamUsages();
    const claims = new GuaranteeClaims({ teams: this.teams, demands: this.teamDemands(), usages });
    const pendingByJob = this.tasksAllowedToPreempt(claims);
    if (pendingByJob.size === 0) return false;
    const { evictionMarker, leadership } = this.dependencies;
    const round = new PreemptionRound({ loads: this.machineLoads(), usages, claims, evictionMarker });
    for (const pendingTasks of pendingByJob.values()) {
      if (this.turns.isOver) {
        await this.turns.next();
        if (!leadership.isClusterLeader) break;
      }
      round.evictFor(pendingTasks);
    }
    return round.hasEvicted;
  }

  /**
   * The unplaced tasks that others may be evicted for, by job. In a full cluster most pending tasks compete with tasks of
   * their own priority: tasks for which nothing can be evicted are excluded before any machine is searched.
   */
  private tasksAllowedToPreempt(claims: GuaranteeClaims): Map<string, PendingTask[]> {
    const pendingByJob = new Map<string, PendingTask[]>();
    const lowestPriorityIndex = this.lowestPriorityIndex();
    for (const pendingTask of this.dependencies.planner.unplaceableTasks) {
      const { spec } = pendingTask.view.record;
      if (pendingTask.placement.failures > MAX_FAILURES) continue;
      const canPreemptByPriority = spec.priority !== 'low' && priorityIndexOf(spec) < lowestPriorityIndex;
      if (!canPreemptByPriority && !claims.canReclaimAny(spec)) continue;
      const tasksOfJob = pendingByJob.get(spec.id);
      if (tasksOfJob === undefined) pendingByJob.set(spec.id, [pendingTask]);
      else tasksOfJob.push(pendingTask);
    }
    return pendingByJob;
  }

  /** All schedulable machines. The resources of tasks that are being evicted count as free, since they exit soon. */
  private machineLoads(): LoadedMachine[] {
    const { inventory, planner, clusterState, evictionMarker } = this.dependencies;
    const machines = inventory.schedulableMachines();
    const freeByMachine = planner.freeResources(machines);
    return machines.map((machine) => {
      const free = freeByMachine.get(machine.machineId)!;
      const tasks: EvictionCandidate[] = [];
      for (const placedTask of clusterState.tasksOn(machine.machineId)) {
        const spec = clusterState.jobs.get(placedTask.jobId)?.record.spec;
        if (spec === undefined) continue;
        if (evictionMarker.isBeingEvicted(placedTask)) subtractResources(free, spec, -1);
        else tasks.push({ placedTask, spec });
      }
      return { machine, free, tasks: tasks.sort(compareEvictionCost) };
    });
  }

  /** Index of the lowest priority among placed tasks; -1 if no task is placed. */
  private lowestPriorityIndex(): number {
    let lowest = -1;
    for (const view of this.dependencies.clusterState.jobs.values()) {
      if (view.placedCount > 0) lowest = Math.max(lowest, priorityIndexOf(view.record.spec));
    }
    return lowest;
  }

  /** Resources that all unfinished jobs of each team request together. */
  private teamDemands(): Map<string, TeamUsage> {
    const demands = new Map<string, TeamUsage>();
    for (const view of this.dependencies.clusterState.jobs.values()) {
      const { spec, state } = view.record;
      const remaining = state === 'active' ? spec.taskCount - view.doneCount : view.placedCount;
      const demand = demands.get(spec.team) ?? { cpus: 0, gpus: 0 };
      demands.set(spec.team, { cpus: demand.cpus + remaining * spec.cpus, gpus: demand.gpus + remaining * spec.gpus });
    }
    return demands;
  }
}
