/** Detects jobs whose records would exceed the store's limits. */
import { MAX_CHUNK_TASKS, PLACEMENT_BYTES, RECORD_ENVELOPE_BYTES } from '../constants/records.js';
import type { JobSpec } from '../domain/job.js';
import { encodeJobSpec } from '../records/job-spec-codec.js';
import { jsonLength } from '../store/json-size.js';
import type { TransactionLimits } from '../store/transaction-draft.js';

/** Conditions and writes of a transaction that concern other records than a job's placement chunks. */
const OTHER_CONDITIONS = 8;
const OTHER_WRITES = 2;

/** The store's limits on the records of a job. */
export interface RecordLimits {
  transaction: TransactionLimits;
  /** Maximum size of one record in bytes. */
  maxRecordBytes: number;
}

/** Number of task placements in one record. */
export const tasksPerChunkFor = (maxRecordBytes: number): number =>
  Math.max(1, Math.min(MAX_CHUNK_TASKS, Math.floor(maxRecordBytes / PLACEMENT_BYTES)));

/** Returns the reason for the user if the job's records are too large, otherwise undefined. */
export function checkRecordSize(
  spec: JobSpec,
  dependencies: readonly string[],
  { transaction, maxRecordBytes }: RecordLimits,
): string | undefined {
  const maxBytes = maxRecordBytes - RECORD_ENVELOPE_BYTES;
  const specBytes = jsonLength(encodeJobSpec(spec));
  if (specBytes > maxBytes) return 'its record is too large';
  if (specBytes + jsonLength(dependencies) > maxBytes) return 'more predecessors than its record can hold';
  const chunkCount = Math.ceil(spec.taskCount / tasksPerChunkFor(maxRecordBytes));
  const hasZoneRule = spec.spreadAcrossZones || spec.singleZone;
  if (hasZoneRule && chunkCount > transaction.conditions - OTHER_CONDITIONS) return 'more tasks than can be compared';
  if (spec.kind === 'gang' && chunkCount > transaction.writes - OTHER_WRITES) return 'a gang too large to start whole';
  return undefined;
}
