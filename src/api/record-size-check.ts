/** Which jobs have records that no transaction could hold. */
import { MAX_CHUNK_TASKS, PLACEMENT_BYTES, RECORD_ENVELOPE_BYTES } from '../constants/records.js';
import type { JobSpec } from '../domain/job.js';
import { encodeJobSpec } from '../records/job-spec-codec.js';
import { jsonLength } from '../store/json-size.js';
import type { TransactionLimits } from '../store/transaction-draft.js';

/** Conditions and operations of a transaction that are not about the chunks of a job's placements. */
const OTHER_CONDITIONS = 8;
const OTHER_OPERATIONS = 2;

/** The store's limits that a job's records must keep. */
export interface RecordLimits {
  transaction: TransactionLimits;
  /** Bytes of a record at most. */
  maxRecordBytes: number;
}

/** How many tasks' placements one record holds. */
export const tasksPerChunkFor = (maxRecordBytes: number): number =>
  Math.max(1, Math.min(MAX_CHUNK_TASKS, Math.floor(maxRecordBytes / PLACEMENT_BYTES)));

/** Why the job's records are too large, in words for the user; undefined: they are not. */
export function whyTooLarge(
  spec: JobSpec,
  dependencies: readonly string[],
  { transaction, maxRecordBytes }: RecordLimits,
): string | undefined {
  const maxBytes = maxRecordBytes - RECORD_ENVELOPE_BYTES;
  const specBytes = jsonLength(encodeJobSpec(spec));
  if (specBytes > maxBytes) return 'its record is too large';
  if (specBytes + jsonLength(dependencies) > maxBytes) return 'more predecessors than its record can hold';
  const chunks = Math.ceil(spec.taskCount / tasksPerChunkFor(maxRecordBytes));
  const isZoneBound = spec.spreadAcrossZones || spec.singleZone;
  if (isZoneBound && chunks > transaction.conditions - OTHER_CONDITIONS) return 'more tasks than can be compared';
  if (spec.kind === 'gang' && chunks > transaction.writes - OTHER_OPERATIONS) return 'a gang too large to start whole';
  return undefined;
}
