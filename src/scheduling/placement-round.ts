/** One pass over the queue: for each job, filters the machines, matches tasks, reserves resources and commits the starts. */
import { MAX_PLAN_TASKS, MAX_UNPLACED_TASKS, SAMPLE_TASKS_OF_JOB } from '../constants/scheduling.js';
import { isPlacedByLeader, type JobSpec } from '../domain/job.js';
import type { MachineInfo } from '../domain/machine-state.js';
import { type Resources, subtractResources } from '../domain/resources.js';
import { CLUSTER_LEADER_ROLE, partitionRole } from '../domain/role.js';
import { taskIdOf } from '../domain/task.js';
import type { Team, TeamUsage } from '../domain/team.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { RoleLeadership } from '../leadership/role-leadership.js';
import type { ClusterState } from '../records/cluster-state.js';
import { isWithinQuota } from '../records/placement-rules.js';
import { CandidateMachineIndex, type CandidateMachines } from './candidate-machines.js';
import type { QueuedJob } from './decisions/queue-order.js';
import type { GangAttempts } from './gang-attempts.js';
import type { InFlightStarts } from './in-flight-starts.js';
import type { JobQueue } from './job-queue.js';
import type { ResourceUsage } from './resource-usage.js';
import type { PlannedStart, StartCommitter } from './start-committer.js';
import type { PendingTask, TaskPlacer } from './task-placer.js';

/** The components of the planner that a round works with; they are shared by all rounds. */
export interface PlacementRoundDependencies {
  teams: ReadonlyMap<string, Team>;
  leadership: RoleLeadership;
  clusterState: ClusterState;
  inventory: MachineInventory;
  queue: JobQueue;
  usage: ResourceUsage;
  inFlight: InFlightStarts;
  gangs: GangAttempts;
  taskPlacer: TaskPlacer;
  committer: StartCommitter;
}

/** The roles that this node leads: it commits only the starts that belong to one of them. */
export interface LedRoles {
  isClusterLeader: boolean;
  partitions: ReadonlySet<number>;
}

/**
 * Every node computes the whole plan and commits only the starts of the roles that it leads. It thereby reserves the resources
 * that other nodes will use, and resources freed for a service are not taken by the next batch task.
 */
export class PlacementRound {
  /** Pending tasks for which no machine was found, in the order of the queue. */
  readonly unplacedTasks: PendingTask[] = [];
  private readonly freeByMachine: Map<string, Resources>;
  private readonly usages: Map<string, TeamUsage>;
  private readonly candidateIndex: CandidateMachineIndex;
  private readonly clusterLeaderRole: string | undefined;

  /** Takes the snapshot of free resources and team usages that the round works on. */
  constructor(
    private readonly dependencies: PlacementRoundDependencies,
    private readonly ledRoles: LedRoles,
  ) {
    const { leadership, inventory, usage, taskPlacer } = dependencies;
    const machines = inventory.schedulableMachines();
    this.freeByMachine = usage.freeResources(machines);
    this.usages = usage.teamUsages();
    this.candidateIndex = new CandidateMachineIndex(machines, (machineId) => leadership.partitionOf(machineId));
    this.clusterLeaderRole = ledRoles.isClusterLeader ? CLUSTER_LEADER_ROLE : undefined;
    taskPlacer.beginPlan();
  }

  /** Places the tasks of one job, unless it has ended meanwhile. Jobs must be passed in the order of the queue. */
  placeJob({ record, isOverdue }: QueuedJob): void {
    if (!this.dependencies.clusterState.jobs.has(record.spec.id)) return;
    if (isPlacedByLeader(record.spec)) this.placeLargeJob(record.spec, isOverdue);
    else this.placeSmallJob(record.spec, isOverdue);
  }

  private placeLargeJob(spec: JobSpec, isOverdue: boolean): void {
    const candidates = this.candidateIndex.allowed(spec);
    // Under load the cluster is usually full, and only the cluster leader needs the list of unplaced tasks.
    if (candidates.isFull(spec) && !this.ledRoles.isClusterLeader) return;
    const pendingTasks = this.pendingTasksOf(spec, isOverdue);
    this.placeTasks(pendingTasks, candidates, this.clusterLeaderRole, this.unplacedTasks);
  }

  /** The partition leader places tasks within the job's partition; the cluster leader places the rest on other machines. */
  private placeSmallJob(spec: JobSpec, isOverdue: boolean): void {
    const partition = this.dependencies.leadership.partitionOf(spec.id);
    const { local, remote } = this.candidateIndex.split(spec, partition);
    if (!this.ledRoles.isClusterLeader && local.isFull(spec) && remote.isFull(spec)) return;
    // With many unplaced tasks already, a few tasks of the job are enough to see whether any machine still takes them.
    const isSample = isOverdue || this.unplacedTasks.length >= MAX_UNPLACED_TASKS;
    const pendingTasks = this.pendingTasksOf(spec, isSample);
    if (pendingTasks.length === 0) return;
    const unplacedLocally: PendingTask[] = [];
    const localRole = this.ledRoles.partitions.has(partition) ? partitionRole(partition) : undefined;
    this.placeTasks(pendingTasks, local, localRole, unplacedLocally);
    this.placeTasks(unplacedLocally, remote, this.clusterLeaderRole, this.unplacedTasks);
  }

  private pendingTasksOf(spec: JobSpec, isSample: boolean): PendingTask[] {
    const { queue, clusterState } = this.dependencies;
    return queue.pendingTasksOf(clusterState.jobs.get(spec.id)!, isSample ? SAMPLE_TASKS_OF_JOB : MAX_PLAN_TASKS);
  }

  /**
   * Matches pending tasks of one job to machines, reserves the resources and, if `role` is given, commits the starts. Tasks
   * without a machine are added to `unplaced`.
   */
  private placeTasks(
    pendingTasks: readonly PendingTask[],
    candidates: CandidateMachines,
    role: string | undefined,
    unplaced: PendingTask[],
  ): void {
    if (pendingTasks.length === 0) return;
    const { gangs, committer } = this.dependencies;
    const { view } = pendingTasks[0]!;
    const isGang = view.record.spec.kind === 'gang';
    const gangAttempt = isGang ? gangs.attemptFor(view) : undefined;
    if (isGang && gangAttempt === undefined) return;
    // A gang starts with all its tasks or not at all.
    const minTasks = isGang ? pendingTasks.length : 1;
    const allowedTasks = this.tasksWithinQuota(pendingTasks);
    if (allowedTasks.length < minTasks) return;
    const matches = this.findMachines(allowedTasks, candidates);
    if (matches.size < minTasks) {
      unplaced.push(...allowedTasks);
      return;
    }
    const starts = this.reserve(allowedTasks, matches, gangAttempt, unplaced);
    if (role !== undefined) committer.commit(view, starts, role);
  }

  /** The first tasks, up to the team's limit. Tasks over the limit don't count as unplaced, since no machine is missing. */
  private tasksWithinQuota(pendingTasks: readonly PendingTask[]): readonly PendingTask[] {
    const { spec } = pendingTasks[0]!.view.record;
    const team = this.dependencies.teams.get(spec.team)!;
    const usage = this.usageOf(spec.team);
    let count = 0;
    while (
      count < pendingTasks.length &&
      isWithinQuota(team, usage, spec.cpus * (count + 1), spec.gpus * (count + 1))
    ) {
      count++;
    }
    return pendingTasks.slice(0, count);
  }

  private findMachines(tasks: readonly PendingTask[], candidates: CandidateMachines): Map<string, MachineInfo> {
    const { inFlight, taskPlacer } = this.dependencies;
    const { spec } = tasks[0]!.view.record;
    const inFlightZones = spec.spreadAcrossZones || spec.singleZone ? inFlight.zonesOf(spec.id) : [];
    return taskPlacer.find(tasks, candidates, this.freeByMachine, inFlightZones);
  }

  /** Subtracts the resources of the matched tasks from the snapshot; tasks without a match are added to `unplaced`. */
  private reserve(
    tasks: readonly PendingTask[],
    matches: ReadonlyMap<string, MachineInfo>,
    gangAttempt: number | undefined,
    unplaced: PendingTask[],
  ): PlannedStart[] {
    const { view } = tasks[0]!;
    const { spec } = view.record;
    const usage = this.usageOf(spec.team);
    const starts: PlannedStart[] = [];
    for (const pendingTask of tasks) {
      const taskId = taskIdOf(view.jobId, pendingTask.taskIndex);
      const machine = matches.get(taskId);
      if (machine === undefined) {
        unplaced.push(pendingTask);
        continue;
      }
      starts.push({ taskId, pendingTask, machine, attempt: gangAttempt ?? pendingTask.placement.attempt + 1 });
      subtractResources(this.freeByMachine.get(machine.machineId)!, spec);
      usage.cpus += spec.cpus;
      usage.gpus += spec.gpus;
    }
    return starts;
  }

  private usageOf(team: string): TeamUsage {
    const existing = this.usages.get(team);
    if (existing !== undefined) return existing;
    const usage = { cpus: 0, gpus: 0 };
    this.usages.set(team, usage);
    return usage;
  }
}
