/** Jobs as users submit them. */

import type { Resources } from './resources.js';

export type JobKind = 'array' | 'gang' | 'service';
export type JobPriority = 'prod' | 'high' | 'normal' | 'low';
/** From the highest to the lowest. */
export const JOB_PRIORITIES: readonly JobPriority[] = ['prod', 'high', 'normal', 'low'];

/** A job as its user submitted it. */
export interface JobSpec extends Resources {
  id: string;
  jobClass: string;
  team: string;
  kind: JobKind;
  priority: JobPriority;
  taskCount: number;
  image: string;
  imageGb: number;
  /** null: any. */
  machineTypes: string[] | null;
  /** null: any. */
  zone: string | null;
  singleZone: boolean;
  spreadAcrossZones: boolean;
  allowsSpot: boolean;
  /** Of one task, without the image fetch; 0 for services. */
  estimatedRunS: number;
  /** Progress between two checkpoints; 0: the tasks have none. */
  checkpointIntervalS: number;
  /** Time that a task needs for a checkpoint when it is stopped. */
  checkpointS: number;
  /** From the submission; null: no deadline. */
  deadlineS: number | null;
}

/** Jobs that the leader places: their tasks depend on each other, or need more than a partition. */
export const isPlacedByLeader = (spec: JobSpec): boolean =>
  spec.kind === 'gang' || spec.singleZone || spec.spreadAcrossZones;
