/** Types of the records in the store; the codecs in this folder translate between them and the stored form. */
import type { Count } from '../domain/count.js';
import type { JobSpec } from '../domain/job.js';

/** Version of the record format that this program reads; version 2 added compact chunks of task placements. */
export const RECORD_FORMAT = 2;

/** A job that has not ended. */
export interface JobRecord {
  spec: JobSpec;
  /** `waiting`: not all dependencies are done. Versions that don't support dependencies can't decode it, so they start no task. */
  state: 'waiting' | 'active' | 'cancelled';
  /** Wall-clock time, ms, of the submission; used to order jobs and to compute deadlines, but safety does not depend on it. */
  submittedAtMs: number;
  /** Number of tasks in one chunk of this job's placements. */
  tasksPerChunk: number;
  /** Ids of the jobs that must be done before this one may start; set while the job waits for them. */
  dependencies?: readonly string[];
  /** Wall-clock time, ms, when the job was released because all its dependencies were done; absent if it never waited. */
  releasedAtMs?: number;
}

/** Wall-clock time, ms, since when the job may run. */
export const runnableSinceMs = (job: JobRecord): number => job.releasedAtMs ?? job.submittedAtMs;

/** A job that has ended. */
export interface FinalJobRecord {
  state: 'done' | 'cancelled';
  taskCount: number;
}

/** Announces the record format that a controller process reads, and the store lease that the announcement is attached to. */
export interface FormatRecord {
  format: number;
  leaseId: Count;
}

/** Announces a controller process that reads the warm standby's stream. */
export interface StandbyRecord {
  /** The incarnation number of the process in gossip. */
  incarnation: number;
  leaseId: Count;
}

/** The node that leads a role. */
export interface LeadershipRecord {
  node: string;
  /** The store lease that the record is attached to; distinguishes two incarnations of one node. */
  leaseId: Count;
}

/** A request to rent machines; stored before it is sent, so that no leader requests machines twice for the same need. */
export interface RentalRecord {
  /** The idempotency key of the request. */
  rentalId: string;
  machineType: string;
  zone: string;
  isSpot: boolean;
  count: number;
  /** Wall-clock time, ms. */
  requestedAtMs: number;
  /** null: the cloud has not answered yet. */
  machineIds: string[] | null;
}

/** Thrown for a stored record that can't be decoded; no decision is based on such a record. */
export class CorruptRecordError extends Error {
  readonly code = 'record_corrupt';

  constructor(recordKind: string) {
    super(`${recordKind} cannot be decoded`);
  }
}

/** Whether the value is a safe integer, 0 or greater. */
export const isNonNegativeInteger = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

/** Number of chunks that hold the placements of all tasks of a job. */
export const chunkCount = (job: JobRecord): number => Math.ceil(job.spec.taskCount / job.tasksPerChunk);

/** Number of tasks in a chunk; the last chunk of a job may hold fewer than the others. */
export const chunkSize = (job: JobRecord, chunkIndex: number): number =>
  Math.min(job.tasksPerChunk, job.spec.taskCount - chunkIndex * job.tasksPerChunk);
