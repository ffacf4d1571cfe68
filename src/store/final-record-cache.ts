/** A cache of the final states of jobs, which are stored outside the replica and never change once written. */
import { MAX_CACHED_FINAL_RECORDS } from '../constants/store.js';
import type { StoredValue } from './replica.js';

const MISSING: StoredValue = { value: undefined, modRevision: 0 };

/** Holds the `MAX_CACHED_FINAL_RECORDS` most recently added records. */
export class FinalRecordCache {
  private readonly rows = new Map<string, StoredValue>();

  /** Reports an uncached record as missing: if it does exist, the compare-and-swap in the store fails. */
  get(key: string): StoredValue {
    return this.rows.get(key) ?? MISSING;
  }

  /** Ignores missing records, since they may be created later. */
  set(key: string, row: StoredValue): void {
    if (row.value === undefined) return;
    this.rows.delete(key);
    this.rows.set(key, row);
    if (this.rows.size <= MAX_CACHED_FINAL_RECORDS) return;
    const [oldestKey] = this.rows.keys();
    this.rows.delete(oldestKey!);
  }
}
