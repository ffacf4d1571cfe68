/** A moment's wait of services for machines that have their image cached. */
import { CACHED_IMAGE_WAIT_MS } from '../constants/scheduling.js';
import { JOB_PRIORITIES, type JobSpec } from '../domain/job.js';
import type { MachineInfo } from '../domain/machine-state.js';
import { fits, type Resources, subtractResources } from '../domain/resources.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState, JobView } from '../records/cluster-state.js';

/** The state of the cluster, and the time. */
export interface CachedImageWaitDependencies {
  clusterState: ClusterState;
  clock: Clock;
}

/**
 * For a service, a machine with its image cached is worth evicting tasks of lower priority for: the fetch takes longer. So for
 * a moment only such machines count, if there are any that could be made free.
 */
export class CachedImageWait {
  /** Steady ms since when each service waits, by job id. */
  private readonly waitingSince = new Map<string, number>();

  constructor(private readonly dependencies: CachedImageWaitDependencies) {}

  /** Forgets the services that are gone or whole: the next wait begins anew. */
  prune(): void {
    for (const jobId of this.waitingSince.keys()) {
      const view = this.dependencies.clusterState.jobs.get(jobId);
      if (view === undefined || view.placed === view.record.spec.taskCount) this.waitingSince.delete(jobId);
    }
  }

  /** The machines that count for the job now; the same array where all do. */
  filter(
    view: JobView,
    machines: readonly MachineInfo[],
    freeByMachine: ReadonlyMap<string, Resources>,
  ): readonly MachineInfo[] {
    const { spec } = view.record;
    if (spec.kind !== 'service' || spec.priority !== 'prod' || this.hasWaitedEnough(view.jobId)) return machines;
    const cachedMachines = machines.filter(
      (machine) =>
        machine.images.includes(spec.image) &&
        this.canBeMadeFree(spec, machine.machineId, freeByMachine.get(machine.machineId)!),
    );
    if (cachedMachines.length === 0) return machines;
    const zones = new Set(cachedMachines.map((machine) => machine.zone));
    // Zones without such a machine are open to those without the image: the spread may need them.
    return machines.filter((machine) => cachedMachines.includes(machine) || !zones.has(machine.zone));
  }

  private hasWaitedEnough(jobId: string): boolean {
    const nowMs = this.dependencies.clock.now();
    const sinceMs = this.waitingSince.get(jobId) ?? nowMs;
    this.waitingSince.set(jobId, sinceMs);
    return nowMs - sinceMs > CACHED_IMAGE_WAIT_MS;
  }

  /** Would a task fit if all tasks of lower priority were evicted? */
  private canBeMadeFree(spec: JobSpec, machineId: string, free: Resources): boolean {
    const { clusterState } = this.dependencies;
    const priorityIndex = JOB_PRIORITIES.indexOf(spec.priority);
    const freeable = { ...free };
    for (const placedTask of clusterState.tasksOn(machineId)) {
      const other = clusterState.jobs.get(placedTask.jobId)?.record.spec;
      if (other !== undefined && JOB_PRIORITIES.indexOf(other.priority) > priorityIndex) {
        subtractResources(freeable, other, -1);
      }
    }
    return fits(spec, freeable);
  }
}
