/** The tasks placed on each machine and the resources they use, updated with every change instead of being recomputed. */
import type { JobSpec } from '../domain/job.js';
import { type Resources, subtractResources } from '../domain/resources.js';
import type { ActivePlacement } from '../domain/task.js';

/** A task that is placed on a machine. */
export interface PlacedTask {
  jobId: string;
  taskIndex: number;
  placement: ActivePlacement;
}

const keyOf = ({ jobId, taskIndex }: Omit<PlacedTask, 'placement'>): string => `${jobId}/${taskIndex}`;

/** Index of the placed tasks by machine. */
export class MachinePlacements {
  /** By machine id, then by task id. */
  private readonly tasksByMachine = new Map<string, Map<string, PlacedTask>>();
  private readonly usedResourcesByMachine = new Map<string, Resources>();

  /** The machine's tasks in the order in which they were added. */
  tasksOn(machineId: string): Iterable<PlacedTask> {
    return this.tasksByMachine.get(machineId)?.values() ?? [];
  }

  taskCountOn(machineId: string): number {
    return this.tasksByMachine.get(machineId)?.size ?? 0;
  }

  /** Undefined: no task is placed on the machine. */
  usedResourcesOn(machineId: string): Readonly<Resources> | undefined {
    return this.usedResourcesByMachine.get(machineId);
  }

  /** Machines with at least one placed task. */
  get machineIds(): Iterable<string> {
    return this.tasksByMachine.keys();
  }

  get machineCount(): number {
    return this.tasksByMachine.size;
  }

  add(placedTask: PlacedTask, spec: JobSpec): void {
    const { machineId } = placedTask.placement;
    let placedTasks = this.tasksByMachine.get(machineId);
    if (placedTasks === undefined) {
      placedTasks = new Map();
      this.tasksByMachine.set(machineId, placedTasks);
    }
    placedTasks.set(keyOf(placedTask), placedTask);
    let used = this.usedResourcesByMachine.get(machineId);
    if (used === undefined) {
      used = { cpus: 0, gpus: 0, memoryGb: 0, reportBytes: 0 };
      this.usedResourcesByMachine.set(machineId, used);
    }
    subtractResources(used, spec, -1);
  }

  /** Replaces the placement of a task that stays on its machine. */
  replace(placedTask: PlacedTask): void {
    this.tasksByMachine.get(placedTask.placement.machineId)!.set(keyOf(placedTask), placedTask);
  }

  remove(placedTask: PlacedTask, spec: JobSpec): void {
    const { machineId } = placedTask.placement;
    const placedTasks = this.tasksByMachine.get(machineId)!;
    placedTasks.delete(keyOf(placedTask));
    if (placedTasks.size > 0) {
      subtractResources(this.usedResourcesByMachine.get(machineId)!, spec, 1);
      return;
    }
    this.tasksByMachine.delete(machineId);
    this.usedResourcesByMachine.delete(machineId);
  }
}
