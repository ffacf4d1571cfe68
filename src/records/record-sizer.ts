/**
 * Keeps records within the size of a value that the store will take later. Chunks of new jobs are cut to that size
 * from the start; those that a version wrote which did not know of the later limit are made smaller when they are next
 * written, so nothing has to be converted, and it does not matter whether the limit has changed by then.
 */
import { jsonLength } from '../store/json-size.js';
import type { Resize } from '../store/transaction-draft.js';
import { compactChunk } from './placement-codec.js';
import { withoutMachineTypes } from './record-codecs.js';
import { JOB_PREFIX, PLACEMENT_PREFIX } from './record-keys.js';

/** The form in which a record is written. `canReadCompact`: do all controllers read compact chunks? */
export function recordSizer(valueBytes: number, canReadCompact: () => boolean): Resize {
  return (key, value) => {
    if (value === undefined || jsonLength(value) <= valueBytes) return value;
    if (key.startsWith(JOB_PREFIX)) return withoutMachineTypes(value);
    // Earlier versions can't read compact chunks, and would lose sight of what is placed there.
    return key.startsWith(PLACEMENT_PREFIX) && canReadCompact() ? compactChunk(value) : value;
  };
}
