/** A short wait of prod services for machines that have their image cached. */
import { CACHED_IMAGE_WAIT_MS } from '../constants/scheduling.js';
import { JOB_PRIORITIES, type JobSpec } from '../domain/job.js';
import type { MachineInfo } from '../domain/machine-state.js';
import { fits, type Resources, subtractResources } from '../domain/resources.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState, JobView } from '../records/cluster-state.js';

/** The jobs and tasks that the wait depends on, and the clock that limits it. */
export interface CachedImageWaitDependencies {
  clusterState: ClusterState;
  clock: Clock;
}

/**
 * For a prod service, evicting tasks of lower priority from a machine with its image cached is usually faster than fetching
 * the image elsewhere. For a short time only such machines are used, if evictions can make any of them fit.
 */
export class CachedImageWait {
  /** Monotonic ms since when each service has been waiting, by job id. */
  private readonly waitingSinceMs = new Map<string, number>();

  constructor(private readonly dependencies: CachedImageWaitDependencies) {}

  /** Removes the services that have ended or are fully placed: their next wait starts anew. */
  prune(): void {
    for (const jobId of this.waitingSinceMs.keys()) {
      const view = this.dependencies.clusterState.jobs.get(jobId);
      if (view === undefined || view.placedCount === view.record.spec.taskCount) this.waitingSinceMs.delete(jobId);
    }
  }

  /** The machines that may be used for the job now; returns the same array if all may. */
  filter(
    view: JobView,
    machines: readonly MachineInfo[],
    freeByMachine: ReadonlyMap<string, Resources>,
  ): readonly MachineInfo[] {
    const { spec } = view.record;
    if (spec.kind !== 'service' || spec.priority !== 'prod' || this.isWaitOver(view.jobId)) return machines;
    const cachedMachines = new Set(
      machines.filter(
        (machine) =>
          machine.images.includes(spec.image) &&
          this.canFitAfterEvictions(spec, machine.machineId, freeByMachine.get(machine.machineId)!),
      ),
    );
    if (cachedMachines.size === 0) return machines;
    const zones = new Set([...cachedMachines].map((machine) => machine.zone));
    // In zones without such a machine all machines may be used: spreading across zones may need them.
    return machines.filter((machine) => cachedMachines.has(machine) || !zones.has(machine.zone));
  }

  private isWaitOver(jobId: string): boolean {
    const nowMs = this.dependencies.clock.now();
    const sinceMs = this.waitingSinceMs.get(jobId) ?? nowMs;
    this.waitingSinceMs.set(jobId, sinceMs);
    return nowMs - sinceMs > CACHED_IMAGE_WAIT_MS;
  }

  /** Whether a task of the job would fit if all tasks of lower priority were evicted. */
  private canFitAfterEvictions(spec: JobSpec, machineId: string, free: Resources): boolean {
    const { clusterState } = this.dependencies;
    const priorityIndex = JOB_PRIORITIES.indexOf(spec.priority);
    const freeAfterEvictions = { ...free };
    for (const placedTask of clusterState.tasksOn(machineId)) {
      const other = clusterState.jobs.get(placedTask.jobId)?.record.spec;
      if (other !== undefined && JOB_PRIORITIES.indexOf(other.priority) > priorityIndex) {
        subtractResources(freeAfterEvictions, other, -1);
      }
    }
    return fits(spec, freeAfterEvictions);
  }
}
