/**
 * Keeps records within the size of a value that the state service will take later. Records of new jobs are cut to that size
 * from the start; those that a version wrote which did not know of the later limit are made smaller when they are next
 * written, so nothing has to be converted, and it does not matter whether the limit has changed by then.
 */
import { jsonLength } from '../state/sizes.js';
import { compactChunk, JOB_PREFIX, LEDGER_PREFIX, type JobRecord } from './records.js';

/** Whoever is called off starts no more tasks, so the machine types that its tasks could run on can go. */
function withoutMachineTypes(value: unknown): unknown {
  const job = value as JobRecord;
  return job.phase === 'withdrawn' ? { ...job, spec: { ...job.spec, Flavors: null } } : job;
}

/** The form in which a record is written. `isCompactRead`: do all controllers read compact chunks? */
export function recordSizer(valueBytes: number, isCompactRead: () => boolean) {
  return (key: string, value: unknown): unknown => {
    if (value === undefined || jsonLength(value) <= valueBytes) return value;
    if (key.startsWith(JOB_PREFIX)) return withoutMachineTypes(value);
    // Earlier versions can't read compact chunks, and would lose sight of what is placed there.
    return key.startsWith(LEDGER_PREFIX) && isCompactRead() ? compactChunk(value) : value;
  };
}
