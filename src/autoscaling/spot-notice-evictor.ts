/** Evicts tasks from spot machines before the cloud terminates the machines. */
import type { JobSpec } from '../domain/job.js';
import type { MachineInfo } from '../domain/machine-state.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState } from '../records/cluster-state.js';
import type { EvictionMarker } from '../scheduling/eviction-marker.js';

/** Dependencies of SpotNoticeEvictor. */
export interface SpotNoticeEvictorDependencies {
  clusterState: ClusterState;
  evictionMarker: EvictionMarker;
  clock: Clock;
}

/** Evicts tasks from machines with a spot notice early enough for those with checkpoints to write one. */
export class SpotNoticeEvictor {
  constructor(private readonly dependencies: SpotNoticeEvictorDependencies) {}

  /** Evicts the tasks that benefit from it. The grace period is the time to save a checkpoint, or 0 if less time is left. */
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
      if (spec === undefined || evictionMarker.isBeingEvicted(placedTask) || !benefitsFromEviction(spec)) continue;
      const gracePeriodS = remainingS > spec.checkpointS ? spec.checkpointS : 0;
      evictionMarker.evict(placedTask, spec, gracePeriodS, 'notice');
    }
  }
}

/** An array task without checkpoints loses its work either way, and may still finish in time if left running. */
const benefitsFromEviction = (spec: JobSpec): boolean => spec.kind !== 'array' || spec.checkpointIntervalS !== 0;
