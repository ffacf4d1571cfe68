/** Evicts tasks from spot machines before the cloud takes these away. */
import type { JobSpec } from '../domain/job.js';
import type { MachineInfo } from '../domain/machine-state.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { EvictionMarker } from '../scheduling/eviction-marker.js';

/** What evictions need of the other parts. */
export interface SpotNoticeEvictorDependencies {
  clusterState: ClusterState;
  evictionMarker: EvictionMarker;
  clock: Clock;
}

/** Stops tasks that can write a checkpoint, in time, on machines under a spot notice. */
export class SpotNoticeEvictor {
  constructor(private readonly dependencies: SpotNoticeEvictorDependencies) {}

  /** Marks each task for eviction that gains by it; the grace period is the time of its checkpoint, if that is left. */
  evict(machines: ReadonlyMap<string, MachineInfo>): void {
    const nowMs = this.dependencies.clock.now();
    for (const { machineId, spotTerminationAt } of machines.values()) {
      if (spotTerminationAt !== null) this.evictFrom(machineId, (spotTerminationAt - nowMs) / 1000);
    }
  }

  private evictFrom(machineId: string, remainingS: number): void {
    const { clusterState, evictionMarker } = this.dependencies;
    for (const placedTask of [...clusterState.tasksOn(machineId)]) {
      const spec = clusterState.jobs.get(placedTask.jobId)?.record.spec;
      if (spec === undefined || evictionMarker.isBeingEvicted(placedTask) || !gainsByEviction(spec)) continue;
      const gracePeriodS = remainingS > spec.checkpointS ? spec.checkpointS : 0;
      evictionMarker.evict(placedTask, spec, gracePeriodS, 'notice');
    }
  }
}

/** A task of an array without checkpoints would lose its work either way, and may yet end in time. */
const gainsByEviction = (spec: JobSpec): boolean => spec.kind !== 'array' || spec.checkpointIntervalS !== 0;
