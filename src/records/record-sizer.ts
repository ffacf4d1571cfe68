/**
 * Keeps records within the store's value size limit after an announced change of that limit. Chunks of new jobs fit it from the
 * start. Chunks written by a version that did not know of the change are shrunk when they are next written, so no migration is
 * needed, and it does not matter whether the limit has changed by then.
 */
import { jsonLength } from '../store/json-size.js';
import type { Resize } from '../store/transaction-draft.js';
import { compactChunk } from './placement-codec.js';
import { withoutMachineTypes } from './record-codecs.js';
import { JOB_PREFIX, PLACEMENT_PREFIX } from './record-keys.js';

/** Shrinks records above `valueBytes`, where possible. `canReadCompact`: whether all controllers read compact chunks. */
export function createRecordSizer(valueBytes: number, canReadCompact: () => boolean): Resize {
  return (key, value) => {
    if (value === undefined || jsonLength(value) <= valueBytes) return value;
    if (key.startsWith(JOB_PREFIX)) return withoutMachineTypes(value);
    // Earlier versions can't decode compact chunks and would miss the placements in them.
    return key.startsWith(PLACEMENT_PREFIX) && canReadCompact() ? compactChunk(value) : value;
  };
}
