/** The matching step of a plan: filters and scores machines, and matches the pending tasks of one job to them. */
import { MAX_PLAN_TASKS, SAMPLE_MACHINES } from '../constants/scheduling.js';
import { isPlacedByLeader, type JobSpec } from '../domain/job.js';
import type { MachineInfo } from '../domain/machine-state.js';
import { countFittingTasks, fits, type Resources, resourcesOf } from '../domain/resources.js';
import type { ReschedulingSettings } from '../domain/settings.js';
import { taskIdOf, type TaskPlacement } from '../domain/task.js';
import type { MachineInventory } from '../inventory/machine-inventory.js';
import type { Clock } from '../net/clock.js';
import type { Random } from '../net/random.js';
import type { ClusterState, JobView } from '../records/cluster-state.js';
import { CachedImageWait } from './cached-image-wait.js';
import type { CandidateMachines } from './candidate-machines.js';
import { type JobMatching, matchJob, matchReplicas } from './decisions/job-matching.js';
import { machineTierOf } from './decisions/machine-tier.js';
import type { MatchingMachine, MatchingTask } from './decisions/matching.js';

/** A task that waits for a machine. */
export interface PendingTask {
  view: JobView;
  taskIndex: number;
  placement: Extract<TaskPlacement, { kind: 'queued' }>;
}

/** The state and settings by which machines are filtered and scored. */
export interface TaskPlacerDependencies {
  tuning: ReschedulingSettings;
  clusterState: ClusterState;
  inventory: MachineInventory;
  clock: Clock;
  random: Random;
}

/** The machines that have resources for a task of the job and on which the job has not failed recently. */
interface UsableMachines {
  machines: MachineInfo[];
  /** Number of tasks that fit on all usable machines together, at most the number requested. */
  taskCount: number;
  /** No machine has resources for even one task. */
  isFull: boolean;
}

/** Finds machines for pending tasks. It reserves nothing: the caller updates the free resources. */
export class TaskPlacer {
  private readonly cachedImageWait: CachedImageWait;
  /** Ids of the target machines of moved tasks, by task id. */
  private readonly preferredMachines = new Map<string, string>();
  /** Number of tasks matched in the current plan. */
  private matchedCount = 0;

  constructor(private readonly dependencies: TaskPlacerDependencies) {
    this.cachedImageWait = new CachedImageWait(dependencies);
  }

  /** Resets the state of the previous plan; to be called before each plan. */
  beginPlan(): void {
    this.matchedCount = 0;
    this.cachedImageWait.prune();
  }

  /** Sets the machine that a moved task was matched to: the task is placed there if it still fits. */
  prefer(taskId: string, machineId: string): void {
    this.preferredMachines.set(taskId, machineId);
  }

  /** Removes the target machine of a task that has started. */
  forgetPreference(taskId: string): void {
    this.preferredMachines.delete(taskId);
  }

  /**
   * Machines for pending tasks of one job, by task id; tasks without a machine have no entry. `freeByMachine` contains every
   * candidate; `inFlightZones` are the zones of the job's in-flight starts.
   */
  find(
    pendingTasks: readonly PendingTask[],
    candidates: CandidateMachines,
    freeByMachine: ReadonlyMap<string, Resources>,
    inFlightZones: readonly string[],
  ): Map<string, MachineInfo> {
    const firstTask = pendingTasks[0];
    if (firstTask === undefined) return new Map();
    const { view } = firstTask;
    const { spec } = view.record;
    if (candidates.isFull(spec)) return new Map();
    const machines = this.cachedImageWait.filter(view, candidates.machines, freeByMachine);
    const usable = this.usableMachines(spec, machines, freeByMachine, pendingTasks.length);
    // While a service waits for a cached image, only some of the candidates have been checked.
    if (usable.isFull && machines === candidates.machines) candidates.recordFull(spec);
    // Under load the cluster is usually full, so the matching gets no more tasks than fit, and is skipped if none fits.
    const isIncompleteGang = spec.kind === 'gang' && usable.taskCount < pendingTasks.length;
    if (usable.taskCount === 0 || isIncompleteGang) return new Map();
    this.matchedCount += usable.taskCount;
    const tasks = this.matchingTasksOf(pendingTasks.slice(0, usable.taskCount));
    const tasksPerZone = view.tasksPerZone;
    for (const zone of inFlightZones) tasksPerZone.set(zone, (tasksPerZone.get(zone) ?? 0) + 1);
    return this.matchTasks({ spec, tasks, tasksPerZone }, usable.machines, freeByMachine);
  }

  /** Filters the machines by their free resources and by recent failures of the job on them. */
  private usableMachines(
    spec: JobSpec,
    machines: readonly MachineInfo[],
    freeByMachine: ReadonlyMap<string, Resources>,
    maxTasks: number,
  ): UsableMachines {
    const usable: MachineInfo[] = [];
    let isFull = true;
    let taskCount = 0;
    for (const machine of machines) {
      const free = freeByMachine.get(machine.machineId)!;
      if (!fits(spec, free)) continue;
      isFull = false;
      if (machine.failedJobs.includes(spec.id)) continue;
      usable.push(machine);
      taskCount += countFittingTasks(free, spec);
    }
    // Once a plan has matched its maximum, small jobs get a sample of the machines; the rules of large jobs need them all.
    const isSampled = this.matchedCount >= MAX_PLAN_TASKS && !isPlacedByLeader(spec);
    const sample = isSampled ? this.dependencies.random.sample(usable, SAMPLE_MACHINES) : usable;
    return { machines: sample, taskCount: Math.min(taskCount, maxTasks), isFull };
  }

  private matchingTasksOf(pendingTasks: readonly PendingTask[]): MatchingTask[] {
    const { view } = pendingTasks[0]!;
    // Actual usage is not known here, so it is taken to equal the request.
    const requested = resourcesOf(view.record.spec);
    return pendingTasks.map(({ taskIndex }) => ({
      id: taskIdOf(view.jobId, taskIndex),
      group: view.jobId,
      usage: requested,
      requested,
    }));
  }

  private matchTasks(
    job: Pick<JobMatching, 'spec' | 'tasks' | 'tasksPerZone'>,
    machines: readonly MachineInfo[],
    freeByMachine: ReadonlyMap<string, Resources>,
  ): Map<string, MachineInfo> {
    const { spec, tasks } = job;
    const machineById = new Map(machines.map((machine) => [machine.machineId, machine]));
    const preferredIds = new Set(tasks.map(({ id }) => this.preferredMachines.get(id)));
    const matching: JobMatching = {
      ...job,
      machines: machines.map(({ machineId, zone }) => ({ id: machineId, zone, free: freeByMachine.get(machineId)! })),
      tierOf: ({ id }) => (preferredIds.has(id) ? -1 : this.tierOf(spec, machineById.get(id)!)),
    };
    const hasImageCached = ({ id }: MatchingMachine) => machineById.get(id)!.images.includes(spec.image);
    const matches =
      spec.kind === 'service'
        ? matchReplicas(matching, { placedMachineIds: this.machinesOfPlacedTasks(spec.id), hasImageCached })
        : matchJob(matching);
    return new Map([...matches].map(([taskId, { id }]) => [taskId, machineById.get(id)!]));
  }

  private *machinesOfPlacedTasks(jobId: string): Iterable<string> {
    for (const [, placement] of this.dependencies.clusterState.jobs.get(jobId)?.storedPlacements() ?? []) {
      if (placement.kind === 'placed') yield placement.machineId;
    }
  }

  private tierOf(spec: JobSpec, { images, machineType }: MachineInfo): number {
    const { inventory, tuning } = this.dependencies;
    return machineTierOf(spec, images, inventory.catalog.get(machineType), tuning.imageBonus);
  }
}
