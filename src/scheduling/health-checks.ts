/** Records heartbeats and deaths of service tasks as health checks, from which their happiness is computed. */
import { parseTaskId, taskIdOf } from '../domain/task.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import type { WorkerStatus } from '../workers/worker-wire-codec.js';
import type { Happiness } from './decisions/happiness.js';

/** The recorder of the checks, and the state that identifies service tasks. */
export interface HealthChecksDependencies {
  clusterState: ClusterState;
  happiness: Happiness;
  clock: Clock;
}

/** Receives worker events; tasks of other kinds of jobs are ignored. */
export class HealthChecks {
  constructor(private readonly dependencies: HealthChecksDependencies) {}

  /** Records a healthy check for each task that the heartbeat reports as running. */
  heartbeatReceived(workerStatus: WorkerStatus): void {
    for (const [taskId, task] of workerStatus.tasks) {
      const parsed = parseTaskId(taskId);
      if (parsed !== undefined && task.state === 'running') this.recordCheck(parsed.jobId, parsed.taskIndex, true);
    }
  }

  /** Records an unhealthy check for a task that died before it was done. */
  taskDied({ jobId, taskIndex }: PlacedTask): void {
    this.recordCheck(jobId, taskIndex, false);
  }

  private recordCheck(jobId: string, taskIndex: number, isHealthy: boolean): void {
    const { clusterState, happiness, clock } = this.dependencies;
    if (clusterState.jobs.get(jobId)?.record.spec.kind !== 'service') return;
    happiness.recordCheck(taskIdOf(jobId, taskIndex), isHealthy, clock.now());
  }
}
