/** What the records in the store say, as the program works with it; see record-codecs.ts for the stored form. */

/** Version of the record format that this program reads: 2 knows compact chunks of task placements. */
export const RECORD_FORMAT = 2;

export type JobKind = 'array' | 'gang' | 'service';
export type JobPriority = 'prod' | 'high' | 'normal' | 'low';
/** From the highest to the lowest. */
export const JOB_PRIORITIES: readonly JobPriority[] = ['prod', 'high', 'normal', 'low'];

/** Amounts of what a machine has and tasks take of it. */
export interface Resources {
  cpus: number;
  gpus: number;
  memoryGb: number;
}

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

/** A job that is not over. */
export interface JobRecord {
  spec: JobSpec;
  /** `waiting`: until its dependencies are done; versions that know none can't read such a record, and start nothing. */
  state: 'waiting' | 'active' | 'cancelled';
  /** Time of day of the submission; orders jobs and sets deadlines, never safety. */
  submittedAtMs: number;
  /** Tasks in one chunk of this job's placements. */
  tasksPerChunk: number;
  /** Jobs that must be done before this one may start, of one that waits for them. */
  dependencies?: readonly string[];
  /** Time of day when the last dependency was seen to be done; absent where there was none. */
  releasedAtMs?: number;
}

/** Time of day from which the job may run, ms. */
export const runnableSinceMs = (job: JobRecord): number => job.releasedAtMs ?? job.submittedAtMs;

/** A job that is over. */
export interface FinalJobRecord {
  state: 'done' | 'cancelled';
  taskCount: number;
}

/** A controller's process that reads records of this format, and the store lease that keeps the record. */
export interface FormatRecord {
  format: number;
  leaseId: number;
}

/** A controller's process that reads the warm standby's stream. */
export interface StandbyRecord {
  /** The process, as its gossip names it. */
  incarnation: number;
  leaseId: number;
}

/** Who leads a role. */
export interface LeadershipRecord {
  node: string;
  /** The store lease that the record is attached to; tells two incarnations of one node apart. */
  leaseId: number;
}

/** A request for machines: written before it is sent, so that no leader asks twice for one need. */
export interface RentalRecord {
  /** The idempotency key of the request. */
  rentalId: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  count: number;
  /** Time of day. */
  requestedAtMs: number;
  /** null: not answered yet. */
  machineIds: string[] | null;
}

/** What the tasks of a team use together. */
export interface TeamUsage {
  cpus: number;
  gpus: number;
}

/** Where one task is. */
export type TaskPlacement =
  | { kind: 'queued'; attempt: number; failures: number }
  | {
      kind: 'placed';
      attempt: number;
      failures: number;
      machineId: string;
      agentEpoch: number;
      gracePeriodS: number | null;
      zone: string;
    }
  | { kind: 'done' };
export type ActivePlacement = Extract<TaskPlacement, { kind: 'placed' }>;

/** A record that can't be read. Nothing is decided on it. */
export class CorruptRecord extends Error {}

export const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

export const chunkCount = (job: JobRecord): number => Math.ceil(job.spec.taskCount / job.tasksPerChunk);

/** Tasks in one chunk: the last one may be shorter. */
export const chunkSize = (job: JobRecord, chunkIndex: number): number =>
  Math.min(job.tasksPerChunk, job.spec.taskCount - chunkIndex * job.tasksPerChunk);

export const taskIdOf = (jobId: string, taskIndex: number): string => `${jobId}/${taskIndex}`;

/** Takes the id of a task apart; undefined: it is none. */
export function parseTaskId(name: string): { jobId: string; taskIndex: number } | undefined {
  const slash = name.lastIndexOf('/');
  const taskIndex = Number(name.slice(slash + 1));
  return slash > 0 && Number.isSafeInteger(taskIndex) && taskIndex >= 0
    ? { jobId: name.slice(0, slash), taskIndex }
    : undefined;
}
