/** What the records in the store say, as the program works with it; see record-codecs.ts for the stored form. */

import { JobSpec } from '../domain/job.js';

/** Version of the record format that this program reads: 2 knows compact chunks of task placements. */
export const RECORD_FORMAT = 2;

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

/** A record that can't be read. Nothing is decided on it. */
export class CorruptRecord extends Error {}

export const isCount = (value: unknown): value is number => Number.isSafeInteger(value) && (value as number) >= 0;

export const chunkCount = (job: JobRecord): number => Math.ceil(job.spec.taskCount / job.tasksPerChunk);

/** Tasks in one chunk: the last one may be shorter. */
export const chunkSize = (job: JobRecord, chunkIndex: number): number =>
  Math.min(job.tasksPerChunk, job.spec.taskCount - chunkIndex * job.tasksPerChunk);
