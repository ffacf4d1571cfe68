/** Jobs as users submit them. */
import type { Resources } from './resources.js';

/** `array`: independent tasks; `gang`: tasks that run together or not at all; `service`: tasks that run until cancelled. */
export type JobKind = 'array' | 'gang' | 'service';

/** A job of higher priority is placed first, and may preempt others. */
export type JobPriority = 'prod' | 'high' | 'normal' | 'low';

/** From the highest to the lowest. */
export const JOB_PRIORITIES: readonly JobPriority[] = ['prod', 'high', 'normal', 'low'];

/** A job as its user submitted it. The resources are those of one task. */
export interface JobSpec extends Resources {
  id: string;
  /** Chooses the service-level objectives that apply. */
  jobClass: string;
  team: string;
  kind: JobKind;
  priority: JobPriority;
  taskCount: number;
  /** The image that every task runs. */
  image: string;
  imageGb: number;
  /** Names of the machine types that its tasks may run on; null: any. */
  machineTypes: string[] | null;
  /** The zone that its tasks must run in; null: any. */
  zone: string | null;
  /** All tasks in one zone, whichever. */
  singleZone: boolean;
  /** At most half of the tasks, rounded up, in one zone. */
  spreadAcrossZones: boolean;
  allowsSpot: boolean;
  /** The team's estimate of one task's run time without the image fetch, often wrong by half; 0 for services. */
  estimatedRunS: number;
  /** Progress between two checkpoints; 0: the tasks make none. */
  checkpointIntervalS: number;
  /** Time that a task needs for a checkpoint when it is stopped. */
  checkpointS: number;
  /** From the submission; null: no deadline. */
  deadlineS: number | null;
}

/** Whether the cluster leader places the job: its tasks depend on each other, or need more machines than a partition has. */
export const isPlacedByLeader = (spec: JobSpec): boolean =>
  spec.kind === 'gang' || spec.singleZone || spec.spreadAcrossZones;
