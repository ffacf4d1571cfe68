/** Jobs as users submit them. */
import type { Resources } from './resources.js';

/** `array`: independent tasks; `gang`: tasks that run all at once or not at all; `service`: tasks that run until cancelled. */
export type JobKind = 'array' | 'gang' | 'service';

/** Jobs of higher priority are placed first, and may preempt others. */
export type JobPriority = 'prod' | 'high' | 'normal' | 'low';

/** All priorities, from the highest to the lowest. */
export const JOB_PRIORITIES: readonly JobPriority[] = ['prod', 'high', 'normal', 'low'];

/** A job as submitted by its user. The resources are those of one task. */
export interface JobSpec extends Resources {
  id: string;
  /** Determines the service-level objectives that apply. */
  jobClass: string;
  team: string;
  kind: JobKind;
  priority: JobPriority;
  taskCount: number;
  /** The name of the image that every task runs. */
  image: string;
  imageGb: number;
  /** Names of the machine types on which its tasks may run; null: any. */
  machineTypes: string[] | null;
  /** The zone in which its tasks must run; null: any. */
  zone: string | null;
  /** Whether all tasks must run in the same zone, no matter which. */
  singleZone: boolean;
  /** Whether at most half of the tasks, rounded up, may run in the same zone. */
  spreadAcrossZones: boolean;
  allowsSpot: boolean;
  /** The team's estimate of one task's run time without the image fetch, often wrong by half; 0 for services. */
  estimatedRunS: number;
  /** Progress between two checkpoints; 0: the tasks make no checkpoints. */
  checkpointIntervalS: number;
  /** Time that a task needs to save a checkpoint when it is stopped. */
  checkpointS: number;
  /** Deadline in seconds after the submission; null: none. */
  deadlineS: number | null;
}

/** Whether the cluster leader places the job: its tasks depend on each other, or need more machines than a partition has. */
export const isPlacedByLeader = (spec: JobSpec): boolean =>
  spec.kind === 'gang' || spec.singleZone || spec.spreadAcrossZones;
