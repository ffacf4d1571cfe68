/**
 * Assigns machines to pending tasks. A plan runs these steps in order: queue the jobs, find the candidate machines of each,
 * match its tasks to them, reserve resources and commit the starts.
 */
import type { JobSpec } from '../domain/job.js';
import type { MachineInfo } from '../domain/machine-state.js';
import type { Resources } from '../domain/resources.js';
import type { ReschedulingSettings, Settings } from '../domain/settings.js';
import type { TeamUsage } from '../domain/team.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { Invariants } from '../logging/invariants.js';
import type { Log } from '../logging/log.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import { Priority } from '../net/token-bucket.js';
import type { WorkTurns } from '../net/work-turns.js';
import type { ClusterState, JobView } from '../records/cluster-state.js';
import { countTasksWithinQuota } from '../records/placement-rules.js';
import { jobPlacementPrefix } from '../records/record-keys.js';
import type { TeamAccounting } from '../records/team-accounting.js';
import { startPriority } from '../records/transaction-priority.js';
import type { TransactionBatcher } from '../store/transaction-batcher.js';
import { GangAttempts } from './gang-attempts.js';
import { InFlightStarts } from './in-flight-starts.js';
import { JobQueue } from './job-queue.js';
import { type LedRoles, PlacementRound, type PlacementRoundDependencies } from './placement-round.js';
import { PlanTimer } from './plan-timer.js';
import { ResourceUsage } from './resource-usage.js';
import { RetryBackoff } from './retry-backoff.js';
import { RunTimeRatios } from './run-time-ratios.js';
import { StartCommitter } from './start-committer.js';
import { type PendingTask, TaskPlacer } from './task-placer.js';

/** The components of the controller that the planner reads from and commits through. */
export interface PlacementPlannerDependencies {
  settings: Settings;
  tuning: ReschedulingSettings;
  leadership: RoleLeadership;
  clusterState: ClusterState;
  inventory: MachineInventory;
  transactions: TransactionBatcher;
  accounting: TeamAccounting;
  clock: Clock;
  random: Random;
  invariants: Invariants;
  log: Log;
}

/** Plans the small jobs of the partitions that this node leads and, on the cluster leader, all other placements. */
export class PlacementPlanner {
  private readonly inFlight = new InFlightStarts();
  private readonly runTimeRatios = new RunTimeRatios();
  private readonly retryBackoff = new RetryBackoff();
  private readonly usage: ResourceUsage;
  private readonly roundDependencies: PlacementRoundDependencies;
  private readonly timer: PlanTimer;
  private unplaced: readonly PendingTask[] = [];

  constructor(private readonly dependencies: PlacementPlannerDependencies) {
    const { settings, tuning, leadership, clusterState, inventory, clock, random } = dependencies;
    const { inFlight, runTimeRatios, retryBackoff } = this;
    const teams = new Map(settings.cluster.teams.map((team) => [team.name, team]));
    const gangs = new GangAttempts({ workers: settings.cluster.workers, inventory, clock });
    const usage = new ResourceUsage({ clusterState, inventory, inFlight });
    const objectives = settings.cluster.serviceLevelObjectives;
    const taskPlacer = new TaskPlacer({ tuning, clusterState, inventory, clock, random });
    this.usage = usage;
    this.roundDependencies = {
      teams,
      leadership,
      clusterState,
      inventory,
      queue: new JobQueue({
        objectives,
        teams,
        clusterState,
        usage,
        inFlight,
        runTimeRatios,
        retryBackoff,
        gangs,
        clock,
      }),
      usage,
      inFlight,
      gangs,
      taskPlacer,
      committer: new StartCommitter({
        ...dependencies,
        teams,
        usage,
        inFlight,
        taskStarted: (taskId) => taskPlacer.forgetPreference(taskId),
        transactionEnded: () => this.planSoon(),
      }),
    };
    this.timer = new PlanTimer({ clock, invariants: dependencies.invariants, plan: (turns) => this.plan(turns) });
  }

  /**
   * The tasks that the last round on the cluster leader could not place, without those that a round in progress has placed: the
   * input of scale-out and preemption.
   */
  get unplaceableTasks(): readonly PendingTask[] {
    return this.unplaced.filter((pendingTask) => this.isStillPending(pendingTask));
  }

  private isStillPending({ view, taskIndex }: PendingTask): boolean {
    if (this.inFlight.taskIndexesOf(view.jobId)?.has(taskIndex) === true) return false;
    return view.record.state === 'active' && view.placementOf(taskIndex).kind === 'queued';
  }

  /** Plans after each change, and periodically without one, until the signal aborts. */
  run(signal: AbortSignal): Promise<void> {
    return this.timer.run(signal);
  }

  /** Returns for how long a plan has kept the event loop busy at most since the last call, ms. */
  takeLongestTurnMs(): number {
    return this.timer.takeLongestTurnMs();
  }

  /** Requests a plan after a change; an urgent one, for work that must start within seconds, is made sooner. */
  planSoon(isUrgent = false): void {
    this.timer.planSoon(isUrgent);
  }

  /** Records the target machine of a task that is being moved: once pending, the task is placed there if it fits. */
  preferMachine(taskId: string, machineId: string): void {
    this.roundDependencies.taskPlacer.prefer(taskId, machineId);
  }

  /** Records that a task completed in `ranS` seconds; this corrects later estimates of its job class. */
  recordRunTime(spec: JobSpec, ranS: number): void {
    this.runTimeRatios.record(spec, ranS);
  }

  /** Promotes a job's starts that are queued for the store, if its effective priority has become urgent. */
  priorityChanged(jobId: string): void {
    const { clusterState, transactions } = this.dependencies;
    const spec = clusterState.jobs.get(jobId)?.record.spec;
    if (spec === undefined || startPriority(spec) !== Priority.start) return;
    if (this.inFlight.taskIndexesOf(jobId) === undefined) return;
    transactions.promote((key) => key.startsWith(jobPlacementPrefix(jobId)), Priority.background, Priority.start);
  }

  /** Free resources by machine id, with in-flight starts subtracted. The caller owns the result. */
  freeResources(machines: Iterable<MachineInfo>): Map<string, Resources> {
    return this.usage.freeResources(machines);
  }

  /** Usage of each team's placed tasks and in-flight starts. The caller owns the result. */
  teamUsages(): Map<string, TeamUsage> {
    return this.usage.teamUsages();
  }

  /** Number of the job's tasks that wait for a machine and that its team's limits allow now. */
  countStartableTasks(view: JobView): number {
    const { spec } = view.record;
    const inFlightCount = this.inFlight.taskIndexesOf(view.jobId)?.size ?? 0;
    const queuedCount = spec.taskCount - view.doneCount - view.placedCount - inFlightCount;
    const usage = this.teamUsages().get(spec.team) ?? { cpus: 0, gpus: 0 };
    return Math.min(queuedCount, countTasksWithinQuota(this.roundDependencies.teams.get(spec.team)!, usage, spec));
  }

  private async plan(turns: WorkTurns): Promise<void> {
    const { clusterState, inventory, leadership, clock } = this.dependencies;
    this.retryBackoff.prune(clock.now());
    this.roundDependencies.gangs.prune((jobId) => clusterState.jobs.has(jobId));
    const ledRoles = this.ledRoles();
    const hasWork = ledRoles.isClusterLeader || ledRoles.partitions.size > 0;
    if (!hasWork || !leadership.hasRecentStoreContact || inventory.catalog.size === 0) return;
    await this.placeQueuedJobs(ledRoles, turns);
  }

  private ledRoles(): LedRoles {
    const { leadership } = this.dependencies;
    return { isClusterLeader: leadership.isClusterLeader, partitions: new Set(leadership.ledPartitions()) };
  }

  private async placeQueuedJobs(ledRoles: LedRoles, turns: WorkTurns): Promise<void> {
    const queuedJobs = this.roundDependencies.queue.queuedJobs();
    if (queuedJobs.length === 0) {
      this.unplaced = [];
      return;
    }
    const round = new PlacementRound(this.roundDependencies, ledRoles);
    for (const queuedJob of queuedJobs) {
      if (turns.isOver) {
        await turns.next();
        if (!this.dependencies.leadership.hasRecentStoreContact) return;
      }
      round.placeJob(queuedJob);
    }
    if (ledRoles.isClusterLeader) this.unplaced = round.unplacedTasks;
  }
}
