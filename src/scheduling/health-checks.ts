/** Turns heartbeats and deaths of tasks into checks of the happiness of service tasks. */
import { parseTaskId, taskIdOf } from '../domain/task.js';
import type { Clock } from '../net/clock.js';
import type { ClusterState, PlacedTask } from '../records/cluster-state.js';
import type { WorkerStatus } from '../workers/worker-wire-codec.js';
import type { Happiness } from './decisions/happiness.js';

/** Where checks are noted, and what tells service tasks from others. */
export interface HealthChecksDependencies {
  clusterState: ClusterState;
  happiness: Happiness;
  clock: Clock;
}

/** Hears the events of workers; tasks of other kinds of jobs are ignored. */
export class HealthChecks {
  constructor(private readonly dependencies: HealthChecksDependencies) {}

  /** A worker has sent a heartbeat: each task that it runs is healthy. */
  heartbeatReceived(workerStatus: WorkerStatus): void {
    for (const [taskId, task] of workerStatus.tasks) {
      const parsed = parseTaskId(taskId);
      if (parsed !== undefined && task.state === 'running') this.note(parsed.jobId, parsed.taskIndex, true);
    }
  }

  /** A task died unfinished. */
  taskDied({ jobId, taskIndex }: PlacedTask): void {
    this.note(jobId, taskIndex, false);
  }

  private note(jobId: string, taskIndex: number, isHealthy: boolean): void {
    const { clusterState, happiness, clock } = this.dependencies;
    if (clusterState.jobs.get(jobId)?.record.spec.kind !== 'service') return;
    happiness.recordCheck(taskIdOf(jobId, taskIndex), isHealthy, clock.now());
  }
}
