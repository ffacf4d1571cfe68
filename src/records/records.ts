/** The records in the store, as the program works with them; the codecs beside hold their stored form. */
import type { JobSpec } from '../domain/job.js';

/** Version of the record format that this program reads: 2 knows compact chunks of task placements. */
export const RECORD_FORMAT = 2;

/** A job that is not over. */
export interface JobRecord {
  spec: JobSpec;
  /** `waiting`: until its dependencies are done; versions that know none can't read such a record, and start nothing. */
  state: 'waiting' | 'active' | 'cancelled';
  /** Time of day, ms, of the submission; jobs are ordered and deadlines counted by it, but no safety depends on it. */
  submittedAtMs: number;
  /** Tasks in one chunk of this job's placements. */
  tasksPerChunk: number;
  /** Jobs that must be done before this one may start, of one that waits for them. */
  dependencies?: readonly string[];
  /** Time of day, ms, when the last dependency was seen to be done; absent where there was none. */
  releasedAtMs?: number;
}

/** Time of day from which the job may run, ms. */
export const runnableSinceMs = (job: JobRecord): number => job.releasedAtMs ?? job.submittedAtMs;

/** A job that is over. */
export interface FinalJobRecord {
  state: 'done' | 'cancelled';
  taskCount: number;
}

/** A controller's process that reads records of this format, and the store lease that its record is attached to. */
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
  /** Time of day, ms. */
  requestedAtMs: number;
  /** null: not answered yet. */
  machineIds: string[] | null;
}

/** A stored record that can't be decoded; nothing is decided on it. `what` names the kind of record. */
export class CorruptRecordError extends Error {
  readonly code = 'record_corrupt';

  constructor(what: string) {
    super(`${what} can not be decoded`);
  }
}

/** Is the value a whole number, 0 or more? */
export const isNonNegativeInteger = (value: unknown): value is number =>
  Number.isSafeInteger(value) && (value as number) >= 0;

/** Chunks that hold the placements of all tasks of a job. */
export const chunkCount = (job: JobRecord): number => Math.ceil(job.spec.taskCount / job.tasksPerChunk);

/** Tasks in one chunk: the last one may be shorter. */
export const chunkSize = (job: JobRecord, chunkIndex: number): number =>
  Math.min(job.tasksPerChunk, job.spec.taskCount - chunkIndex * job.tasksPerChunk);
