/** Configuration of a fake worker, and the state that all workers of a scenario share. */
import type { FakeGangs } from './fake-gangs.js';
import type { ExitReason } from './fake-worker-wire-codec.js';
import type { MachineResources } from './machine-resources.js';
import type { Submission } from './submission-wire-codec.js';

/** The part of a job that workers need; its user uploads it. */
export type JobDescription = Pick<
  Submission,
  'kind' | 'taskCount' | 'cpus' | 'gpus' | 'memoryGb' | 'image' | 'checkpointIntervalS' | 'checkpointS'
>;

/** State that all workers of a scenario share. */
export interface WorkerEnvironment {
  leaseS: number;
  describe(jobId: string): JobDescription | undefined;
  gangs: FakeGangs;
  /** Ids of the tasks that are done: their results are kept. */
  results: Set<string>;
}

/** A machine, and the behaviour of its tasks. */
export interface WorkerOptions {
  machineId: string;
  machineType?: string;
  zone?: string;
  isSpot?: boolean;
  /**
   * Duration of tasks, ms; if undefined, and always for services and for jobs named j-svc..., they run until killed.
   */
  runMs?: number;
  /** The sequence number before that of its first report; 0 if absent. */
  firstSequence?: bigint;
  /** Time to fetch an image, ms; 0 if absent. */
  imageMs?: number;
  /** All tasks that start on the machine fail. */
  failsAllTasks?: boolean;
  /** Selects tasks that fail on the machine, as those of a faulty job do. */
  failsTask?: (taskId: string) => boolean;
}

/** Why a worker with these free resources refuses to launch a task; undefined if it launches it. */
export function launchRefusal(job: JobDescription | undefined, free: MachineResources): ExitReason | undefined {
  if (job === undefined) return 'unknown';
  const isFitting = job.cpus <= free.cpus && job.gpus <= free.gpus && job.memoryGb <= free.memoryGb;
  return isFitting ? undefined : 'insufficient_resources';
}
