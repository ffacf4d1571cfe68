/** What a stand-in of a worker is configured with, and what it shares with the others of its scenario. */
import type { Resources } from '../src/domain/resources.js';
import type { FakeGangs } from './fake-gangs.js';
import type { ExitReason } from './fake-worker-wire-codec.js';
import type { Submission } from './submission-wire-codec.js';

/** What a worker needs to know of a job; its user has uploaded it. */
export type JobDescription = Pick<
  Submission,
  'kind' | 'taskCount' | 'cpus' | 'gpus' | 'memoryGb' | 'image' | 'checkpointIntervalS' | 'checkpointS'
>;

/** What all workers of a scenario share. */
export interface WorkerEnvironment {
  leaseS: number;
  describe(jobId: string): JobDescription | undefined;
  gangs: FakeGangs;
  /** Tasks that are done: their results are kept. */
  results: Set<string>;
}

/** A machine, and how its tasks go. */
export interface WorkerOptions {
  machineId: string;
  machineType?: string;
  zone?: string;
  isSpot?: boolean;
  /** How long tasks run, ms; undefined, for services and for jobs named j-svc...: until they are killed. */
  runMs?: number;
  /** How long it takes to fetch an image, ms; 0 if left out. */
  imageMs?: number;
  /** Every task that starts here fails. */
  failsAllTasks?: boolean;
  /** Tasks that fail here, like those of a job that was submitted with a mistake. */
  failsTask?: (taskId: string) => boolean;
}

/** Why a worker with these free resources does not launch a task; undefined: it does. */
export function whyRefused(job: JobDescription | undefined, free: Resources): ExitReason | undefined {
  if (job === undefined) return 'unknown';
  const isFitting = job.cpus <= free.cpus && job.gpus <= free.gpus && job.memoryGb <= free.memoryGb;
  return isFitting ? undefined : 'insufficient_resources';
}
